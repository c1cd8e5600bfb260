Feature: The prefix index claims no block that may have been evicted

  Scenario Outline: <case>
    Given an engine whose events <events> have been applied
    When <seconds> seconds have passed
    Then the assumed cached share of blocks a, b is <share>

    Examples:
      | case                         | events             | seconds | share |
      | stored blocks count          | 1:+a+b             | 1       | 1.0   |
      | an evicted block is dropped  | 1:+a+b 2:-b        | 1       | 0.5   |
      | the prefix ends at a hole    | 1:+b               | 1       | 0.0   |
      | a gap drops all blocks       | 1:+a+b 3:+c        | 1       | 0.0   |
      | a late event has no effect   | 1:+a 2:+b 1:-a     | 1       | 1.0   |
      | blocks expire                | 1:+a+b             | 301     | 0.0   |
