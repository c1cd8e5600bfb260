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
  Scenario: A call that cannot be answered is refused, and the leader keeps running
    Given a leader that fails to answer one kind of call
    When it receives such a call, followed by a change
    Then the first is refused as internal and the second is applied
    And the leader logs "call not answered" with the exception
