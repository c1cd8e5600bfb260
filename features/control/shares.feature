Feature: Leased shares never exceed the workspace's limit

  Scenario: A share follows demand only after the old grant has ended
    Given entries "a" and "b" and a limit of 100 requests
    When "a" wants 200 and "b" wants 0 at 10 s
    And "b" wants 200 and "a" is silent at 11 s
    Then "b" holds what "a" does not, and at 17 s nearly everything

  Scenario: A new leader renews only what entries hold
    Given entries "a" and "b" and a limit of 100 requests
    When "a" holds 60 and wants 200 at 1 s
    Then "a" is given 60
