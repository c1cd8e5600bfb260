Feature: The verdict of CI ignores listed failures only

  Scenario Outline: Report of <report>, list of <known>, linter <lint>
    When the verdict is given on scenarios <report> with known <known>, <tests> and linter <lint>
    Then it ends with "<line>" and exit code <code>

    Examples:
      | report        | known | tests | lint | line               | code |
      | pass pass     | none  | 0     | 0    | 2 passed, 0 failed | 0    |
      | pass fail     | none  | 2     | 0    | 1 passed, 1 failed | 1    |
      | pass fail     | fail  | 2     | 0    | 1 passed, 0 failed | 0    |
      | pass error    | fail  | 2     | 0    | 1 passed, 1 failed | 1    |
      | fail error    | fail  | 2     | 0    | 0 passed, 1 failed | 1    |
      | pass skip     | none  | 0     | 0    | 1 passed, 0 failed | 0    |
      | pass          | none  | 0     | 1    | 1 passed, 0 failed | 1    |
      | pass          | none  | 2     | 0    | 1 passed, 0 failed | 1    |
      | nothing       | none  | 0     | 0    | wrote no report    | 1    |

  # Guards against a failure in CI that is reported without its reason.
  Scenario: The reason of a failure is printed
    When the verdict is given on scenarios pass fail with known none, 2 and linter 0
    Then it prints "failed: fail: the guarantee that was violated"

  Scenario: Two scenarios with the same name count as two
    When the verdict is given on scenarios fail fail with known none, 2 and linter 0
    Then it ends with "0 passed, 2 failed" and exit code 1

  # Guards against a second entry of a test that overrides the first.
  Scenario: A test that is listed for two faults is printed with both
    When the verdict is given on scenarios pass fail with known fail, listed for "one fault" and "another fault"
    Then it prints "known to fail: fail: one fault; another fault"

  # Guards against a failure in CI whose logs are deleted with its clone.
  Scenario Outline: A log that was kept <when> the run began is <printed>
    When the verdict is given on a failure whose log was kept <when> the run began
    Then its last lines are <printed> and end with "1 passed, 1 failed"

    Examples:
      | when   | printed     |
      | before | not printed |
      | after  | printed     |
