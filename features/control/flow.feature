Feature: Replication of a long log does not saturate the leader's link

  Guards against a leader that resends entries before their replies can arrive.
  This happens when disks are lost or VMs are replaced while the log holds dozens
  of complete versions: the resends fill the leader's link, replies are delayed
  further, and heartbeats no longer reach the followers.

  Scenario Outline: <learners> learners replicate a log of 3 MB at <mbits> Mbit/s
    Given 3 replicas with links of <mbits> Mbit/s and disks that sync in <sync> ms
    And a log of 100 commands of 30000 bytes
    When <learners> learners with empty disks are added
    Then they have replicated the log within <seconds> s
    And the leader sent at most <share> times the missing bytes
    And the leader never lost its lease

    Examples:
      | learners | mbits | sync | seconds | share |
      | 1        | 100   | 1    | 1.5     | 1.2   |
      | 2        | 100   | 1    | 2.0     | 1.2   |
      | 2        | 100   | 25   | 3.5     | 1.2   |
      | 1        | 10    | 5    | 5.0     | 1.3   |
      | 2        | 10    | 5    | 8.0     | 1.3   |

  Scenario: A learner that never replies is not sent the log repeatedly
    Given 3 replicas with links of 100 Mbit/s and disks that sync in 1 ms
    And a log of 100 commands of 30000 bytes
    When a learner that never replies is added, for 10 s
    Then the leader sent at most 2 times the missing bytes
    And the leader never lost its lease

  Scenario: Replication to a learner resumes soon after message loss
    Given 3 replicas with links of 100 Mbit/s and disks that sync in 1 ms
    And a log of 100 commands of 30000 bytes
    When a learner with an empty disk is added and all messages of 0.2 s are lost
    Then they have replicated the log within 3 s

  Scenario: Changes are committed while learners replicate the log
    Given 3 replicas with links of 10 Mbit/s and disks that sync in 5 ms
    And a log of 100 commands of 30000 bytes
    When 2 learners with empty disks are added
    Then a change proposed meanwhile is committed within 0.5 s

  # Guards against a voter that keeps replying and is never brought up to date.
  Scenario Outline: The log of an old leader with <old> uncommitted changes of <size> bytes is repaired with <new> newer ones
    Given 3 replicas with links of <mbits> Mbit/s and disks that sync in 1 ms
    And a log of 20 commands of 300 bytes
    When the leader is cut off and accepts <old> changes of <size> bytes
    And another leader is elected and accepts <new> changes of <size> bytes
    And the old leader reconnects while a change of <size> bytes is proposed every <gap> s
    Then the old leader has the log of the new leader within <seconds> s
    And the new leader sent it at most 1.3 times the missing bytes plus 16 KB

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

  Scenario Outline: The last matching entry of logs that differ in <terms> terms of <entries> entries is found with few probes
    Given a leader and a follower whose logs differ in <terms> terms of <entries> entries each
    When the leader probes and receives each reply <times> times
    Then it has sent at most <most> appends before the first with entries
    And the follower has the log of the leader

    Examples:
      | terms | entries | times | most |
      | 1     | 1       | 1     | 2    |
      | 1     | 500     | 1     | 2    |
      | 5     | 100     | 1     | 6    |
      | 5     | 100     | 3     | 6    |
      | 20    | 3       | 2     | 21   |

  Scenario: A follower that lost acknowledged entries is probed once per heartbeat
    Given a leader and a follower that has lost acknowledged entries
    When they run for 5 s
    Then the leader sent the follower at most 60 appends and no entries

  # Guards against a leader that fails when the reply of a removed replica commits
  # the removal.
  Scenario: A replica whose reply commits its own removal is sent no more messages
    Given a leader of four voters that removes a voter
    When the removed voter replies last of a majority
    Then the removal is committed and the removed voter is sent no more messages
