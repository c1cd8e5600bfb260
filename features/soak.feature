Feature: Real programs keep their promises under faults from outside

  Each seed draws the same faults each time; `make soak` draws fresh ones.
  The seeds kept here have failed once, for the cause beside them.

  Scenario Outline: Seed <seed>: <cause>
    When a soak of seed <seed> runs for <seconds> s
    Then no promise is broken and at least <served> requests are served

    Examples:
      | seed | seconds | served | cause                                     |
      | 1    | 10      | 300    | a first short run, never failed           |
      | 4    | 20      | 500    | a timed-out call cancelled the others     |
      | 12   | 20      | 500    | an attempt to connect held on for 20 s     |
      | 14   | 20      | 500    | SIGHUP ended a process that was stopping  |
      | 3009 | 20      | 500    | a second SIGTERM ended a stopping process |
      | 189717 | 20    | 500    | SIGHUP ended a process before it ran any code |

  Scenario Outline: Of <count> replicas some are replaced, then others wiped
    When replicas, <count> of them, are replaced in a soak of seed <seed>
    Then no promise is broken and at least <served> requests are served

    Examples:
      | count | seed | served |
      | 3     | 2    | 300    |
      | 5     | 1    | 300    |

  Scenario Outline: The same with <routes> routes over links of <mbits> Mbit/s
    When replicas, <count> of them, with <routes> routes and links of <mbits> Mbit/s are replaced in a soak of seed <seed>
    Then no promise is broken and at least <served> requests are served

    Examples:
      | count | seed | routes | mbits | served |
      | 5     | 7    | 900    | 10    | 300    |

  Scenario Outline: <poisons> requests end each endpoint that runs them
    When <poisons> poison requests come in a soak of seed <seed>
    Then no promise is broken and at least <served> requests are served

    Examples:
      | poisons | seed | served |
      | 1       | 1    | 300    |
      | 2       | 11   | 100    |
      | 3       | 24   | 100    |

  # Guards against retries beyond the fleet's budget, as gateways that restart
  # forget what the processes before them have sent.
  Scenario Outline: All endpoints shed while gateways restart in series, seed <seed>
    When endpoints shed beside restarts in a soak of seed <seed>
    Then no promise is broken and at least <served> requests are served

    Examples:
      | seed | served |
      | 1    | 60     |

  Scenario Outline: A seed draws the same faults, and bearable ones
    Then seeds 0 to <most> draw the same faults twice
    And no disk is lost within <clear> s of another fault of the replicas

    Examples:
      | most | clear |
      | 200  | 8     |

  Scenario Outline: A gateway that <does> on SIGHUP runs <starts> times
    Given a gateway of the soak that <does> on SIGHUP
    When the soak lets it read its settings again
    Then it was started <starts> times and <runs>

    Examples:
      | does                      | starts | runs             |
      | has not run any code      | 1      | runs             |
      | reads its settings        | 1      | runs             |
      | ends by itself             | 1      | does not run     |

  # Guards against a soak that takes more replicas at once than may be lost.
  Scenario Outline: Replicas that are replaced <after> s later put off the next loss
    Given a soak whose replicas are replaced <after> s after they were lost
    When it loses replicas 0.1 s after others, and waits for 0.6 s at most
    Then the later ones are lost <at> s after the others, within 0.2 s
    And it reports <reported>

    Examples:
      | after | at  | reported                                          |
      | 0.0   | 0.1 | nothing                                           |
      | 0.4   | 0.4 | nothing                                           |
      | 60.0  | 0.7 | lost replicas were not replaced within 0.6 s      |

  Scenario: A fleet that does not start is reported with its programs' last words
    Given a soak in which two replicas get the same port
    When it has had 3 s for its first version
    Then it reports that no replica took a version
    And the address that is in use

  # Guards against failures of which nobody can say whether product or soak was late.
  Scenario: A soak that is late itself says so with what it reports
    Given what was seen in a soak without a fault
    When its loop is 0.4 s late while an answer is cut off
    Then exactly this is reported: the soak's loop was up to 0.40 s late meanwhile

  Scenario: What a soak reports is kept with the logs, and their last lines are shown
    When a soak breaks a promise
    Then its logs and its promise are kept, and the last lines are shown
    And the report names what processes waited for

  # Guards against a soak that serves too little and breaks no promise, of which
  # nobody can say when it stopped serving.
  Scenario: What became of requests is written second by second
    Given what was seen in a soak without a fault
    When its seconds are written
    Then each second says how many requests were sent and served

  # Guards against failures put down to a busy machine without evidence.
  Scenario Outline: A machine on which processes wait for <resource> says so
    Given a machine on which processes have waited 1.5 s for <resource>
    When they wait for 2 s more
    Then "<resource> 2.0 s" is said, and 0.0 s of all others

    Examples:
      | resource |
      | cpu      |
      | io       |
      | memory   |

  Scenario Outline: The audit notices <fault>
    Given what was seen in a soak without a fault
    When it is changed so that <fault>
    Then exactly this is reported: <words>

    Examples:
      | fault                                  | words                     |
      | nothing is changed                     | nothing                   |
      | an unsafe request runs twice           | ran 2 times               |
      | a request that was refused has run     | got 503 and has run       |
      | another request's answer comes         | got b'                    |
      | a stream skips an event                | ended as whole            |
      | an answer is cut off                   | was cut off               |
      | an answer is cut off by a kill         | nothing                   |
      | an answer comes far too late           | took 9.0 s                |
      | a request runs that nobody sent        | was never sent            |
      | a key works long after it was taken    | after its key             |
      | a request reaches an endpoint that left | leaving was acknowledged |
      | a version goes back                    | went from 3 to 2          |
      | an acknowledged version is lost        | was acknowledged          |
      | other content is read back             | reads as                  |
      | a poison request runs on and on        | more endpoints of         |
      | a proper request is refused as poison  | is in quarantine          |
      | endpoints are reached too often        | retries in 10 s           |
      | endpoints are reached as often as they may | nothing               |
      | a process stops too slowly             | ended with 0 after 20.0 s |
