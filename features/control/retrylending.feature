Feature: The leader lends retries within the slack of a service

  Scenario Outline: A leader since <leads> s that has lent <lent> is asked for <wanted>
    Given a leader since <leads> s that has lent <lent> retries
    When a gateway asks it for <wanted> of a slack of <slack>
    Then it is lent <amount>, or is to come back after <again> s

    Examples:
      | leads | lent | wanted | slack | amount | again |
      | 1     | 0    | 4      | 100   | 0      | 14    |
      | 14.9  | 0    | 4      | 100   | 0      | 0.5   |
      | 15    | 0    | 4      | 100   | 4      | 0     |
      | 60    | 0    | 40     | 100   | 13     | 0     |
      | 60    | 0    | 0      | 100   | 0      | 15    |
      | 60    | 54   | 4      | 100   | 1      | 0     |
      | 60    | 55   | 4      | 100   | 0      | 5     |
      | 60    | 55   | 4      | 200   | 4      | 0     |
      | 60    | 0    | 4      | 1     | 0      | 15    |

  # Guards against hundreds of gateways that ask the leader again and again.
  Scenario Outline: <count> gateways ask a leader that has lent everything for <seconds> s
    Given a leader since 60 s that has lent 55 retries
    When <count> gateways ask it for 1 of a slack of 100, as soon as they may, for <seconds> s
    Then at most <most> that got nothing ask again in any second
    And each of them is lent or told to come back within <within> s

    Examples:
      | count | seconds | most | within |
      | 9     | 30      | 26   | 15     |
      | 520   | 60      | 26   | 36     |

  Scenario: A replica that does not lead lends nothing
    When a replica that does not lead is asked for retries
    Then it answers that it does not lead

  Scenario: Services of which nothing is lent make room for others
    Given a lender to as many services as it keeps
    When a gateway asks it for another service
    Then it is lent nothing until what was lent has left the window
