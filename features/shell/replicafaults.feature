Feature: An exception in a replica is logged and does not terminate all replicas

  # Guards against a replica that keeps running without its timers.
  Scenario Outline: A replica terminates with a log line on <error>
    When a step of a replica fails with <error>
    Then the replica terminates and logs <error>

    Examples:
      | error                |
      | OSError              |
      | KeyError             |
      | BrokenInvariantError |

  # Guards against a log entry that terminates each replica that applies it, and
  # again after each restart.
  Scenario: A command that cannot be applied is refused at every replica
    Given three replicas with a command that cannot be applied
    When it is proposed, followed by another command
    Then the first is refused as internal and the second is applied
    And all replicas keep running and log the skipped command once each
    And the same holds after a restart of all replicas

  # Guards against a call that terminates one leader after another.
  Scenario Outline: <call> that cannot be answered is refused, and the leader keeps running
    Given a leader that fails to answer <call>
    When it receives such a call, followed by a change
    Then the first is refused as internal and the second is applied
    And the leader logs "call not answered" with the exception

    Examples:
      | call                  |
      | a read                |
      | a report of crashes   |
      | a request for retries |
      | a request to join     |
      | a request to leave    |

  # Guards against a call that terminates each replica that receives it.
  Scenario Outline: <call> with half a surrogate pair is refused by <replica>
    Given three replicas that take changes
    When <replica> receives <call> with half a surrogate pair, followed by another change
    Then it is refused without an effect and the other change is applied

    Examples:
      | replica    | call             |
      | the leader | a command        |
      | a follower | a command        |
      | the leader | a replica change |

  # Guards against a term or an entry that is stored and ends each replica that
  # counts on from it, and again after each restart.
  Scenario Outline: A Raft message whose <fault> is dropped
    When a replica receives a Raft message whose <fault>
    Then the message is dropped with a log line, and the replica keeps its state

    Examples:
      | fault                          |
      | term is 2**64 - 1              |
      | term is negative               |
      | commit index is 2**64 - 1      |
      | entry has another index        |
      | entry is of a later term       |
      | entry holds no replica set     |
      | snapshot has a negative index  |

  # Guards against a snapshot that is stored and ends each start of the replica.
  Scenario: A snapshot that cannot be read is not stored
    When a replica receives a snapshot that cannot be read
    Then the replica terminates, and starts again with its earlier state
