Feature: The sum of leased shares never exceeds the workspace's limit

  Scenario: A share is reassigned only after its previous grant has expired
    Given entries "a" and "b" and a limit of 100 requests
    When "a" requests 200 and "b" requests 0 at 10 s
    And "b" requests 200 and "a" sends nothing at 11 s
    Then "a" and "b" hold at most 100, and "b" at least 80 at 17 s

  Scenario: A new leader renews only the shares that entries hold
    Given entries "a" and "b" and a limit of 100 requests
    When "a" holds 60 and requests 200 at 1 s
    Then "a" is granted 60
