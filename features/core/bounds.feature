Feature: Bounds that keep one fault from becoming many

  Scenario: Nothing counts as stored before it is synced
    Given an empty data folder
    When a batch is stored
    Then the log was synced after its last byte and before the answer

  Scenario Outline: Retries stay a share of fresh requests
    Given a retry budget that <spent> and then <requests> fresh requests
    Then it allows <most> retries and no more

    Examples:
      | spent         | requests | most |
      | is untouched  | 0        | 20   |
      | is spent      | 0        | 0    |
      | is spent      | 100      | 10   |
      | is spent      | 10000    | 20   |

  Scenario Outline: Few endpoints are ejected at a time
    When all of <count> endpoints fail again and again
    Then <most> of them are ejected

    Examples:
      | count | most |
      | 2     | 0    |
      | 3     | 1    |
      | 9     | 3    |

  Scenario Outline: Each program names its commands and flags
    When "<program>" is asked for help
    Then the help names "<words>"

    Examples:
      | program          | words          |
      | colts-ctl        | config patch   |
      | colts-ctl        | --base         |
      | colts-gateway    | passes requests |
      | colts-control    | bootstrap      |
      | colts-entry      | --settings     |
      | colts-standalone | --settings     |
      | colts-replay     | --settings     |

  Scenario: A connection that nobody accepts is given up
    Given an endpoint whose queue of new connections is full
    Then a connection to it is given up within 0.3 to 1 s

  Scenario: A kept connection is not used late in the time promised for it
    Given an endpoint that keeps connections for 1 s
    Then a request 0.2 s later uses the kept one, and 0.7 s later a new one

  Scenario: Endpoints that run nothing are not tried without end
    Given 9 endpoints that all say that they did not run a request
    Then a route of 2 attempts sends it 4 times

  Scenario: A gateway that has just started holds so many requests and no more
    Given a gateway that has just started and holds 300 requests
    Then one more is not held

  Scenario: A summary of much work fits a datagram
    Given a gateway with 2000 pieces of work
    Then what it tells has 800 pieces and less than 65000 bytes

  Scenario Outline: A <who> that is not heard of any more is dropped
    Given a leader that hears of a <who>
    Then it is known for <known> s and dropped after <dropped> s

    Examples:
      | who      | known | dropped |
      | gateway  | 1.5   | 1.7     |
      | endpoint | 7.9   | 8.1     |

  Scenario: A prompt that would fill an engine to the last token is shared
    Then a prompt that leaves 10000 tokens free is held by two engines
