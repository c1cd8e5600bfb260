Feature: Gateways are told what changed between versions

  Scenario Outline: Applying the changes gives the newer version
    Given a version of 40 routes
    When the next version <changes>
    Then it is told <how>, in at most <bytes> bytes
    And a gateway that takes it has the next version in force

    Examples:
      | changes             | how        | bytes |
      | changes nothing     | as changes | 200   |
      | adds 2 routes       | as changes | 700   |
      | drops 3 routes      | as changes | 400   |
      | moves a route       | as changes | 500   |
      | takes a key away    | as changes | 400   |
      | changes the limits  | as changes | 300   |
      | adds a service      | as changes | 400   |
      | changes all routes  | whole      | 12000 |

  Scenario: A gateway that is many versions behind gets all changes at once
    Given a version of 40 routes
    When 20 versions follow that add a route each
    Then a gateway that takes what is told has the next version in force
    And it is told as changes, in at most 6000 bytes

  Scenario Outline: What does not fit is asked for whole
    Given a version of 40 routes
    When a gateway <state> gets changes to the next version
    Then it keeps its version and asks for the whole one

    Examples:
      | state               |
      | without any version |
      | at another version  |

  Scenario: Only some versions are remembered
    Given a version of 40 routes
    When 200 versions follow that add a route each
    Then at most 32 versions are remembered and an old gateway gets it whole
