Feature: Bounds that keep one fault from becoming many

  Scenario: Nothing counts as stored before it is synced
    Given an empty data folder
    When a batch is stored
    Then the log was synced after its last byte and before the answer

  Scenario Outline: Retries stay a share of fresh requests
    Given a retry budget that <spent> and then <requests> fresh requests
    Then it allows <most> retries and no more

    Examples:
      | spent         | requests | most |
      | is untouched  | 0        | 20   |
      | is spent      | 0        | 0    |
      | is spent      | 100      | 10   |
      | is spent      | 10000    | 20   |

  Scenario Outline: Few endpoints are ejected at a time
    When all of <count> endpoints fail again and again
    Then <most> of them are ejected

    Examples:
      | count | most |
      | 2     | 0    |
      | 3     | 1    |
      | 9     | 3    |

  Scenario Outline: Each program names its commands and flags
    When "<program>" is asked for help
    Then the help names "<words>"

    Examples:
      | program          | words          |
      | colts-ctl        | config patch   |
      | colts-ctl        | --base         |
      | colts-gateway    | passes requests |
      | colts-control    | bootstrap      |
      | colts-entry      | --settings     |
      | colts-standalone | --settings     |
      | colts-replay     | --settings     |
