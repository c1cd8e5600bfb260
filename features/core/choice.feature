Feature: The cost of choosing engines does not grow with the fleet

  Scenario: The index by endpoint holds the work of all gateways
    Then after random histories of own and others' work the index holds all work

  Scenario: Cached states of engines equal newly computed ones
    Then after random histories cached and new states lead to the same choice

  Scenario Outline: A <length> prompt compares at least <some> of <idle> idle engines among <all>
    Given <all> engines, <idle> of them idle and <prefilling> prefilling
    When candidates are selected for a <length> prompt
    Then at least <some> idle engines are compared, at most <most> engines in all

    Examples:
      | all  | idle | prefilling | length | some | most |
      | 20   | 2    | 10         | long   | 2    | 40   |
      | 20   | 20   | 0          | short  | 1    | 24   |
      | 112  | 112  | 0          | long   | 20   | 40   |
      | 112  | 8    | 60         | long   | 8    | 40   |
      | 112  | 0    | 112        | long   | 0    | 40   |
      | 1000 | 300  | 500        | long   | 15   | 40   |
      | 1000 | 300  | 0          | short  | 4    | 24   |

  Scenario: A short prompt finds the few engines that only decode
    Given 1000 engines, 0 of them idle and 700 prefilling
    When candidates are selected for a short prompt
    Then at least 8 engines without prefill are compared

  Scenario: Half of the candidates of a kind are in the gateway's zone, if possible
    Given 100 engines in 5 zones, all idle
    When candidates are selected for a long prompt by a gateway of one zone
    Then at least 10 of them are in its zone and at least 10 in others

  Scenario Outline: The longest prompt finds memory with <lost> of 200 engines lost
    Given 200 engines, 120 of them idle and 40 prefilling
    And <lost> of them are ejected, signed off or expired
    When a prompt of 1000000 tokens is placed
    Then its memory is allocated on engines that are not lost

    Examples:
      | lost |
      | 0    |
      | 100  |

  Scenario: Engines that return one by one do not attract all requests
    Given 40 engines that all decode
    When 20 idle engines are announced and 60 short prompts arrive
    Then no engine gets more than 8 of them
