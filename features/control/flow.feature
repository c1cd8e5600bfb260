Feature: A replica that learns a long log takes no more than its share of a link

  The pattern: disks are lost or VMs replaced while the log holds dozens of
  complete versions. What is sent anew before it could have been answered fills
  the leader's link, answers come later still, and nobody hears the leader.

  Scenario Outline: <learners> empty disks learn a log of 3 MB at <mbits> Mbit/s
    Given 3 replicas with links of <mbits> Mbit/s and disks that sync in <sync> ms
    And a log of 100 commands of 30000 bytes
    When <learners> replicas with empty disks begin to learn
    Then they have all of it within <seconds> s
    And the leader sent at most <share> times what they lacked
    And the leader kept its lease all the time

    Examples:
      | learners | mbits | sync | seconds | share |
      | 1        | 100   | 1    | 1.5     | 1.2   |
      | 2        | 100   | 1    | 2.0     | 1.2   |
      | 2        | 100   | 25   | 3.5     | 1.2   |
      | 1        | 10    | 5    | 5.0     | 1.3   |
      | 2        | 10    | 5    | 8.0     | 1.3   |

  Scenario: A learner that does not answer is not sent the log again and again
    Given 3 replicas with links of 100 Mbit/s and disks that sync in 1 ms
    And a log of 100 commands of 30000 bytes
    When a replica that never answers begins to learn, for 10 s
    Then the leader sent at most 2 times what it lacks
    And the leader kept its lease all the time

  Scenario: A stream that broke while a learner was sent the log goes on soon
    Given 3 replicas with links of 100 Mbit/s and disks that sync in 1 ms
    And a log of 100 commands of 30000 bytes
    When a replica with an empty disk learns and all messages of 0.2 s are lost
    Then they have all of it within 3 s

  Scenario: Changes go to voters while a learner is sent the log
    Given 3 replicas with links of 10 Mbit/s and disks that sync in 5 ms
    And a log of 100 commands of 30000 bytes
    When 2 replicas with empty disks begin to learn
    Then a change that is proposed meanwhile is committed within 0.5 s

  # Guards against a voter that responds all day and is never brought up to date.
  Scenario Outline: An old leader with <old> uncommitted changes of <size> bytes is repaired beside <new> newer ones
    Given 3 replicas with links of <mbits> Mbit/s and disks that sync in 1 ms
    And a log of 20 commands of 300 bytes
    When the leader is cut off and accepts <old> changes of <size> bytes
    And another one leads and accepts <new> changes of <size> bytes
    And the old leader is back while a change of <size> bytes comes each <gap> s
    Then it has the log of the new leader within <seconds> s
    And the new leader sent it at most 1.3 times what it lacked and 16 KB

    Examples:
      | old | size  | new | gap   | mbits | seconds |
      | 1   | 300   | 10  | 0.08  | 100   | 0.5     |
      | 10  | 300   | 10  | 0.08  | 100   | 0.5     |
      | 40  | 3000  | 60  | 0.08  | 100   | 1.0     |
      | 40  | 3000  | 60  | 0.026 | 100   | 1.0     |
      | 100 | 300   | 60  | 0.08  | 100   | 1.0     |
      | 10  | 15000 | 60  | 0.08  | 100   | 1.0     |
      | 100 | 15000 | 200 | 10    | 100   | 2.0     |
      | 200 | 3000  | 400 | 0.2   | 10    | 4.0     |

  Scenario Outline: The common part of two logs that differ in <terms> terms of <entries> entries is found by few probes
    Given a leader and a follower whose logs differ in <terms> terms of <entries> entries each
    When the leader probes and gets each response <times> times
    Then it has sent at most <most> appends before the first with entries
    And the follower has the log of the leader

    Examples:
      | terms | entries | times | most |
      | 1     | 1       | 1     | 2    |
      | 1     | 500     | 1     | 2    |
      | 5     | 100     | 1     | 6    |
      | 5     | 100     | 3     | 6    |
      | 20    | 3       | 2     | 21   |

  Scenario: A follower that lost what it had acknowledged is probed once a heartbeat
    Given a leader and a follower that lost entries which it had acknowledged
    When time passes for 5 s
    Then the leader sent it at most 60 appends and no entries

  # Guards against a leader that fails when a removed replica's response is the last.
  Scenario: A replica whose response completes its own removal is sent nothing more
    Given a leader of four voters that removes one
    When the one to be removed responds last of a majority
    Then the removal is committed and the removed one is sent nothing more
