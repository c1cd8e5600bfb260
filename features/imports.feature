Feature: Modules depend on each other in one direction

  Scenario: No module imports itself by way of others
    Then no modules of the product import each other in a circle

  Scenario Outline: <layer> knows nothing of <others>
    Then no module of <layer> imports one of <others>

    Examples:
      | layer   | others                             |
      | core    | shell gateway commands fakes replay |
      | control | shell gateway commands fakes replay |
      | shell   | gateway commands replay            |
      | gateway | commands fakes replay              |
      | replay  | gateway commands                   |

  Scenario: Only the platform's folder knows the platform's words
    Then no source outside the platform's folder names the platform's headers
