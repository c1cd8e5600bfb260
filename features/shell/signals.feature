Feature: No signal ends a program by its default action, whenever it arrives

  Scenario Outline: A <program> that stops survives further stop signals
    Given the settings of a <program>
    When it runs and receives SIGTERM repeatedly until it exits
    Then it has ended with exit code 0

    Examples:
      | program |
      | gateway |
      | replica |

  Scenario Outline: A <program> survives repeated <number> <moment>
    Given the settings of a <program>
    When it is started and receives <number> repeatedly <moment>
    Then it is stopped and exits with code 0

    Examples:
      | program    | number  | moment             |
      | gateway    | SIGHUP  | from its start on  |
      | replica    | SIGHUP  | from its start on  |
      | gateway    | SIGUSR1 | from its start on  |
      | replica    | SIGUSR1 | from its start on  |
      | relay      | SIGUSR1 | from its start on  |
      | standalone | SIGHUP  | from its start on  |

  # Importing the libraries takes seconds on a busy machine; a stop in that time
  # must not look like a crash.
  Scenario Outline: A <program> that is stopped while it starts exits with code 0
    Given the settings of a <program>
    When it is started and receives SIGTERM while it imports its libraries
    Then it has ended with exit code 0
    And its output says that it was stopped before it served

    Examples:
      | program    |
      | gateway    |
      | replica    |
      | relay      |
      | entry      |
      | standalone |
