Feature: Timers of a replica process

  Scenario Outline: A timer that is moved forward by <what> fires in time
    Given a replica whose next timer is due in 5 s
    When <what> moves it forward to 0.05 s
    Then the timer fires within 0.5 s

    Examples:
      | what                      |
      | a message of a peer       |
      | a call                    |
      | the end of a turn         |

  # Guards against a wiped replica that never finds the leader.
  Scenario: A replica whose seeds are unreachable joins through a replica that contacts it
    Given a replica whose seeds are unreachable
    When another replica at "127.0.0.1:7" sends it a message
    Then it asks at "127.0.0.1:7" to join

  Scenario: After a restart of all replicas a leader is elected and stays
    Given 3 replicas in separate processes
    When all are killed and restarted 4 times
    Then each time a leader is elected within 2 s and stays leader

  # Guards against replicas that never elect a leader because their disks are slow.
  Scenario Outline: Three replicas whose disks sync in <sync> s have a leader
    Given 3 replicas in separate processes
    When they run for 24 s on disks that sync in <sync> s
    Then they are never without a leader for 20 s, and have one most of the time

    Examples:
      | sync |
      | 0.6  |
      | 1.0  |
