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
