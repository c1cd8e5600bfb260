Feature: A replica's timers follow what messages change

  Scenario Outline: A message that brings the next timer forward is heeded
    Given a replica whose next timer is due in 5 s
    When <what> brings it forward to 0.05 s
    Then the timer fires within 0.5 s

    Examples:
      | what                      |
      | a message of a peer       |
      | a call                    |
      | the end of a turn         |

  # Guards against a wiped replica that never finds the leader.
  Scenario: A replica whose seeds are all gone asks whoever writes to it
    Given a replica whose seeds are all gone
    When another one at "127.0.0.1:7" writes to it
    Then it asks at "127.0.0.1:7" for its vote

  Scenario: All replicas are killed and started, and one leads from then on
    Given 3 replicas in processes of their own
    When all are killed and started 4 times
    Then each time one leads within 2 s and none takes over from it

  # Guards against replicas that run and never elect, as their disks are slow.
  Scenario Outline: Three replicas whose disks sync in <sync> s have a leader
    Given 3 replicas in processes of their own
    When they run for 24 s on disks that sync in <sync> s
    Then they are never without a leader for 20 s, and have one most of the time

    Examples:
      | sync |
      | 0.6  |
      | 1.0  |
