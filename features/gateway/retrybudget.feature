Feature: Retries of all gateways stay within the fleet's budget

  # Guards against refusals that cannot be explained from the log.
  Scenario Outline: A retry that is <outcome> is logged with the state of the budget
    Given a gateway whose retry budget is <budget>
    When each of two endpoints rejects a request once
    Then "retry <outcome>" is logged with the request, service, budget, share and age
    And the metric "<metric>" counts <count> for the service
    And the state dump has the service's retry budget

    Examples:
      | outcome  | budget  | metric                        | count |
      | reserved | full    | colts_gateway_retries         | 2     |
      | refused  | used up | colts_gateway_retries_refused | 1     |

  # Guards against refusals although the budget is unused: a send that reached no
  # endpoint was charged like one that arrived.
  Scenario Outline: Only sends that arrive after the first one are charged if endpoints <acts>
    Given a gateway whose retry budget is full
    When a safe request meets endpoints that <acts> in turn
    Then it arrived <arrivals> times and <charged> retries were charged
    And its caller gets <status>

    Examples:
      | acts                   | arrivals | charged | status |
      | answer                 | 1        | 0       | 200    |
      | down, answer           | 1        | 0       | 200    |
      | down, down, answer     | 1        | 0       | 200    |
      | down, reject, answer   | 2        | 1       | 200    |
      | reject, down, answer   | 2        | 1       | 200    |
      | reject, answer         | 2        | 1       | 200    |
      | reject, reject, answer | 3        | 2       | 200    |
      | reset, answer          | 2        | 1       | 200    |
      | fail, answer           | 2        | 1       | 200    |
      | hang, answer           | 2        | 1       | 200    |
      | truncate, answer       | 2        | 1       | 200    |
      | down, down, down       | 0        | 0       | 503    |

  Scenario Outline: Endpoints that <acts> while the budget is used up
    Given a gateway whose retry budget is used up
    When a safe request meets endpoints that <acts> in turn
    Then it arrived <arrivals> times and 0 retries were charged
    And its caller gets <status>

    Examples:
      | acts               | arrivals | status |
      | down, answer       | 1        | 200    |
      | down, down, answer | 1        | 200    |
      | reject, answer     | 1        | 503    |
      | reset, answer      | 1        | 502    |

  Scenario Outline: A gateway whose share is used up, and the leader <does>
    Given a gateway whose retry budget is used up
    And the leader <does>
    When each of <count> requests in turn is rejected once by its endpoint
    Then <served> of them are answered and the others refused with 503
    And the leader got at most <asked> requests, each for refused retries

    Examples:
      | does           | count | served | asked |
      | lends 2        | 4     | 2      | 3     |
      | lends 16       | 4     | 3      | 2     |
      | lends nothing  | 4     | 0      | 1     |
      | is not reached | 4     | 0      | 1     |
