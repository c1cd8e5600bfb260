Feature: Gateways that lost their links to all endpoints still serve callers

  # Guards against refusing requests at gateways that are cut off from all endpoints
  # while other gateways could have served them.
  Scenario Outline: <cut> of <all> gateways are cut off, links <how>
    Given <all> gateways and 6 endpoints
    When <cut> gateways are cut off from all endpoints, their links <how>
    Then 3 s later, first tries there are served two thirds as often as elsewhere
    And at most 10 and one in 50 of these first tries fail there
    And no request that must not run twice ran twice

    Examples:
      | cut | all | how        |
      | 2   | 3   | reset      |
      | 2   | 3   | silent     |
      | 1   | 3   | refuse new |
