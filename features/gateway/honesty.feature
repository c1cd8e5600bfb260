Feature: A gateway counts as service only what serves its callers

  A play: six callers of all kinds of routes with long and with hopeless deadlines,
  endpoints that respond, also late, fail, reject, reset and hang, and leave at last.

  Scenario Outline: What callers are told is true, seed <seed>
    When a load of seed <seed> is played on one gateway
    Then service was honest

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: An injected defect of honest service is detected: <defect>
    When a load of seed 1 is played on one gateway with the defect "<defect>"
    Then service was not honest: <found>

    Examples:
      | defect                                                | found                      |
      | a lost send counts as not run                         | not run, and has run       |
      | a late response is dropped                            | its response was ready     |
      | a send is made with no time left                      | was sent with              |
      | a request without endpoints waits for its deadline    | was refused after          |
      | a request in five is refused while endpoints are free | while endpoints were free  |

  # A cut-off gateway forwards its requests, and the gateway that it uses may end.
  Scenario Outline: A ready response is lost, its gateway was cut <cut>, another one ends <ends>
    Given a request of 0.2 s at a gateway that was cut <cut>
    When another gateway ends <ends> and the ready response is not delivered
    Then <count> violations are found

    Examples:
      | cut          | ends      | count |
      | 1 s before   | meanwhile | 0     |
      | 1 s before   | 5 s later | 1     |
      | never        | meanwhile | 1     |
      | 20 s before  | meanwhile | 1     |

  # Guards against a response that is written to a connection of an ended endpoint.
  Scenario Outline: A soak's endpoint <does> while it serves a request
    When an endpoint of a soak <does> while it serves a request
    Then it has recorded <count> responses

    Examples:
      | does                                   | count |
      | stays                                  | 1     |
      | crashes                                | 0     |
      | crashes with a connection not yet seen | 0     |
