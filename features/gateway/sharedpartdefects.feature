Feature: The checks detect defects of the quarantine of parts

  # Guards against checks that pass although the quarantine has a defect.
  Scenario Outline: An injected defect is detected: <defect>
    When the defect "<defect>" is in the quarantine of parts
    Then a history of shared parts fails
    And the same history holds without the defect

    Examples:
      | defect                                                            |
      | parts are never convicted                                         |
      | the last part counts                                              |
      | counts of tokens are part of the identity                         |
      | each feature is blamed for a whole crash                          |
      | answers are not reported                                          |
      | a crash passes for the end of a response                          |
      | an entry of one workspace holds in all                            |
      | popular parts are isolated                                        |
      | running requests are not stopped                                  |
      | later gateways learn nothing                                      |
      | trials are not counted                                            |
