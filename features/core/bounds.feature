Feature: Bounds that keep a single failure from spreading

  Scenario: A batch is not acknowledged before it is synced
    Given an empty data folder
    When a batch is stored
    Then the log was synced after its last byte and before the acknowledgement

  Scenario Outline: Retries stay a share of new requests
    Given a retry budget that <spent> and then <requests> new requests
    Then it allows <most> retries and no more

    Examples:
      | spent        | requests | most |
      | is untouched | 0        | 20   |
      | is spent     | 0        | 0    |
      | is spent     | 100      | 10   |
      | is spent     | 10000    | 20   |

  Scenario Outline: Only a share of the endpoints is ejected at a time
    When all of <count> endpoints fail repeatedly
    Then <most> of them are ejected

    Examples:
      | count | most |
      | 2     | 0    |
      | 3     | 1    |
      | 9     | 3    |

  Scenario Outline: Each program names its commands and flags
    When "<program>" prints its help
    Then the help names "<words>"

    Examples:
      | program          | words             |
      | colts-ctl        | config patch      |
      | colts-ctl        | --base            |
      | colts-gateway    | forwards requests |
      | colts-control    | bootstrap         |
      | colts-entry      | --settings        |
      | colts-standalone | --settings        |
      | colts-replay     | --settings        |

  Scenario: Connecting to an endpoint that accepts no connections times out
    Given an endpoint whose accept queue is full
    Then connecting to it times out within 0.3 to 1 s

  Scenario: An idle connection is not reused close to its keep-alive timeout
    Given an endpoint with a keep-alive timeout of 1 s
    Then a request 0.2 s later reuses the connection, and one 0.7 s later opens a new one

  Scenario: Sends to endpoints that reject requests are bounded
    Given 9 endpoints that all report that they did not run a request
    Then a route of 2 attempts sends it 4 times

  Scenario: A gateway that has just started holds a bounded number of requests
    Given a gateway that has just started and holds 300 requests
    Then one more is not held

  Scenario: A summary of many work items fits a datagram
    Given a gateway with 2000 work items
    Then its summary has 800 work items and less than 65000 bytes

  Scenario Outline: A leader drops a <member> that sends nothing
    Given a leader that knows a <member>
    Then it is known for <known> s and dropped after <dropped> s

    Examples:
      | member   | known | dropped |
      | gateway  | 1.5   | 1.7     |
      | endpoint | 7.9   | 8.1     |

  Scenario: A prompt that would fill an engine to the last token is split
    Then a prompt that leaves 10000 tokens free is held by two engines
