Feature: Gateways that lost their links to all endpoints still serve callers

  # Guards against refusing requests at gateways that are cut off from all endpoints
  # while other gateways could have served them.
  Scenario Outline: <cut> of <all> gateways are cut off, links <how>
    Given <all> gateways and 6 endpoints
    When <cut> gateways are cut off from all endpoints, their links <how>
    Then 3 s later, first tries there are served two thirds as often as elsewhere
    And at most 10 and one in 50 of these first tries fail there
    And no request that must not run twice ran twice

    Examples:
      | cut | all | how        |
      | 2   | 3   | reset      |
      | 2   | 3   | silent     |
      | 1   | 3   | refuse new |

  # Guards against gateways that forward a request to each other in a circle.
  Scenario Outline: Every gateway is cut off, links <how>
    Given 3 gateways and 6 endpoints
    When every gateway is cut off and known to be, their links <how>
    Then a request gets 503 within 0.1 s and may return after 0.5 s
    And no gateway forwarded a request that another one had forwarded

    Examples:
      | how    |
      | reset  |
      | silent |

  Scenario: Every gateway is cut off, and none knows it of the others
    Given 3 gateways and 6 endpoints
    When every gateway is cut off and does not know it of the others
    Then each request was forwarded to each other gateway at most once

  # Guards against a gateway that never sends directly again after a cut.
  Scenario Outline: Links heal after a cut, links <how>
    Given 3 gateways and 6 endpoints
    When gateway g1 is cut off and healed 2 s later, its links <how>
    Then 1.5 s after the heal its requests go to endpoints directly again

    Examples:
      | how        |
      | reset      |
      | silent     |
      | refuse new |

  # Guards against taking a slow or silent endpoint for a lost path.
  Scenario: Endpoints are silent for 1.2 s on open connections
    Given 2 gateways and 3 endpoints
    When the links of gateway g1 are silent for 1.2 s while connections open
    Then no failed connection was recorded

  # Guards against a response that is said not to have run after its gateway died.
  Scenario: The forwarding target dies while an unsafe request runs
    Given 2 gateways and 2 endpoints
    When gateway g2 dies while it serves an unsafe request that g1 forwarded
    Then the caller of g1 gets 502
    And the request ran once

  # Guards against a deadline that starts anew at the other gateway.
  Scenario: The endpoint is told the time that is left
    Given 2 gateways and 2 endpoints
    When g1 forwards a request with a timeout of 2000 ms that it has held for 0.5 s
    Then the endpoint is told at most 1500 ms

  # Guards against endpoints that work on for a caller that has left.
  Scenario: The caller of a forwarded request leaves
    Given 2 gateways and 2 endpoints
    When the caller of a request that g1 forwarded leaves
    Then the endpoint's connection is closed within 0.5 s

  # Guards against streams that look complete after their gateway died.
  Scenario: The forwarding target dies in the middle of a stream
    Given 2 gateways and 2 endpoints
    When gateway g2 dies while it serves a stream that g1 forwarded
    Then the stream of g1's caller is truncated

  # Guards against weaker checks on the path between gateways.
  Scenario Outline: A caller sets the header of forwarded requests and <has>
    Given 2 gateways and 2 endpoints
    When a caller that <has> sends a request to <gateway> as if it were forwarded
    Then the caller gets <status>
    And no endpoint sees the headers of forwarded requests

    Examples:
      | has              | gateway              | status |
      | has a key        | g2                   | 200    |
      | has no key       | g2                   | 401    |
      | has a key        | the cut-off g1       | 503    |
      | needs version 99 | g2                   | 503    |

  # Guards against older routes that are applied to a forwarded request.
  Scenario: Another gateway does not know the routes yet
    Given 3 gateways and 2 endpoints
    When g1 has newer routes than g2 and forwards 12 requests
    Then all of them are answered, none of them by g2
    And g2 was asked at most once within 1 s

  # Guards against retries beyond the budget by way of other gateways.
  Scenario Outline: A request is forwarded <when>
    Given 2 gateways and 2 endpoints
    When gateway g1 forwards a request <when>
    Then the caller gets 200
    And <charged> retries were charged to the retry budget

    Examples:
      | when                                    | charged |
      | that no endpoint has got                | 0       |
      | after a send that an endpoint has got   | 1       |

  # Guards against suspects of crashes that never happened: a cut resets connections
  # and refuses new ones, as the end of a process does.
  Scenario Outline: Links are reset while endpoints run 4 requests, <then>
    Given 2 gateways and 4 endpoints
    When gateway g1 is cut off while it has 4 requests in flight, and <then>
    Then g1 counts <crashes> crashes

    Examples:
      | then                                | crashes |
      | the endpoints work on               | 0       |
      | endpoint e1 restarts under its name | 1       |
      | the lease of endpoint e1 ends       | 1       |
      | endpoint e1 leaves                  | 0       |
      | another one announces e1's address  | 1       |
      | all links heal                      | 0       |
      | all links but that to e1 heal       | 1       |

  # Guards against suspects of endpoints that were probed before their path came back.
  Scenario Outline: Links are reset while endpoints run 4 requests, <then> while others are tried
    Given 2 gateways and 4 endpoints
    When gateway g1 is cut off with 4 requests in flight, and <then> after each was probed
    Then g1 counts <crashes> crashes

    Examples:
      | then                          | crashes |
      | all links heal                | 0       |
      | all links but that to e1 heal | 1       |

  Scenario: A rack of endpoints ends while another endpoint is reached
    Given 1 gateways and 4 endpoints
    When endpoints e1, e2 and e3 end while they run a request each
    Then g1 counts 3 crashes

  # Guards against waiting for two endpoints in turn before the path counts as lost.
  Scenario: The first request after a cut whose connections are not answered
    Given 2 gateways and 4 endpoints
    When the links of gateway g1 fall silent and then a first request arrives
    Then the caller gets 200
    And the response took at most 0.6 s

  # Guards against a probe that outlives its cancellation and keeps a process that
  # stops from ending.
  Scenario Outline: A <task> is cancelled as its result arrives
    When a <task> is cancelled in the moment at which its connection is refused
    Then the cancellation is not lost

    Examples:
      | task       |
      | probe      |
      | connection |

  # Guards against a gateway that does not answer other gateways either.
  Scenario: One of the other gateways does not listen
    Given 3 gateways and 4 endpoints
    When g1 is cut off, g2 does not listen and g1 gets 6 requests
    Then all of them are answered

  # A gateway that refuses a forwarded request knows nothing of earlier sends.
  Scenario Outline: The other gateway answers <status> <code> after <runs> sends that may have run
    Given a forwarded request of which <runs> sends may have run
    When the other gateway answers <status> with code <code>
    Then the outcome of the forwarded send is <outcome>

    Examples:
      | runs | status | code                  | outcome  |
      | 0    | 503    | no_endpoint           | answered |
      | 0    | 503    | unavailable           | not_run  |
      | 0    | 429    | queue_full            | answered |
      | 1    | 503    | no_endpoint           | not_run  |
      | 1    | 503    | unavailable           | not_run  |
      | 1    | 503    | quarantined           | not_run  |
      | 1    | 429    | queue_full            | not_run  |
      | 1    | 408    | unavailable           | not_run  |
      | 1    | 502    | endpoint_failed       | answered |
      | 1    | 200    | -                     | answered |
