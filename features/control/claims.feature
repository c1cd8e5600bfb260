Feature: A claim is forgotten only when its key cannot be admitted

  Scenario Outline: A key made <age> s before it comes is <status>
    When a claim on a key of age <age> is taken
    Then its status is "<status>"

    Examples:
      | age    | status      |
      | 10     | granted     |
      | 86000  | granted     |
      | 86500  | key_expired |
      | -200   | granted     |
      | -400   | key_expired |

  Scenario: Old claims leave no memory behind
    When 500 claims are taken and two days pass
    Then no claim is kept, and the old key is "key_expired"

  Scenario: Answers are kept within their bound, claims stay
    When a claim is settled with an answer of 300000 bytes
    Then a resend is told "not_stored"
