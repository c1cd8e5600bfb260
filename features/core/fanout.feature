Feature: One copy of a gateway's summary goes to each other zone

  Scenario Outline: Datagrams between <zones> zones with <used> gateways in use each
    Given <zones> zones with <used> gateways in use each
    When one of them begins and ends a work item
    Then each other gateway in use has received both changes
    And <between> datagrams were sent between zones

    Examples: two per other zone, regardless of its number of gateways
      | zones | used | between |
      | 1     | 4    | 0       |
      | 3     | 1    | 4       |
      | 3     | 4    | 4       |
      | 5     | 8    | 8       |
      | 12    | 8    | 22      |

  Scenario: A gateway that does not forward hides a sender for one turn only
    Given 3 zones with 8 gateways in use each
    When one of them has work for 8 turns while another gateway is frozen
    Then each other running gateway has received that work in the last 3 turns

  Scenario: A gateway that knows only its own zone forwards summaries of other zones
    Given 2 zones with 4 gateways in use each
    When the receivers in the other zone know only each other
    And one of them begins and ends a work item
    Then each other gateway in use has received both changes

  Scenario: A datagram of a program version without forwarding is decoded
    Then a summary without the last field is applied and not forwarded
