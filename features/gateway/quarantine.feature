Feature: A request that crashes endpoints is quarantined

  # Guards against a request that is sent to any gateway, as a new client attempt
  # each time, and crashes one endpoint after another.
  Scenario: A request that crashes each endpoint is sent to any gateway
    Given 9 gateways in front of 16 engines
    When a poison request is sent every 0.2 s for 20 s, beside proper ones
    Then it reaches engines at most 3 times later than 3 s after its third crash

  # Guards against bounds that hold only without faults and high load.
  Scenario Outline: <poisons> poison requests, every <every> s, beside <trouble>
    Given 9 gateways in front of 16 engines
    When <poisons> poison requests are sent every <every> s beside <trouble>
    Then each reaches engines at most 3 times later than 3 s after its third crash
    And each crashes at most <most> engines
    And no proper request is in quarantine

    Examples:
      | poisons | every | trouble                         | most |
      | 1       | 0.2   | nothing                         | 3    |
      | 1       | 3     | nothing                         | 4    |
      | 10      | 1     | nothing                         | 7    |
      | 30      | 2     | nothing                         | 7    |
      | 1       | 0.2   | a traffic burst                 | 4    |
      | 1       | 0.2   | a popular proper request        | 5    |
      | 1       | 0.2   | a rack that ends                | 4    |
      | 1       | 0.2   | engines that break off          | 4    |
      | 1       | 0.2   | no leader for 2 s               | 16   |
      | 1       | 0.2   | a cold restart of all gateways  | 4    |
      | 1       | 0.2   | a gateway that starts later     | 4    |
      | 1       | 0.2   | a relay that is cut off         | 4    |
      | 1       | 0.2   | a new leader without a copy     | 4    |

  # Guards against quarantining popular requests: with few engines, they are in
  # flight at each crash of alternating poison requests.
  Scenario Outline: <poisons> poison requests every <every> s and <popular> popular ones, seed <seed>
    Given 3 gateways in front of 6 engines that restart within 1 s, seed <seed>
    When <poisons> poison requests are sent every <every> s beside <popular> popular ones
    Then no proper request is in quarantine
    And <share> in 100 proper requests are answered

    Examples:
      | poisons | every | popular | seed | share |
      | 1       | 0.05  | 2       | 0    | 80    |
      | 1       | 0.05  | 2       | 2    | 80    |
      | 3       | 0.2   | 3       | 0    | 80    |
      | 3       | 0.2   | 3       | 1    | 80    |
      | 3       | 0.2   | 3       | 4    | 80    |

  # Guards against crash loops in which no engine runs for 0.1 s: all suspects share
  # all crashes unless they are isolated, and only counts decide which is refused.
  Scenario Outline: <poisons> poison requests every <every> s with <engines> engines, seed <seed>
    Given 3 gateways in front of <engines> engines that restart within 1 s, seed <seed>
    When <poisons> poison requests are sent every <every> s beside 3 popular ones
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

  # Guards against quarantining proper requests.
  Scenario Outline: Proper requests are never in quarantine beside <trouble>
    Given 9 gateways in front of 16 engines
    When proper requests are sent for 12 s beside <trouble>
    Then no proper request is in quarantine
    And <share> in 100 proper requests are answered

    Examples:
      | trouble                  | share |
      | a popular proper request | 100   |
      | a rack that ends         | 99    |
      | racks that end in turn   | 95    |
      | engines that break off   | 95    |
      | unresponsive engines     | 90    |
      | engines that end at random, and a popular proper request | 95 |

  # Guards against clearing a suspect only at the gateway that saw its crashes.
  Scenario Outline: A popular request is answered between crashes, at <gateways> gateways
    Then no proper request is in quarantine where <gateways> gateways share one

    Examples:
      | gateways |
      | 1        |
      | 2        |

  Scenario: The number of trials of a request that still crashes endpoints is bounded
    Given 3 gateways in front of 6 engines
    When a poison request is sent every 0.5 s for 600 s
    Then 3 trials were started and at most 6 engines crashed

  Scenario: A request that no longer crashes endpoints is served after one trial
    Given 3 gateways in front of 6 engines
    When a poison request is fixed 20 s after its third crash
    Then it is refused for 60 s in all, and then answered
    And a new leader that knows no crash answers it as well

  Scenario: Requests in flight are stopped when their quarantine begins
    Given 3 gateways in front of 6 engines
    When a request that runs at 3 engines enters quarantine
    Then all 3 callers get a response within 0.1 s
    And no engine is sent the request again

  Scenario: A refusal states that nothing ran and a retry delay
    Given 3 gateways in front of 6 engines
    When a request in quarantine is sent to each gateway
    Then each responds with 503 at once, with a retry delay
    And the same request of another workspace is answered
    And the same body on another path is answered

  Scenario: No digest is computed for a request of another size
    Given 3 gateways in front of 6 engines
    When 100 requests of other sizes are sent beside one in quarantine
    Then no digest was computed
