Feature: Signals that come at any moment end no program by accident

  Scenario Outline: A <program> bears SIGHUP <moment>
    Given the settings of a <program>
    When it is started and gets SIGHUP without pause <moment>
    Then it is told to stop and ends with exit code 0

    Examples:
      | program | moment                     |
      | gateway | from its first moments on  |
      | replica | from its first moments on  |
