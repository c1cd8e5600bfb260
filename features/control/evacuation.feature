Feature: Replicas store which availability zones are evacuated

  # Guards against an order that is lost after it was acknowledged.
  Scenario Outline: An order survives <loss>
    Given three replicas
    When the calls "order" reach control
    And <loss> happens
    Then every replica holds change 1 of the zone, evacuated
    And the leader publishes the zone as evacuated

    Examples:
      | loss                             |
      | the loss of the leader           |
      | a cold restart of all replicas   |
      | a snapshot and a cold restart    |
      | the loss of a disk               |

  # Guards against repeated or delayed calls that change the state again. Calls
  # carry no sequence number: a copy that arrives last is taken for a new one,
  # but not if control had received it before a later call.
  Scenario Outline: Of the calls <calls>, the last but a delayed one counts
    Given three replicas
    When the calls "<calls>" reach control
    Then every replica holds change <change> of the zone, <state>

    Examples:
      | calls                              | change | state     |
      | withdraw                           | 0      | in use    |
      | order, order                       | 1      | evacuated |
      | order, withdraw                    | 2      | in use    |
      | order, withdraw, withdraw          | 2      | in use    |
      | order, withdraw, order             | 3      | evacuated |
      | order read, withdraw, order late   | 1      | evacuated |
      | order read, order, order late      | 1      | evacuated |
      | order read, order, withdraw, order late | 2 | in use    |
      | order, withdraw read, withdraw, order, withdraw late | 3 | evacuated |

  # Guards against a resent call that fails or changes the state once more.
  Scenario: The leader is lost between commit and acknowledgement
    Given three replicas
    When an order is committed and the leader is lost before it responds
    And the calls "order" reach control
    Then the last call is acknowledged
    And every replica holds change 1 of the zone, evacuated

  # Guards against replicas that end, or lose the order in their snapshots, as
  # their build does not know the command.
  Scenario Outline: A replica of a build without evacuation applies <calls>
    When a replica without evacuation applies the log of "<calls>"
    Then its state equals that of a replica with evacuation
    And its snapshot holds change <change> of the zone, <state>

    Examples:
      | calls                                   | change | state     |
      | order                                   | 1      | evacuated |
      | order, order, withdraw                  | 2      | in use    |
      | order read, order, withdraw, order late | 2      | in use    |

  Scenario: A leader of a build without evacuation does not acknowledge
    When a leader refuses the calls as unknown messages
    Then the call is refused as unavailable, to be resent

  # Guards against a gateway that has read only the first page of changes and
  # counts as knowing all orders.
  Scenario: The first page of many changes holds all orders
    Given a fleet state of 1300 endpoints
    When zones "za zb" are evacuated, "za" is restored, and a watcher asks
    Then its first page names "zb" as evacuated and "za" as restored
    And a copy of the last page publishes "zb" alone

  # Guards against a new leader that publishes the orders of its copy.
  Scenario: A new leader publishes from the replicated state
    Given a copy of the fleet state in which "za" is evacuated
    When a replica that has stored the order for "zb" alone takes over
    Then its first page names "zb" as evacuated and "za" as restored
