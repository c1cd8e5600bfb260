Feature: Signals that come at any moment end no program by accident

  Scenario Outline: A <program> that stops is told so again and again
    Given the settings of a <program>
    When it runs and gets SIGTERM without pause until it is gone
    Then it has ended with exit code 0

    Examples:
      | program |
      | gateway |
      | replica |

  Scenario Outline: A <program> bears SIGHUP <moment>
    Given the settings of a <program>
    When it is started and gets SIGHUP without pause <moment>
    Then it is told to stop and ends with exit code 0

    Examples:
      | program | moment                     |
      | gateway | from its first moments on  |
      | replica | from its first moments on  |
