Feature: Elections after restarts, stalls and slow disks

  Time is virtual and a message takes 1 ms.

  Scenario Outline: <who> restart <how>
    Given three replicas with a leader
    When <who> restart <how>
    Then a leader is elected after <least> s at the earliest and <most> s at the latest

    Examples:
      | who            | how                        | least | most |
      | all            | at once                    | 0.0   | 0.25 |
      | all            | but one 0.4 s later        | 0.0   | 0.8  |
      | all            | but one never              | 0.6   | 1.0  |
      | both followers | while the leader is cut off | 0.6  | 1.0  |
      | both followers | while the leader is frozen | 0.6   | 1.0  |

  Scenario: A follower that restarts does not disrupt the leader
    Given three replicas with a leader
    When one follower restarts
    Then the leader remains the same in the same term for 5 s

  Scenario Outline: A replica with an outdated log is not elected after a restart of all
    Given three replicas with a leader, of which <ahead> hold an additional entry
    When all restart at once
    Then a replica with the additional entry is elected within 1.5 s

    Examples:
      | ahead |
      | 1     |
      | 2     |

  Scenario: Two replicas never hold a lease at the same time during restarts
    Then in 300 random histories of restarts, network cuts and freezes at most one replica holds a lease

  Scenario: Two replicas never hold a lease at the same time during leadership transfers
    Then in 300 random histories that include leadership transfers at most one replica holds a lease

  Scenario Outline: A leader that transfers its leadership is cut off <after> ms later
    Given three replicas with a leader
    When the leader transfers its leadership and is cut off <after> ms later
    Then at most one replica holds a lease, and another leader is elected within <most> s

    Examples:
      | after | most |
      | 0     | 1.8  |
      | 1     | 1.8  |
      | 2     | 0.1  |
      | 3     | 0.1  |

  Scenario Outline: A voter that <has> receives a request for <what>
    Given a voter that <has>
    When another voter requests <what>
    Then the voter replies <answer>

    Examples:
      | has                                | what                     | answer  |
      | started 0.1 s ago                  | a pre-vote               | idle    |
      | started 0.1 s ago                  | a vote                   | no      |
      | started 0.1 s ago                  | a vote as all are idle   | yes     |
      | started 0.1 s ago                  | a pre-vote, log too old  | no      |
      | started 0.7 s ago                  | a pre-vote               | yes, idle |
      | started 0.7 s ago                  | a vote                   | yes     |
      | received a heartbeat 0.1 s ago     | a pre-vote               | no      |
      | received a heartbeat 0.1 s ago     | a vote as all are idle   | no      |
      | received a heartbeat 0.7 s ago     | a pre-vote               | yes     |
      | leads                              | a vote as all are idle   | no      |
      | led until 0.1 s ago                | a pre-vote               | no      |
      | led until 0.1 s ago                | a vote as all are idle   | no      |

  Scenario: Replicas that restart at the same instant rarely split their votes
    When three replicas restart at the same instant, 200 times
    Then 9 in 10 have a leader within 0.3 s, all within 1.2 s

  # Guards against two voters that refuse each other's votes forever.
  Scenario Outline: Two of three voters with terms <terms> and logs <logs> elect a leader
    Given two of three voters in terms <terms> whose logs end at <logs>
    Then one of them is elected within 3 s

    Examples:
      | terms | logs  |
      | 5, 5  | 11, 10 |
      | 5, 6  | 11, 10 |
      | 5, 6  | 10, 10 |
      | 5, 7  | 11, 10 |
      | 5, 9  | 11, 10 |

  Scenario: Two of three voters elect a leader from any combination of states
    Then with every pair of terms, logs and last contacts a leader is elected within 3 s

  # Guards against elections that never succeed, because stalled processes or slow
  # disks delay votes for longer than the election timeout.
  Scenario Outline: Replicas stall for up to <stall> s, <together>, and sync in up to <sync> s
    Given <count> replicas that stall for up to <stall> s, <together>, and sync in up to <sync> s
    When they run for 60 s, in 6 histories
    Then none is without a leader for <longest> s, and all have one for over half of the time

    Examples:
      | count | stall | together | sync | longest |
      | 3     | 0.0   | apart    | 0.0  | 2       |
      | 3     | 0.6   | apart    | 0.0  | 20      |
      | 3     | 1.2   | apart    | 0.0  | 20      |
      | 3     | 1.2   | together | 0.0  | 20      |
      | 3     | 0.0   | apart    | 0.1  | 20      |
      | 3     | 0.0   | apart    | 0.6  | 20      |
      | 3     | 0.0   | apart    | 1.2  | 20      |
      | 3     | 0.6   | apart    | 0.6  | 20      |
      | 5     | 1.2   | apart    | 0.0  | 20      |
      | 5     | 0.6   | apart    | 0.6  | 20      |

  Scenario Outline: Replicas that stall for up to <stall> s and sync in up to <sync> s lose their leader
    Given 3 replicas that stall for up to <stall> s, apart, and sync in up to <sync> s
    When they run for 30 s and 30 s more without their leader, in 6 histories
    Then none is without a leader for 20 s

    Examples:
      | stall | sync |
      | 0.6   | 0.0  |
      | 1.2   | 0.0  |
      | 0.0   | 0.6  |
      | 0.0   | 1.2  |

  # Guards against election timeouts that grow with each failed election without a
  # bound.
  Scenario: Election timeouts stay bounded after 5000 failed elections
    When a replica has recorded 5000 failed elections
    Then its election timeouts are at most 4 times the regular ones

  # Guards against counting the vote of an earlier process as a failed election.
  Scenario: A stored vote does not extend election timeouts after a restart
    When a replica restarts with a stored vote and campaigns
    Then its election timeouts are at most 1 times the regular ones
