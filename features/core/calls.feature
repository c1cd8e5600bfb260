Feature: Plain calls go to the endpoint with the least expected time

  # Guards against choices that change where endpoints are equal: calls differ in
  # their work, and on some days each endpoint loses up to 0.4 of its responses.
  Scenario Outline: Three equal endpoints, <case>, seed <seed>
    Given three endpoints with 8 calls per second, seed <seed>
    When <case>
    Then all calls go where they go without records

    Examples:
      | case                                   | seed |
      | nothing fails                          | 1    |
      | nothing fails                          | 2    |
      | a, b and c fail 0.4 of their calls     | 1    |
      | a, b and c fail 0.14 of their calls    | 2    |
      | a, b and c are 3 times slower          | 1    |

  Scenario Outline: One of three endpoints is worse, <case>, seed <seed>
    Given three endpoints with 8 calls per second, seed <seed>
    When <case>
    Then from 4 s on it gets at most <share> of the calls, 0.2 without records

    Examples:
      | case                         | seed | share |
      | b is 3 times slower          | 1    | 0.15  |
      | b is 3 times slower          | 2    | 0.15  |
      | b fails 0.5 of its calls     | 1    | 0.2   |
      | b fails 0.5 of its calls     | 3    | 0.2   |

  # Guards against a retry at the endpoint that has just failed the call.
  Scenario: The second send goes to another endpoint
    Given three endpoints with 8 calls per second, seed 1
    When a, b and c fail 0.4 of their calls
    Then each retry went to another endpoint

  Scenario: The second send prefers an ejected endpoint to the one that failed
    Given three endpoints with 8 calls per second, seed 1
    When a call failed at a while b and c are ejected
    Then it is sent to b or c next

  # Guards against calls that occupy an endpoint and cannot be answered in time.
  Scenario Outline: <load> calls in flight at each endpoint, <known> recent calls of 0.1 s
    Given three endpoints with 8 calls per second, seed 1
    When <known> calls took 0.1 s and <load> are in flight at each endpoint
    Then a call takes at least <least> s

    Examples:
      | known | load | least |
      | 7     | 0    | 0     |
      | 7     | 60   | 0     |
      | 8     | 0    | 0.1   |
      | 8     | 5    | 0.1   |
      | 8     | 6    | 0.117 |
      | 8     | 60   | 1.017 |

  # Guards against refusals of streams, and of calls that can still be answered.
  Scenario Outline: A <kind> request with <left> ms left at a gateway that knows calls of <known> s
    When a <kind> request with <left> ms left meets a gateway that knows 8 calls of <known> s
    Then the caller gets <status> within 0.3 s and <sends> sends are made

    Examples:
      | kind   | left | known | status | sends |
      | safe   | 400  | 0.6   | 503    | 0     |
      | unsafe | 400  | 0.6   | 503    | 0     |
      | unsafe | 900  | 0.6   | 200    | 1     |
      | unsafe | 400  | 0.05  | 200    | 1     |
      | stream | 400  | 0.6   | 200    | 1     |

  # Guards against a service that is refused forever, as it gets no calls.
  Scenario: Times of calls are forgotten
    Given three endpoints with 8 calls per second, seed 1
    When 8 calls took 9 s and 60 are in flight at each endpoint
    And 11 s pass without calls
    Then a call takes at least 0 s

  Scenario: A restarted endpoint begins without records
    Given three endpoints with 8 calls per second, seed 1
    When b fails 0.9 of its calls
    And b restarts
    Then its factor is 1
