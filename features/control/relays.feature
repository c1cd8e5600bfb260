Feature: Relays serve the gateways of their zone, and proofs keep their age

  Scenario: No fault of relays, replicas or links makes an old version count as current
    Then in 120 random histories no withdrawn version is served past its bound
    And after each history all gateways are up to date 6 s after the last fault

  # Guards against a gateway that has a proof and lacks an acknowledged order.
  Scenario: No fault of relays, replicas or links hides an order to evacuate a zone
    Then in 60 random histories no order is unknown past its bound

  Scenario Outline: An injected defect is detected: <defect>
    When the defect "<defect>" is injected
    Then a random or directed history fails

    Examples:
      | defect                                                   |
      | a relay resets the age of the proof                      |
      | a relay dates the proof at the arrival of the response   |
      | relays answer watches of other relays                    |
      | a late report of a former relay is accepted              |
      | a new leader never reports members lost with the old one |
      | a gateway stays attached to a relay that is behind       |
      | a relay does not copy the evacuated zones                |

  Scenario Outline: Gateways leave a relay that <fault> within <seconds> s
    Given 6 gateways that each watch a relay of their zone
    When the relay of zone za <fault>
    Then after <seconds> s the gateways of zone za have a proof of at most <age> s
    And no gateway was reported lost

    Examples:
      | fault                       | seconds | age |
      | crashes                     | 1.0     | 1.3 |
      | is frozen                   | 1.8     | 1.5 |
      | is cut off from the leader  | 3.0     | 1.5 |
      | is cut off from its zone    | 1.8     | 1.5 |

  Scenario Outline: A version put <when> is in use at all gateways within <seconds> s
    Given 6 gateways that each watch a relay of their zone
    When a version is put <when>
    Then it is in use at all gateways within <seconds> s

    Examples:
      | when                         | seconds |
      | without faults               | 0.1     |
      | as the leader is lost        | 2.5     |
      | as all relays crash          | 1.5     |

  Scenario: A change of leader sends gateways changes only, not the complete state
    Given 60 gateways that each watch a relay of their zone
    When another replica takes over
    Then no gateway receives more than 10 members again
    And no gateway was reported lost

  Scenario: A new gateway that watches another zone is redirected to its own
    Given 6 gateways that each watch a relay of their zone
    When a gateway of each zone starts that knows one replica only
    Then each watches a process of its own zone after 1 s

  Scenario: The leader answers at most half as many watches as gateways send
    Given 60 gateways that each watch a relay of their zone
    When 5 s pass
    Then the leader has answered at most half as many watches as gateways sent

  Scenario: Changes come in pages, and a lost response costs one page
    Given a fleet state of 1300 endpoints
    When a new watcher requests changes and every second response is lost
    Then it knows all endpoints after 6 responses of at most 500 endpoints

  Scenario: Gateways report endpoints to control after a cold restart
    Given 6 gateways that each watch a relay of their zone
    And 8 endpoints that have announced themselves
    When all control processes restart at once
    Then each gateway keeps using all 8 endpoints
    And the new leader knows all 8 after 1.5 s without new announcements
