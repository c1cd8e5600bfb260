Feature: Leased shares never exceed the fleet's limit

  Scenario: Demand moves a share only after the old promise has ended
    Given entries "a" and "b" and a limit of 100 requests
    When "a" wants 200 and "b" wants 0 at 10 s
    And "b" wants 200 and "a" is silent at 11 s
    Then "b" holds what "a" does not, and at 17 s nearly everything

  Scenario: A new leader only keeps what entries hold
    Given entries "a" and "b" and a limit of 100 requests
    When "a" holds 60 and wants 200 at 1 s
    Then "a" is given 60
