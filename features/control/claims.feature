Feature: A claim is forgotten only when its key cannot be admitted

  Scenario Outline: A key created <age> s before its request is <status>
    When a claim on a key of age <age> is taken
    Then its status is "<status>"

    Examples:
      | age    | status      |
      | 10     | granted     |
      | 86000  | granted     |
      | 86500  | key_expired |
      | -200   | granted     |
      | -400   | key_expired |

  Scenario: Memory of old claims is freed
    When 500 claims are taken and two days pass
    Then no claim is kept, and the old key is "key_expired"

  Scenario: An answer above the size limit is dropped, its claim stays
    When a claim is settled with an answer of 300000 bytes
    Then a resend is told "not_stored"
