Feature: A process that stops drains to its end, whatever signals come

  # A handler that is removed before the signal is ignored leaves a gap in which a
  # second signal ends a process that has not drained: its streams are cut off.
  Scenario Outline: <first>, then <then> again and again, does not cut a <program> short
    Given the settings of a <program>
    When it runs and gets <first>, then <then> without pause until it is gone
    Then it has ended with exit code 0

    Examples:
      | program    | first   | then    |
      | gateway    | SIGTERM | SIGTERM |
      | gateway    | SIGTERM | SIGINT  |
      | gateway    | SIGTERM | SIGUSR1 |
      | gateway    | SIGTERM | SIGHUP  |
      | gateway    | SIGINT  | SIGTERM |
      | replica    | SIGTERM | SIGUSR1 |
      | replica    | SIGINT  | SIGTERM |
      | relay      | SIGTERM | SIGTERM |
      | relay      | SIGTERM | SIGINT  |
      | entry      | SIGTERM | SIGTERM |
      | entry      | SIGTERM | SIGUSR1 |
      | standalone | SIGTERM | SIGTERM |
      | standalone | SIGTERM | SIGUSR1 |

  # The gap itself, met each time: handlers change only to one that the process bears.
  Scenario Outline: No handler leaves a gap to the default action of <number>
    When a child gets <number> after each change of its handler
    Then the child has drained and ended with exit code 0

    Examples:
      | number  |
      | SIGTERM |

  # A stop that comes between the listeners and the wait for one is not lost.
  Scenario: A stop while a program starts is carried out once it has started
    When a child gets SIGTERM while it starts
    Then the child has drained and ended with exit code 0

  # Whoever types Ctrl-C twice wants an end; one that is passed on twice does not count.
  Scenario Outline: <first>, then <then> after <pause> s ends with <code>, drained: <drained>
    Given a child that drains after <first>
    When it gets <then> after <pause> s
    Then the child ends with exit code <code>, drained: <drained>

    Examples:
      | first   | then    | pause | code | drained |
      | SIGINT  | SIGINT  | 0.7   | -2   | no      |
      | SIGINT  | SIGINT  | 0.05  | 0    | yes     |
      | SIGTERM | SIGINT  | 0.7   | 0    | yes     |
      | SIGTERM | SIGTERM | 0.7   | 0    | yes     |
      | SIGTERM | SIGHUP  | 0.7   | 0    | yes     |

  Scenario: A program that drains writes its dump on request
    Given a child that drains after SIGTERM
    When it gets SIGUSR1 after 0.1 s
    Then the child ends with exit code 0, drained: yes
    And it has written a dump

  # Guards against a start that a signal ends by its default action, as the
  # interpreter has not yet run any code of the program.
  Scenario Outline: A <program> that gets <number> <after> ms after its start <outcome>
    Given the settings of a <program>
    When a supervisor starts it, suspends it after <after> ms and sends <number>
    Then it <outcome>

    Examples:
      | program          | number  | after | outcome                |
      | gateway          | SIGTERM | 0     | ends before it serves  |
      | gateway          | SIGTERM | 5     | ends before it serves  |
      | gateway          | SIGTERM | 20    | ends before it serves  |
      | gateway          | SIGTERM | 40    | ends before it serves  |
      | gateway          | SIGINT  | 0     | ends before it serves  |
      | gateway          | SIGINT  | 60    | ends before it serves  |
      | gateway          | SIGHUP  | 0     | serves until it is stopped |
      | gateway          | SIGUSR1 | 0     | serves until it is stopped |
      | replica          | SIGTERM | 0     | ends before it serves  |
      | replica          | SIGTERM | 10    | ends before it serves  |
      | replica          | SIGINT  | 0     | ends before it serves  |
      | replica          | SIGHUP  | 0     | serves until it is stopped |
      | replica          | SIGUSR1 | 20    | serves until it is stopped |
      | relay            | SIGTERM | 0     | ends before it serves  |
      | relay            | SIGINT  | 20    | ends before it serves  |
      | entry            | SIGTERM | 0     | ends before it serves  |
      | entry            | SIGINT  | 0     | ends before it serves  |
      | entry            | SIGUSR1 | 0     | serves until it is stopped |
      | standalone       | SIGTERM | 0     | ends before it serves  |
      | platform gateway | SIGTERM | 0     | ends before it serves  |
      | platform gateway | SIGINT  | 30    | ends before it serves  |
      | platform gateway | SIGHUP  | 0     | serves until it is stopped |
      | platform replica | SIGTERM | 0     | ends before it serves  |
      | platform replica | SIGUSR1 | 0     | serves until it is stopped |

  # Guards against imports that keep a program without handlers while it starts.
  Scenario: Signals are handled before any other module is imported
    When the programs' package is imported by a bare interpreter
    Then only built-in modules are there when signals are handled

  # Guards against an exit code that a signal replaces while the interpreter ends.
  Scenario Outline: A <program> with <fault> keeps its exit code if <number> comes at its end
    Given <fault> in the settings of a <program>
    When it is started and sends itself <number> while its interpreter ends
    Then it has ended with exit code <code>

    Examples:
      | program | fault          | number  | code |
      | gateway | nothing wrong  | SIGTERM | 0    |
      | gateway | no seeds       | SIGTERM | 2    |
      | gateway | half a file    | SIGTERM | 2    |
      | gateway | half a file    | SIGINT  | 2    |
      | gateway | half a file    | SIGHUP  | 2    |
      | replica | a busy address | SIGTERM | 1    |
      | replica | a busy address | SIGUSR1 | 1    |
      | entry   | half a file    | SIGTERM | 2    |

  # Guards against scripts that take a command that was ended for one that was
  # carried out, and against commands that outlive their terminal.
  Scenario Outline: <command> that gets <number> ends by it
    When the command <command> gets <number> <moment>
    Then it has ended with exit code <code>

    Examples:
      | command      | number  | moment         | code |
      | colts-ctl    | SIGTERM | while it loads | -15  |
      | colts-ctl    | SIGTERM | while it waits | -15  |
      | colts-ctl    | SIGHUP  | while it waits | -1   |
      | colts-ctl    | SIGUSR1 | while it loads | -10  |
      | colts-replay | SIGTERM | while it loads | -15  |
      | colts-replay | SIGHUP  | while it loads | -1   |
