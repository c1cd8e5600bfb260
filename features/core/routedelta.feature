Feature: Gateways get deltas between versions of the routes

  Scenario Outline: A delta applied to a version yields the next one
    Given a version of 40 routes
    When the next version <changes>
    Then it is sent as a <form>, in at most <bytes> bytes
    And a gateway that applies it has the next version in force

    Examples:
      | changes             | form     | bytes |
      | changes nothing     | delta    | 200   |
      | adds 2 routes       | delta    | 700   |
      | drops 3 routes      | delta    | 400   |
      | moves a route       | delta    | 500   |
      | revokes a key       | delta    | 400   |
      | changes the limits  | delta    | 300   |
      | adds a service      | delta    | 400   |
      | changes all routes  | snapshot | 12000 |

  Scenario: A gateway that is many versions behind gets one delta
    Given a version of 40 routes
    When 20 versions follow that add a route each
    Then a gateway that applies the update has the next version in force
    And it is sent as a delta, in at most 6000 bytes

  Scenario Outline: A delta that does not fit makes a gateway request a snapshot
    Given a version of 40 routes
    When a gateway <state> gets a delta to the next version
    Then it keeps its version and requests a snapshot

    Examples:
      | state               |
      | without any version |
      | at another version  |

  Scenario: The number of stored versions is bounded
    Given a version of 40 routes
    When 200 versions follow that add a route each
    Then at most 32 versions are stored and an old gateway gets a snapshot
