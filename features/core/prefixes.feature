Feature: The prefix index never claims what it cannot know

  Scenario Outline: <case>
    Given an engine whose events <events> have been applied
    When <seconds> seconds have passed
    Then the believed share of blocks a, b is <share>

    Examples:
      | case                         | events             | seconds | share |
      | stored blocks are believed   | 1:+a+b             | 1       | 1.0   |
      | an eviction ends it          | 1:+a+b 2:-b        | 1       | 0.5   |
      | the prefix ends at a hole    | 1:+b               | 1       | 0.0   |
      | a gap forgets everything     | 1:+a+b 3:+c        | 1       | 0.0   |
      | a late event changes nothing | 1:+a 2:+b 1:-a     | 1       | 1.0   |
      | belief fades                 | 1:+a+b             | 301     | 0.0   |
