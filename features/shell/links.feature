Feature: Calls to the leader and streams between replicas

  Scenario: A call that times out does not cancel others on its channel
    Given a replica that answers a call after 0.8 s
    When one call has a time-out of 0.3 s and a concurrent one of 3 s
    Then the first gets no answer and the second is answered

  Scenario: A call that is cancelled ends at once
    Given a replica that answers a call after 5 s
    When a call is cancelled after 0.2 s
    Then it ends as cancelled

  Scenario Outline: A connection attempt during <mode> of the path recovers soon
    Given a replica behind a path with <mode>
    When a call is made, and 1 s later the path is restored
    Then calls are answered again within <most> s

    Examples: an attempt to connect times out; an open connection is pinged
      | mode     | most |
      | silence  | 2    |
      | drop_out | 2    |
      | drop_in  | 4    |

  Scenario Outline: A peer stream over a path with <mode> is replaced
    Given a replica that receives messages over a path
    When the path has <mode> for 1 s and is then restored
    Then messages arrive again within 5 s

    Examples:
      | mode    |
      | silence |
      | drop_in |

  # Guards against a replica that receives no more messages, although it can
  # reach all others, because a dead stream to it is not replaced.
  Scenario Outline: A peer stream whose <part> is replaced
    Given a peer stream whose <part>
    When messages are sent to the peer for 4 s
    Then messages arrive on a later stream within 3.5 s

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

  Scenario: A peer stream that works is kept
    Given a peer stream that works
    When messages are sent to the peer for 4 s
    Then all arrive on the first stream

  Scenario: A peer stream that is idle is kept
    Given a peer stream that works
    When messages are sent to the peer, 0.1 s apart, and more of them 3 s later
    Then all arrive on the first stream

  # Pattern: after a loss of power at all VMs, an early election needs the reply
  # of every voter, so it waits for the links to the voter that starts last.
  Scenario: A link to a replica that starts late opens once that replica connects
    Given a replica whose peer starts 1.5 s later
    When the peer opens its own link, 5 times
    Then a message reaches the peer within 0.25 s each time
