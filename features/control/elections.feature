Feature: Elections after replicas have started again

  Time is virtual, a message takes 1 ms, three replicas have had a leader.

  Scenario Outline: <who> start again <how>
    Given three replicas with a leader
    When <who> start again <how>
    Then one leads after <least> s at the earliest and <most> s at the latest

    Examples:
      | who            | how                        | least | most |
      | all            | at once                    | 0.0   | 0.25 |
      | all            | but one 0.4 s later        | 0.0   | 0.8  |
      | all            | but one never              | 0.6   | 1.0  |
      | both followers | while the leader is cut off | 0.6  | 1.0  |
      | both followers | while the leader is frozen | 0.6   | 1.0  |

  Scenario: A replica that starts again beside a leader disturbs nobody
    Given three replicas with a leader
    When one follower starts again
    Then the same one leads in the same term for 5 s

  Scenario Outline: Only a replica whose log lacks nothing is elected at once
    Given three replicas with a leader, of which <ahead> hold one entry more
    When all start again at once
    Then one of those that are ahead leads within 1.5 s

    Examples:
      | ahead |
      | 1     |
      | 2     |

  Scenario: No two replicas ever hold a lease, whoever starts again when
    Then over 300 drawn histories of starts, cuts and freezes two never hold one

  Scenario: No two replicas ever hold a lease, whoever hands over when
    Then over 300 drawn histories of these and of leaders that hand over two never hold one

  Scenario Outline: A leader that hands over and is cut off <after> ms later
    Given three replicas with a leader
    When the leader hands over and is cut off <after> ms later
    Then two never hold a lease, and another one leads within <most> s

    Examples:
      | after | most |
      | 0     | 1.8  |
      | 1     | 1.8  |
      | 2     | 0.1  |
      | 3     | 0.1  |

  Scenario Outline: A voter that <has> is asked for <what>
    Given a voter that <has>
    When another one asks it for <what>
    Then it says <answer>

    Examples:
      | has                                | what                     | answer  |
      | started 0.1 s ago                  | a pre-vote               | idle    |
      | started 0.1 s ago                  | a vote                   | no      |
      | started 0.1 s ago                  | a vote as all are idle   | yes     |
      | started 0.1 s ago                  | a pre-vote, log too old  | no      |
      | started 0.7 s ago                  | a pre-vote               | yes, idle |
      | started 0.7 s ago                  | a vote                   | yes     |
      | heard a leader 0.1 s ago           | a pre-vote               | no      |
      | heard a leader 0.1 s ago           | a vote as all are idle   | no      |
      | heard a leader 0.7 s ago           | a pre-vote               | yes     |
      | leads                              | a vote as all are idle   | no      |
      | led until 0.1 s ago                | a pre-vote               | no      |
      | led until 0.1 s ago                | a vote as all are idle   | no      |

  Scenario: Replicas that are ready at the same instant seldom split their votes
    When all of three replicas start again at the same instant, 200 times
    Then 9 in 10 have a leader within 0.3 s, all within 1.2 s

  # Guards against two voters that refuse each other for good.
  Scenario Outline: Two of three voters with terms <terms> and logs <logs> elect a leader
    Given two of three voters in terms <terms> whose logs end at <logs>
    Then one of them leads within 3 s

    Examples:
      | terms | logs  |
      | 5, 5  | 11, 10 |
      | 5, 6  | 11, 10 |
      | 5, 6  | 10, 10 |
      | 5, 7  | 11, 10 |
      | 5, 9  | 11, 10 |

  Scenario: Two of three voters elect a leader whatever they hold and have heard
    Then of all pairs of terms, logs and last contacts each leads within 3 s

  # Guards against elections that never come to their end, as processes that are
  # late or disks that are slow take longer than the pauses between them.
  Scenario Outline: Replicas stall for up to <stall> s, <together>, and sync in up to <sync> s
    Given <count> replicas that stall for up to <stall> s, <together>, and sync in up to <sync> s
    When they run for 60 s, in 6 histories
    Then none is without a leader for <longest> s, and all lead over half of the time

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

  # Guards against a count of failed elections that grows without a bound.
  Scenario: Timeouts stay bounded after 5000 failed elections
    When a replica has seen 5000 failed elections
    Then its election timeouts are at most 4 times the usual ones

  # Guards against the vote of an earlier process that counts as a failed election.
  Scenario: A replica that starts with a vote on its disk waits no longer than others
    When a replica starts that has voted in its term, and stands for election
    Then its election timeouts are at most 1 times the usual ones
