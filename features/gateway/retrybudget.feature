Feature: Retries of all gateways stay within the fleet's budget

  # Guards against refusals that cannot be explained from the log.
  Scenario Outline: A retry that is <outcome> is logged with what decided it
    Given a gateway whose retry budget is <budget>
    When each of two endpoints rejects a request once
    Then "retry <outcome>" is logged with the request, service, budget, share and age
    And the metric "<metric>" counts <count> for the service

    Examples:
      | outcome | budget   | metric                        | count |
      | taken   | full     | colts_gateway_retries         | 2     |
      | refused | used up  | colts_gateway_retries_refused | 1     |
