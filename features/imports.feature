Feature: Modules depend on each other in one direction

  Scenario: There is no import cycle
    Then the modules of the package have no import cycle

  Scenario Outline: <layer> does not import <others>
    Then no module of <layer> imports one of <others>

    Examples:
      | layer   | others                             |
      | core    | shell gateway commands fakes replay |
      | control | shell gateway commands fakes replay |
      | shell   | gateway commands replay            |
      | gateway | commands fakes replay              |
      | replay  | gateway commands                   |

  Scenario: Only the platform folder contains the platform's headers
    Then no source file outside the platform folder contains its headers
