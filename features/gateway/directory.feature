Feature: Gateway addresses for the callers of a zone

  Scenario Outline: <near> local gateways out of <all>
    Given zones a, b and c with <sizes> gateways
    Then callers of zone <zone> get <near> local and <far> remote gateways

    Examples:
      | sizes  | zone | near | far | all |
      | 4 3 2  | a    | 4    | 0   | 9   |
      | 4 3 2  | b    | 3    | 1   | 9   |
      | 4 3 2  | c    | 2    | 2   | 9   |
      | 9 9 9  | c    | 9    | 0   | 27  |
      | 1 1 1  | a    | 1    | 2   | 3   |
      | 1 0 0  | b    | 0    | 1   | 1   |
      | 80 0 0 | a    | 64   | 0   | 80  |

  # Guards against sending callers to gateways that lost their links to all
  # endpoints, and against sending all callers to the few others.
  Scenario Outline: <partitioned> of <sizes> gateways reach no endpoint
    Given zones a, b and c with <sizes> gateways
    And <partitioned> of the gateways of each zone reach no endpoint
    Then callers of zone <zone> get <near> local and <far> remote gateways
    And callers of zone <zone> get partitioned gateways: <kept>

    Examples:
      | sizes | partitioned | zone | near | far | kept |
      | 4 3 3 | 3 0 0    | a    | 1    | 3   | no   |
      | 4 3 3 | 4 0 0    | a    | 0    | 4   | no   |
      | 4 3 3 | 3 0 0    | b    | 3    | 1   | no   |
      | 4 3 3 | 3 1 1    | a    | 1    | 3   | no   |
      | 4 3 3 | 3 2 1    | a    | 4    | 0   | yes  |
      | 4 3 3 | 3 2 2    | c    | 3    | 1   | yes  |
      | 4 3 3 | 4 3 3    | a    | 4    | 0   | yes  |
      | 1 0 0 | 1 0 0    | a    | 1    | 0   | yes  |

  Scenario: Remote gateways differ between zones and rarely change
    Given zones a, b and c with 9 1 1 gateways
    Then callers of zones b and c get different remote gateways
    And callers of a zone keep the other remote gateways when one is lost
