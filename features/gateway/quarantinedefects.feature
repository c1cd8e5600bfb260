Feature: The checks detect defects of the quarantine

  # Guards against checks that pass although the quarantine has a defect.
  Scenario Outline: An injected defect is detected: <defect>
    When the defect "<defect>" is in the quarantine
    Then a history of crashes fails

    Examples:
      | defect                                   |
      | the fingerprint leaves out the body      |
      | the fingerprint leaves out the path      |
      | the fingerprint leaves out the workspace |
      | crashes are counted by report            |
      | crashes at once are counted one by one   |
      | each request in flight is a culprit      |
      | responses clear no suspect               |
      | suspects are not published               |
      | suspects are sent to the same engines    |
      | watched requests are forgotten           |
      | nothing is published                     |
      | later gateways learn nothing             |
      | a new leader publishes changes only      |
      | no trial is ever due                     |
      | running requests are not stopped         |
      | broken connections count as crashes      |
