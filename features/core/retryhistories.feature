Feature: The fleet's retry budget over restarts, losses and cuts of gateways

  # Guards against retries beyond the fleet's budget: a restarted gateway held a whole
  # share of the slack, and shares grew as members were lost, within one window.
  Scenario Outline: No window holds more retries than the fleet may send where <history>
    Given gateways whose endpoints all fail
    When <history> meanwhile
    Then no window holds more retries than the fleet may send

    Examples:
      | history                         |
      | no gateway is lost              |
      | all restart twice               |
      | each restarts in turn           |
      | five of nine are lost           |
      | five of nine are cut off        |
      | members become known one by one |
      | four gateways become twelve     |
      | all restart between two bursts  |
      | callers move between two bursts |
      | reserved retries leave late     |
      | reserved retries lose their ground |
      | one leader after another begins |
      | nobody leads for 6 s            |
      | loans are used at their end     |
      | half of the loans are lost      |
      | all restart while they borrow   |

  Scenario Outline: No window of drawn histories <first> to <last> holds too many retries
    Then histories <first> to <last> keep to the fleet's retry budget

    Examples:
      | first | last |
      | 0     | 19   |
      | 20    | 39   |

  # Guards against a budget that many gateways cannot use, as each one's part is
  # less than one retry.
  Scenario Outline: <count> gateways, <requests> requests each, <failing> of them see failures
    When <failing> of <count> calm gateways with <requests> requests each begin to fail
    Then within 1 s they send at least <least> retries and no more than the fleet may

    Examples:
      | count | requests | failing | least |
      | 9     | 25       | 9       | 90    |
      | 96    | 5        | 96      | 58    |
      | 520   | 1        | 520     | 58    |
      | 520   | 4        | 520     | 58    |
      | 9     | 25       | 1       | 18    |
      | 96    | 5        | 1       | 18    |
      | 520   | 1        | 1       | 18    |

  Scenario Outline: A planted defect of the fleet's retry budget is caught: <defect>
    Given the defect "<defect>" in the fleet's retry budget
    Then one of the histories breaks the bound

    Examples:
      | defect                              |
      | spends are forgotten by a restart   |
      | share of the newest members         |
      | a share outlives its proof          |
      | a share lasts for half of the span  |
      | each window earns the whole ratio   |
      | retries leave the window early      |
      | reserved retries are sent whenever  |
      | a new leader lends at once          |
      | a loan counts for its own time only |
      | loans never end                     |
      | all of the slack is lent as well    |

  Scenario Outline: A share of <shares> counts as <least>
    Given a gateway that held a share of <shares> at <times> s
    Then its settled share at <now> s, over 10 s with proofs good for 4 s, is <least>

    Examples:
      | shares        | times      | now | least |
      | 0.1           | 0          | 3   | 0     |
      | 0.1 0.1 0.1 0.1 | 0 3 6 9  | 10  | 0.1   |
      | 0.1 0.5 0.5   | 0 3 6      | 9   | 0     |
      | 0.1 0.5 0.5 0.5 | 0 3 6 9  | 12  | 0.1   |
      | 0.1 0.5 0.5 0.5 | 0 3 6 9  | 13  | 0.5   |
      | 0.5 0.1 0.5 0.5 | 0 3 6 9  | 13  | 0.1   |
      | 0.1 0.1 0.1 0.1 | 0 3 6 9  | 14  | 0     |
      | 0.1 0.1 0.1   | 0 5 9      | 12  | 0     |
