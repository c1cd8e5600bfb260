Feature: The verdict of CI passes over listed failures and nothing else

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
