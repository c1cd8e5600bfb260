Feature: Requests that are suspected of crashes are kept apart

  # Guards against suspects that share each crash, so that counts decide whom the
  # quarantine refuses: a popular proper request among them.
  Scenario Outline: <suspects> suspects before <engines> engines, <down> of them down
    Given <suspects> suspects and <engines> engines, <down> of them down
    Then no engine is given to two suspects
    And <served> suspects have an engine

    Examples:
      | suspects | engines | down | served |
      | 2        | 16      | 0    | 2      |
      | 2        | 16      | 7    | 2      |
      | 3        | 6       | 0    | 3      |
      | 4        | 4       | 3    | 1      |
      | 5        | 4       | 4    | 0      |

  # Guards against proper requests that are refused because many others are suspects.
  Scenario Outline: <suspects> suspects before <engines> engines of which <down> are down
    Given <suspects> suspects and <engines> engines, <down> of them down
    Then each suspect has an engine that runs

    Examples:
      | suspects | engines | down |
      | 64       | 16      | 0    |
      | 64       | 16      | 5    |
      | 1        | 1       | 0    |
      | 12       | 1000    | 300  |

  Scenario: A suspect alone, and a request that is none, go anywhere
    Given 1 suspects and 4 engines, 0 of them down
    Then nothing is isolated
    Given 2 suspects and 4 engines, 0 of them down
    Then only suspects are isolated

  Scenario: A single engine that starts again and again tells all suspects apart
    Given 5 suspects and 1 engines that start 60 times
    Then any two suspects have been told apart, each by a start of its own

  Scenario: A suspect that is cleared leaves the engines of most others to them
    Given 5 suspects and 100 engines, 0 of them down
    When the first suspect is cleared
    Then the engines of the others are still theirs

  Scenario: A retry goes to another of the suspect's engines
    Given 2 suspects and 16 engines, 0 of them down
    Then a suspect that has tried all of its engines is sent to another one

  # Choices by many engines stay as cheap as others.
  Scenario: What an engine takes is decided once
    Given 64 suspects and 1000 engines, 0 of them down
    Then a second choice computes no hash
