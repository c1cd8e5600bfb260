Feature: What a leader lacks of endpoints reaches it in bounded requests

  Guards against requests that grow with the number of endpoints and are sent
  again whole after each lost response.

  Scenario Outline: A <watcher> brings <count> endpoints, <lost> of 2 responses are lost
    Given a <watcher> that has to bring <count> endpoints
    When <lost> of 2 responses are lost until nothing is left
    Then each endpoint was delivered, in <requests> requests of at most 500

    Examples:
      | watcher | count | lost | requests |
      | relay   | 0     | 0    | 0        |
      | relay   | 500   | 0    | 1        |
      | relay   | 1300  | 0    | 3        |
      | relay   | 1300  | 1    | 6        |
      | gateway | 120   | 0    | 1        |
      | gateway | 1300  | 0    | 3        |
      | gateway | 1300  | 1    | 6        |

  Scenario: A later announcement is delivered although an earlier one was
    Given a relay that has to bring 1 endpoints
    When its endpoint is announced again while a request is in flight
    Then the later announcement is in the next request

  Scenario: A gateway brings nothing of an endpoint that has expired meanwhile
    Given a gateway that has to bring 2 endpoints
    When one of its endpoints expires before the request
    Then the request tells of the other one only
