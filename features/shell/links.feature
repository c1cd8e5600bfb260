Feature: Calls between processes that share one way to the leader

  Scenario: A call that times out does not end the others on its way
    Given a replica that answers a call after 0.8 s
    When one call allows 0.3 s and another one 3 s, both at once
    Then the first has no answer and the second is answered

  Scenario: Whoever is told to stop still stops while a call runs
    Given a replica that answers a call after 5 s
    When a call is cancelled after 0.2 s
    Then it ends as cancelled

  Scenario Outline: A path that was <way> while a connection began works soon after
    Given a replica behind a path that is <way>
    When a call is made, and 1 s later the path is whole
    Then calls are answered again within <most> s

    Examples: what began to connect is given up; what looked connected pings
      | way      | most |
      | silence  | 2    |
      | drop_out | 2    |
      | drop_in  | 4    |

  Scenario Outline: A stream between replicas that goes silent is replaced
    Given a replica that gets messages over a path
    When the path is <way> for 1 s and whole from then on
    Then messages arrive again within 5 s

    Examples:
      | way     |
      | silence |
      | drop_in |

  # Guards against a replica that gets nothing more while it reaches everybody.
  Scenario Outline: A stream between replicas whose <part> is replaced
    Given a peer stream whose <part>
    When messages are sent to the peer for 4 s
    Then messages arrive by a later stream within 3.5 s

    Examples:
      | part                                |
      | handler ends as unavailable         |
      | handler is cancelled                |
      | handler fails                       |
      | handler reads nothing more          |
      | write never returns                 |
      | write is cancelled                  |
      | connection is never made            |
      | write never returns, nor does close |

  Scenario: A stream between replicas that works is kept
    Given a peer stream that works
    When messages are sent to the peer for 4 s
    Then all arrive by the first stream

  Scenario: A stream between replicas that has nothing to carry is kept
    Given a peer stream that works
    When messages are sent to the peer, 0.1 s apart, and more of them 3 s later
    Then all arrive by the first stream
