Feature: Requests that are suspected of crashes are isolated from each other

  # Guards against suspects that share every crash, so that only counts decide
  # which is quarantined: a popular harmless request may be among them.
  Scenario Outline: <suspects> suspects and <engines> engines, <down> of them down
    Given <suspects> suspects and <engines> engines, <down> of them down
    Then no engine is assigned to two suspects
    And <served> suspects have an engine

    Examples:
      | suspects | engines | down | served |
      | 2        | 16      | 0    | 2      |
      | 2        | 16      | 7    | 2      |
      | 3        | 6       | 0    | 3      |
      | 4        | 4       | 3    | 1      |
      | 5        | 4       | 4    | 0      |

  # Guards against harmless requests that are refused as many others are suspects.
  Scenario Outline: <suspects> suspects and <engines> engines of which <down> are down
    Given <suspects> suspects and <engines> engines, <down> of them down
    Then each suspect has a running engine

    Examples:
      | suspects | engines | down |
      | 64       | 16      | 0    |
      | 64       | 16      | 5    |
      | 1        | 1       | 0    |
      | 12       | 1000    | 300  |

  Scenario: A single suspect and a request that is no suspect are not isolated
    Given 1 suspects and 4 engines, 0 of them down
    Then no request is isolated
    Given 2 suspects and 4 engines, 0 of them down
    Then only suspects are isolated

  Scenario: A single engine that restarts repeatedly separates all suspects
    Given 5 suspects and 1 engines that start 60 times
    Then any two suspects have been separated by an incarnation

  Scenario: A cleared suspect does not change the engines of the others
    Given 5 suspects and 100 engines, 0 of them down
    When the first suspect is cleared
    Then the other suspects keep their engines

  Scenario: A retry goes to another of the suspect's engines
    Given 2 suspects and 16 engines, 0 of them down
    Then a suspect that has tried all of its engines is sent to another one

  # Keeps choices among many engines cheap.
  Scenario: The suspect of an engine is computed once
    Given 64 suspects and 1000 engines, 0 of them down
    Then a second choice computes no hash
