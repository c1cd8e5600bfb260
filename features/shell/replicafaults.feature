Feature: A fault in a replica is neither hidden nor fatal to all of them

  # Guards against a replica that stands still without its timers.
  Scenario Outline: A replica ends with a line in the log on <error>
    When a step of a replica fails with <error>
    Then the replica ends and its log names <error>

    Examples:
      | error                |
      | OSError              |
      | KeyError             |
      | BrokenInvariantError |

  # Guards against a log entry that ends each replica that applies it, for good.
  Scenario: A command that cannot be applied is refused at every replica
    Given three replicas with a command that cannot be applied
    When it is sent, and another one after it
    Then the first is refused as internal and the second is applied
    And all replicas run and log the command that was skipped once each
    And so they do when all have started again

  # Guards against a call that ends one leader after another.
  Scenario: A call that cannot be answered is refused, and the leader runs on
    Given a leader that fails to answer one kind of call
    When it is called so, and for a change after it
    Then the first is refused as internal and the second is applied
    And the leader logs "call not answered" with the fault
