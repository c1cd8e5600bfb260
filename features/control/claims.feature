Feature: A claim is removed only once its key would be refused as expired

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

  Scenario: Expired claims are removed from memory
    When 500 claims are taken and two days pass
    Then no claim is kept, and the expired key is "key_expired"

  Scenario: A response above the size limit is dropped, its claim is kept
    When a claim is settled with a response of 300000 bytes
    Then a retry with the same key gets the status "not_stored"
