Feature: Real processes are killed and frozen under load, all responses checked

  Scenario: Each role is killed or frozen in turn
    Given a running fleet of 3 replicas, 3 entries and 3 engines
    And callers that send completions and charges continuously
    When "entry-1" is killed and started again
    And the leader is killed and started again
    And an operator changes the configuration
    And the leader is frozen for 4 s
    And "entry-2" is frozen for 10 s
    And an operator changes the configuration
    And every entry applies version 3
    And the callers stop
    Then no charge ran twice and no "not run" response was false
    And every complete response is the caller's own
    And no entry's version went back
    And at least 50 responses were complete and 10 charges ran

  # Guards against a step that reports an election in progress as a lost leader.
  Scenario Outline: The lookup waits for a leader that leads from <after> s on
    When the leader is looked up while one leads from <after> s on
    Then <words> is found

    Examples:
      | after | words             |
      | 0.0   | control-2         |
      | 1.2   | control-2         |
      | 9.0   | no replica leads  |
