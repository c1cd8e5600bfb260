Feature: Which gateways callers of a zone are sent to

  Scenario Outline: <near> gateways in a zone of <all>
    Given zones a, b and c with <sizes> gateways
    Then callers of zone <zone> get <near> near and <far> far ones

    Examples:
      | sizes  | zone | near | far | all |
      | 4 3 2  | a    | 4    | 0   | 9   |
      | 4 3 2  | b    | 3    | 1   | 9   |
      | 4 3 2  | c    | 2    | 2   | 9   |
      | 9 9 9  | c    | 9    | 0   | 27  |
      | 1 1 1  | a    | 1    | 2   | 3   |
      | 1 0 0  | b    | 0    | 1   | 1   |
      | 80 0 0 | a    | 64   | 0   | 80  |

  Scenario: The far ones are drawn apart for each zone and stay the same
    Given zones a, b and c with 9 1 1 gateways
    Then callers of zones b and c do not all get the same far ones
    And callers of a zone get the same when a far one is lost, but for that one
