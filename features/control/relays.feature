Feature: Gateways are told by relays of their zone, and proofs keep their age

  Scenario: Whatever happens to relays, replicas and ways, nothing old is proved
    Then in 120 drawn histories no withdrawn version is served past its bound
    And after each of them everybody knows everything 6 s after it has calmed

  Scenario Outline: A planted defect shows: <defect>
    When the defect "<defect>" is planted
    Then a drawn or directed history fails

    Examples:
      | defect                                            |
      | a relay dates the proof anew                      |
      | a relay dates the proof when the answer comes     |
      | relays answer each other's questions              |
      | a late report of a gateway that moved counts      |
      | a leader that takes over tells nobody of lost ones |
      | a gateway stays with a relay that is behind       |

  Scenario Outline: A relay <that> is left within <seconds> s
    Given 6 gateways that watch, each asking a relay of its zone
    When the relay of zone za <that>
    Then after <seconds> s the gateways of zone za have a proof of at most <age> s
    And no gateway was lost meanwhile

    Examples:
      | that                        | seconds | age |
      | dies                        | 1.0     | 1.3 |
      | stands still                | 1.8     | 1.5 |
      | is cut off from the leader  | 3.0     | 1.5 |
      | is cut off from its zone    | 1.8     | 1.5 |

  Scenario Outline: A change is in force everywhere <when>, within <seconds> s
    Given 6 gateways that watch, each asking a relay of its zone
    When a version is put <when>
    Then it is in force at all gateways within <seconds> s

    Examples:
      | when                         | seconds |
      | in calm                      | 0.1     |
      | as the leader is lost        | 2.5     |
      | as all relays die            | 1.5     |

  Scenario: A leader that takes over need not tell anybody everything again
    Given 60 gateways that watch, each asking a relay of its zone
    When another replica takes over
    Then no gateway is told of more than 10 members anew
    And no gateway was lost meanwhile

  Scenario: A newcomer that asks in another zone is sent to its own
    Given 6 gateways that watch, each asking a relay of its zone
    When a gateway of each zone starts that knows one replica only
    Then each asks a process of its own zone after 1 s

  Scenario: The leader is asked by relays, not by the gateways of other zones
    Given 60 gateways that watch, each asking a relay of its zone
    When 5 s go by
    Then the leader has answered at most half of the questions of gateways

  Scenario: A book tells a page at a time and goes on where an answer was lost
    Given a book of 1300 endpoints
    When somebody who knows nothing asks and every second answer is lost
    Then it knows all of them after 6 answers of at most 500

  Scenario: All of control starts again and gateways bring what they know
    Given 6 gateways that watch, each asking a relay of its zone
    And 8 endpoints that are known
    When all processes of control start again at once
    Then each gateway uses all 8 endpoints all the while
    And a new leader knows all 8 after 1.5 s although none announces itself
