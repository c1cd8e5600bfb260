Feature: Signals that come at any moment end no program by accident

  Scenario Outline: A <program> that stops is told so again and again
    Given the settings of a <program>
    When it runs and gets SIGTERM without pause until it is gone
    Then it has ended with exit code 0

    Examples:
      | program |
      | gateway |
      | replica |

  Scenario Outline: A <program> bears <number> <moment>
    Given the settings of a <program>
    When it is started and gets <number> without pause <moment>
    Then it is told to stop and ends with exit code 0

    Examples:
      | program    | number  | moment                    |
      | gateway    | SIGHUP  | from its first moments on |
      | replica    | SIGHUP  | from its first moments on |
      | gateway    | SIGUSR1 | from its first moments on |
      | replica    | SIGUSR1 | from its first moments on |
      | relay      | SIGUSR1 | from its first moments on |
      | standalone | SIGHUP  | from its first moments on |

  # Loading takes seconds on a busy machine; a stop in that time is no crash.
  Scenario Outline: A <program> that is stopped while it loads ends well
    Given the settings of a <program>
    When it is started and gets SIGTERM while it loads its libraries
    Then it has ended with exit code 0
    And its output says that it stopped before it served

    Examples:
      | program    |
      | gateway    |
      | replica    |
      | relay      |
      | entry      |
      | standalone |
