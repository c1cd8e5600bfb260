Feature: Requests that share a part of their prompt and crash engines are refused

  # Guards against a quarantine that knows whole contents only: requests that share
  # one part of their prompt and nothing else crash one engine after another.
  Scenario Outline: A part every <every> s crashes engines <mode>, seed <seed>
    Given 9 gateways in front of 16 engines that stream, seed <seed>
    When requests with a part that crashes engines <mode> come every <every> s for <seconds> s
    Then each such part reaches engines at most 3 times later than 3 s after its fifth crash
    And proper requests with the same key or first part are served half as often as before
    And no part of proper requests is in quarantine

    Examples:
      | every | mode                                   | seconds | seed |
      | 0.2   | inside an event                        | 16      | 1    |
      | 0.05  | inside an event                        | 16      | 1    |
      | 0.05  | inside an event                        | 16      | 2    |
      | 1     | inside an event                        | 20      | 1    |
      | 3     | inside an event                        | 30      | 1    |
      | 3     | inside an event                        | 30      | 2    |
      | 0.2   | before it answers                      | 16      | 1    |
      | 0.2   | after an event, by closing the connection | 16   | 1    |
      | 0.05  | after an event, by closing the connection | 16   | 2    |

  # Guards against identities that depend on counts of tokens, and against headers
  # that only one request could have.
  Scenario Outline: The shared parts of a prompt stated as <header>
    Then a prompt stated as <header> shares the parts <parts>

    Examples:
      | header                           | parts       |
      | "5c1e:800,91bd:410,e440:250"     | "5c1e 91bd" |
      | "5c1e:801,91bd:9,e440:250"       | "5c1e 91bd" |
      | " 5C1E : 800 , 91BD:410,e440:1"  | "5c1e 91bd" |
      | "5c1e,91bd,e440"                 | "5c1e 91bd" |
      | "5c1e:800,5c1e:800,e440:250"     | "5c1e"      |
      | "e440:250"                       | ""          |
      | ""                               | ""          |
      | ",,:,;:7,"                       | ";"         |

  Scenario: A header with thousands of parts is bounded
    Then a prompt stated with 5000 parts shares 16 parts
