Feature: A request that crashes what runs it is not sent on for good

  # Guards against a request that comes again at any gateway, as a new client
  # attempt each time, and crashes one endpoint after another.
  Scenario: A request that crashes each endpoint comes again at any gateway
    Given 9 gateways before 16 engines
    When a poison request comes each 0.2 s for 20 s, beside proper ones
    Then it reaches engines at most 3 times more than 3 s after its third crash

  # Guards against bounds that hold only while the fleet is calm.
  Scenario Outline: <poisons> poison requests, each <every> s, beside <trouble>
    Given 9 gateways before 16 engines
    When <poisons> poison requests come each <every> s beside <trouble>
    Then each reaches engines at most 3 times more than 3 s after its third crash
    And at most <most> engines end under each
    And no proper request is in quarantine

    Examples:
      | poisons | every | trouble                         | most |
      | 1       | 0.2   | nothing                         | 3    |
      | 1       | 3     | nothing                         | 4    |
      | 10      | 1     | nothing                         | 7    |
      | 30      | 2     | nothing                         | 7    |
      | 1       | 0.2   | a rush                          | 4    |
      | 1       | 0.2   | a popular proper request        | 5    |
      | 1       | 0.2   | a rack that ends                | 4    |
      | 1       | 0.2   | engines that break off          | 4    |
      | 1       | 0.2   | no leader for 2 s               | 16   |
      | 1       | 0.2   | a cold restart of all gateways  | 4    |
      | 1       | 0.2   | a gateway that starts later     | 4    |
      | 1       | 0.2   | a relay that is cut off         | 4    |
      | 1       | 0.2   | a new leader without a copy     | 4    |

  # Guards against popular requests in flight at each crash of some poison
  # requests that take turns, at few engines.
  Scenario Outline: <poisons> poison requests each <every> s and <popular> popular ones, seed <seed>
    Given 3 gateways before 6 engines, which start again within 1 s, seed <seed>
    When <poisons> poison requests come each <every> s beside <popular> popular ones
    Then no proper request is in quarantine
    And <share> in 100 proper requests are answered

    Examples:
      | poisons | every | popular | seed | share |
      | 1       | 0.05  | 2       | 0    | 80    |
      | 1       | 0.05  | 2       | 2    | 80    |
      | 3       | 0.2   | 3       | 0    | 80    |
      | 3       | 0.2   | 3       | 1    | 80    |
      | 3       | 0.2   | 3       | 4    | 80    |

  # Guards against storms in which no engine lives for 0.1 s: all suspects share all
  # crashes unless they are kept apart, and counts decide who is refused.
  Scenario Outline: <poisons> poison requests each <every> s before <engines> engines, seed <seed>
    Given 3 gateways before <engines> engines, which start again within 1 s, seed <seed>
    When <poisons> poison requests come each <every> s beside 3 popular ones
    Then no proper request is in quarantine
    And <share> in 100 proper requests are answered

    Examples:
      | engines | poisons | every | seed | share |
      | 4       | 1       | 0.022 | 0    | 70    |
      | 4       | 1       | 0.022 | 1    | 70    |
      | 4       | 2       | 0.044 | 3    | 70    |
      | 5       | 1       | 0.022 | 1    | 70    |
      | 5       | 2       | 0.044 | 2    | 70    |
      | 5       | 2       | 0.044 | 3    | 70    |
      | 5       | 3       | 0.066 | 2    | 70    |
      | 5       | 3       | 0.066 | 3    | 70    |

  # Guards against a quarantine that proper requests enter.
  Scenario Outline: Proper requests are never in quarantine beside <trouble>
    Given 9 gateways before 16 engines
    When proper requests come for 12 s beside <trouble>
    Then no proper request is in quarantine
    And <share> in 100 proper requests are answered

    Examples:
      | trouble                  | share |
      | a popular proper request | 100   |
      | a rack that ends         | 99    |
      | racks that end in turn   | 95    |
      | engines that break off   | 95    |
      | engines that go dark     | 90    |
      | engines that end at random, and a popular proper request | 95 |

  # Guards against clearing a suspect only where its crashes were seen.
  Scenario Outline: A popular request is answered between crashes, at <gateways> gateways
    Then no proper request is in quarantine where <gateways> gateways share one

    Examples:
      | gateways |
      | 1        |
      | 2        |

  Scenario: Trials of a request that still crashes endpoints are bounded
    Given 3 gateways before 6 engines
    When a poison request comes each 0.5 s for 600 s
    Then 3 trials were started and at most 6 engines ended

  Scenario: A request whose cause was fixed is answered after one trial
    Given 3 gateways before 6 engines
    When a poison request is fixed 20 s after its third crash
    Then it is refused for 60 s in all, and answered from then on
    And a new leader that knows no crash answers it as well

  Scenario: Requests that run or wait when the quarantine begins are stopped
    Given 3 gateways before 6 engines
    When a request that runs at 3 engines enters quarantine
    Then all 3 callers get their answer within 0.1 s
    And no engine is sent the request again

  Scenario: A refusal says that nothing ran and when to come back
    Given 3 gateways before 6 engines
    When a request in quarantine comes to each gateway
    Then each answers 503 at once, with a time to come back
    And the same request of another workspace is answered
    And the same body on another path is answered

  Scenario: A request of another size costs no digest
    Given 3 gateways before 6 engines
    When 100 requests of other sizes come beside one in quarantine
    Then no digest was computed
