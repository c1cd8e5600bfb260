Feature: One copy of what a gateway tells goes to each other zone

  Scenario Outline: What <zones> zones of <used> gateways in use cost between zones
    Given <zones> zones with <used> gateways in use each
    When one of them begins and ends a piece of work
    Then each other gateway in use has heard both
    And <between> datagrams went between zones

    Examples: two for each other zone, however many gateways it has
      | zones | used | between |
      | 1     | 4    | 0       |
      | 3     | 1    | 4       |
      | 3     | 4    | 4       |
      | 5     | 8    | 8       |
      | 12    | 8    | 22      |

  Scenario: A gateway that passes nothing on hides a sender for one turn only
    Given 3 zones with 8 gateways in use each
    When one of them has work and 8 turns go by beside a gateway that is frozen
    Then each other running gateway has heard that work in the last 3 turns

  Scenario: A gateway that hears of no zone but its own spreads what it is told
    Given 2 zones with 4 gateways in use each
    When the receivers in the other zone know each other only
    And one of them begins and ends a piece of work
    Then each other gateway in use has heard both

  Scenario: A datagram of a program that passes nothing on is read
    Then a summary without the last field is taken and not passed on
