Feature: The fleet's retry budget under restarts, losses and partitions of gateways

  # Guards against retries beyond the fleet's budget: within one window, a restarted
  # gateway got its full share of the slack again, and shares grew as members were lost.
  Scenario Outline: No window exceeds the fleet's retry budget if <history>
    Given gateways whose endpoints all fail
    When <history> meanwhile
    Then no window exceeds the fleet's retry budget

    Examples:
      | history                                 |
      | no gateway is lost                      |
      | all restart twice                       |
      | each restarts in turn                   |
      | five of nine are lost                   |
      | five of nine are partitioned            |
      | members become known one by one         |
      | four gateways become twelve             |
      | all restart between two bursts          |
      | callers move between two bursts         |
      | reserved retries are sent late          |
      | reserved retries outlast their requests |
      | the leader changes repeatedly           |
      | there is no leader for 6 s              |
      | loans are used at their expiry          |
      | half of the loans are lost in transit   |
      | all restart while they borrow           |

  Scenario Outline: No window of random histories <first> to <last> exceeds the budget
    Then random histories <first> to <last> stay within the fleet's retry budget

    Examples:
      | first | last |
      | 0     | 19   |
      | 20    | 39   |

  # Guards against a budget that is unusable with many gateways, as the share of each
  # is less than one retry.
  Scenario Outline: <failing> of <count> gateways with <requests> requests each see failures
    When <failing> of <count> gateways without failures and with <requests> requests each begin to see failures
    Then within 1 s they send at least <least> retries and stay within the fleet's budget

    Examples:
      | count | requests | failing | least |
      | 9     | 25       | 9       | 90    |
      | 96    | 5        | 96      | 58    |
      | 520   | 1        | 520     | 58    |
      | 520   | 4        | 520     | 58    |
      | 9     | 25       | 1       | 18    |
      | 96    | 5        | 1       | 18    |
      | 520   | 1        | 1       | 18    |

  Scenario Outline: An injected defect of the fleet's retry budget is detected: <defect>
    Given the defect "<defect>" in the fleet's retry budget
    Then one of the histories exceeds the budget

    Examples:
      | defect                              |
      | a restart forgets sent retries      |
      | the newest share is used            |
      | a share outlives its proof          |
      | a share lasts for half of the span  |
      | a gateway uses the whole ratio      |
      | retries leave the window early      |
      | reserved retries are always sent    |
      | a new leader lends at once          |
      | a loan counts only until its expiry |
      | loans never expire                  |
      | the whole slack is lent as well     |

  Scenario Outline: The minimum of shares <shares> is <minimum>
    Given a gateway that held a share of <shares> at <times> s
    Then its minimum share at <now> s, over 10 s with proofs valid for 4 s, is <minimum>

    Examples:
      | shares          | times   | now | minimum |
      | 0.1             | 0       | 3   | 0       |
      | 0.1 0.1 0.1 0.1 | 0 3 6 9 | 10  | 0.1     |
      | 0.1 0.5 0.5     | 0 3 6   | 9   | 0       |
      | 0.1 0.5 0.5 0.5 | 0 3 6 9 | 12  | 0.1     |
      | 0.1 0.5 0.5 0.5 | 0 3 6 9 | 13  | 0.5     |
      | 0.5 0.1 0.5 0.5 | 0 3 6 9 | 13  | 0.1     |
      | 0.1 0.1 0.1 0.1 | 0 3 6 9 | 14  | 0       |
      | 0.1 0.1 0.1     | 0 5 9   | 12  | 0       |
