Feature: A stopping process drains to its end, whatever signals arrive

  # Guards against a handler that is removed before the signal is ignored: in the
  # gap, a second signal ends a process that has not drained, with open streams.
  Scenario Outline: A <program> that receives <first>, then repeated <then>, drains
    Given the settings of a <program>
    When it runs and receives <first>, then <then> repeatedly until it exits
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

  # Sends the signal in that gap: after each change of a handler.
  Scenario Outline: No change of a handler exposes the default action of <number>
    When a child receives <number> after each change of its handler
    Then the child has drained and exited with code 0

    Examples:
      | number  |
      | SIGTERM |

  # Guards against losing a stop that arrives after the listeners are opened and
  # before the program waits for one.
  Scenario: A program that is stopped while it starts drains once it has started
    When a child receives SIGTERM while it starts
    Then the child has drained and exited with code 0

  # A second Ctrl-C ends a process at once. One Ctrl-C may arrive twice, from the
  # terminal and from a parent process, and counts once.
  Scenario Outline: <first>, then <then> after <pause> s: exit code <code>, drained: <drained>
    Given a child that drains after <first>
    When it receives <then> after <pause> s
    Then the child exits with code <code>, drained: <drained>

    Examples:
      | first   | then    | pause | code | drained |
      | SIGINT  | SIGINT  | 0.7   | -2   | no      |
      | SIGINT  | SIGINT  | 0.05  | 0    | yes     |
      | SIGTERM | SIGINT  | 0.7   | 0    | yes     |
      | SIGTERM | SIGTERM | 0.7   | 0    | yes     |
      | SIGTERM | SIGHUP  | 0.7   | 0    | yes     |

  Scenario: A draining program writes a state dump on SIGUSR1
    Given a child that drains after SIGTERM
    When it receives SIGUSR1 after 0.1 s
    Then the child exits with code 0, drained: yes
    And it has written a state dump

  # Guards against a signal that ends a starting program by its default action,
  # because the interpreter has not run any code of the program yet.
  Scenario Outline: A <program> that receives <number> <after> ms after its start <outcome>
    Given the settings of a <program>
    When a supervisor starts it, suspends it after <after> ms and sends <number>
    Then it <outcome>

    Examples:
      | program          | number  | after | outcome                |
      | gateway          | SIGTERM | 0     | exits before it serves |
      | gateway          | SIGTERM | 5     | exits before it serves |
      | gateway          | SIGTERM | 20    | exits before it serves |
      | gateway          | SIGTERM | 40    | exits before it serves |
      | gateway          | SIGINT  | 0     | exits before it serves |
      | gateway          | SIGINT  | 60    | exits before it serves |
      | gateway          | SIGHUP  | 0     | serves until it is stopped |
      | gateway          | SIGUSR1 | 0     | serves until it is stopped |
      | replica          | SIGTERM | 0     | exits before it serves |
      | replica          | SIGTERM | 10    | exits before it serves |
      | replica          | SIGINT  | 0     | exits before it serves |
      | replica          | SIGHUP  | 0     | serves until it is stopped |
      | replica          | SIGUSR1 | 20    | serves until it is stopped |
      | relay            | SIGTERM | 0     | exits before it serves |
      | relay            | SIGINT  | 20    | exits before it serves |
      | entry            | SIGTERM | 0     | exits before it serves |
      | entry            | SIGINT  | 0     | exits before it serves |
      | entry            | SIGUSR1 | 0     | serves until it is stopped |
      | standalone       | SIGTERM | 0     | exits before it serves |
      | platform gateway | SIGTERM | 0     | exits before it serves |
      | platform gateway | SIGINT  | 30    | exits before it serves |
      | platform gateway | SIGHUP  | 0     | serves until it is stopped |
      | platform replica | SIGTERM | 0     | exits before it serves |
      | platform replica | SIGUSR1 | 0     | serves until it is stopped |

  # Guards against imports that delay the installation of the signal handlers.
  Scenario: Signals are handled before any other module is imported
    When an interpreter without site modules imports the programs' package
    Then only built-in modules are imported before the first handler is installed

  # Guards against a signal that replaces the exit code while the interpreter
  # finalizes, because the default action has been restored.
  Scenario Outline: A <program> with <fault> keeps its exit code if <number> arrives at its end
    Given <fault> in the settings of a <program>
    When it is started and sends itself <number> while its interpreter finalizes
    Then it has ended with exit code <code>

    Examples:
      | program | fault             | number  | code |
      | gateway | no fault          | SIGTERM | 0    |
      | gateway | no seeds          | SIGTERM | 2    |
      | gateway | a truncated file  | SIGTERM | 2    |
      | gateway | a truncated file  | SIGINT  | 2    |
      | gateway | a truncated file  | SIGHUP  | 2    |
      | replica | an address in use | SIGTERM | 1    |
      | replica | an address in use | SIGUSR1 | 1    |
      | entry   | a truncated file  | SIGTERM | 2    |

  # Guards against scripts that take an interrupted command for a completed one,
  # and against commands that outlive their terminal.
  Scenario Outline: <number> ends <command> <moment>
    When the command <command> receives <number> <moment>
    Then it has ended with exit code <code>

    Examples:
      | command      | number  | moment         | code |
      | colts-ctl    | SIGTERM | while it loads | -15  |
      | colts-ctl    | SIGTERM | while it waits | -15  |
      | colts-ctl    | SIGHUP  | while it waits | -1   |
      | colts-ctl    | SIGUSR1 | while it loads | -10  |
      | colts-replay | SIGTERM | while it loads | -15  |
      | colts-replay | SIGHUP  | while it loads | -1   |
