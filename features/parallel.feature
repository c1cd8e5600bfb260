Feature: Features run in several processes without losing a scenario

  Scenario: The plan names every scenario once and is the same each time
    Given the plan of all features
    Then it contains every scenario once
    And longer units come first
    And a second plan is the same

  Scenario Outline: <reported> of <scenarios> scenarios, <failed> failed, exit code <status>
    Given a process that exits with <status> and reports <reported> of <scenarios> scenarios, <failed> failed
    When the verdict is given on its report
    Then the verdict is "<passed> passed, <red> failed" with exit code <code>

    Examples:
      | scenarios | reported | failed | status | passed | red | code |
      | 3         | 3        | 0      | 0      | 3      | 0   | 0    |
      | 3         | 3        | 1      | 1      | 2      | 1   | 1    |
      | 3         | 2        | 0      | 0      | 2      | 1   | 1    |
      | 3         | 3        | 0      | 1      | 3      | 1   | 1    |
      | 3         | 2        | 1      | 1      | 1      | 2   | 1    |
      | 3         | 0        | 0      | -9     | 0      | 1   | 1    |

  Scenario: Exclusive scenarios run after all others, one at a time
    Given the plan of all features
    Then exclusive scenarios have units of their own
    And they run after all others and one at a time
