Feature: The leader lends retries within the slack of a service

  Scenario Outline: A leader since <leads> s with <lent> lent gets a request for <wanted>
    Given a leader since <leads> s that has lent <lent> retries
    When a gateway requests <wanted> of a slack of <slack>
    Then it gets <amount>, or a retry delay of <delay> s

    Examples:
      | leads | lent | wanted | slack | amount | delay |
      | 1     | 0    | 4      | 100   | 0      | 14    |
      | 14.9  | 0    | 4      | 100   | 0      | 0.5   |
      | 15    | 0    | 4      | 100   | 4      | 0     |
      | 60    | 0    | 40     | 100   | 13     | 0     |
      | 60    | 0    | 0      | 100   | 0      | 15    |
      | 60    | 54   | 4      | 100   | 1      | 0     |
      | 60    | 55   | 4      | 100   | 0      | 5     |
      | 60    | 55   | 4      | 200   | 4      | 0     |
      | 60    | 0    | 4      | 1     | 0      | 15    |

  # Guards against overload of the leader by retries of hundreds of gateways.
  Scenario Outline: <count> gateways request retries for <seconds> s when all are lent
    Given a leader since 60 s that has lent 55 retries
    When <count> gateways request 1 of a slack of 100, as often as allowed, for <seconds> s
    Then at most <most> refused gateways retry in any second
    And each request gets retries or a retry delay of at most <within> s

    Examples:
      | count | seconds | most | within |
      | 9     | 30      | 26   | 15     |
      | 520   | 60      | 26   | 36     |

  Scenario: A follower lends nothing
    When a gateway requests retries from a follower
    Then the follower answers that it does not lead

  Scenario: Services without loans make room for others
    Given a lender with loans to the maximum number of services
    When a gateway requests retries for another service
    Then it gets nothing until the earlier loans have left the window
