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

  Scenario: All replicas are killed and started, and one leads from then on
    Given 3 replicas in processes of their own
    When all are killed and started 4 times
    Then each time one leads within 2 s and none takes over from it
