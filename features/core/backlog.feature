Feature: Endpoint announcements reach a leader that lacks them in bounded requests

  Guards against requests that grow with the number of endpoints and are resent
  in full after each lost response.

  Scenario Outline: A <watcher> delivers <count> endpoints, <lost> of 2 responses are lost
    Given a <watcher> with <count> undelivered endpoints
    When <lost> of 2 responses are lost until all endpoints are delivered
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

  Scenario: A newer announcement is delivered after an older one
    Given a relay with 1 undelivered endpoints
    When its endpoint is announced again while a request is in flight
    Then the newer announcement is in the next request

  Scenario: A gateway does not deliver an endpoint that has expired
    Given a gateway with 2 undelivered endpoints
    When one of its endpoints expires before the request
    Then the request contains only the other endpoint
