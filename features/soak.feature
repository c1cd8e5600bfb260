Feature: Real programs keep their guarantees under injected external faults

  A seed draws the same faults in each run; `make soak` draws new seeds.
  Each seed below has failed once for the cause beside it, unless noted.

  Scenario Outline: Seed <seed>: <cause>
    When a soak of seed <seed> runs for <seconds> s
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | seed | seconds | served | cause                                     |
      | 1    | 10      | 300    | a first short run, never failed           |
      | 4    | 20      | 500    | a timed-out call cancelled the others     |
      | 12   | 20      | 500    | a connection attempt lasted 20 s          |
      | 14   | 20      | 500    | SIGHUP ended a process that was stopping  |
      | 3009 | 20      | 500    | a second SIGTERM ended a stopping process |
      | 189717 | 20    | 500    | SIGHUP ended a process before it ran any code |

  Scenario Outline: Of <count> replicas some are replaced, then others wiped
    When a soak of seed <seed> replaces some of <count> replicas
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | count | seed | served |
      | 3     | 2    | 300    |
      | 5     | 1    | 300    |

  Scenario Outline: The same with <routes> routes over links of <mbits> Mbit/s
    When a soak of seed <seed> with <routes> routes and links of <mbits> Mbit/s replaces some of <count> replicas
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | count | seed | routes | mbits | served |
      | 5     | 7    | 900    | 10    | 300    |

  Scenario Outline: <poisons> requests end each endpoint that runs them
    When a soak of seed <seed> sends <poisons> poison requests
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | poisons | seed | served |
      | 1       | 1    | 300    |
      | 2       | 11   | 100    |
      | 3       | 24   | 100    |

  # Guards against a quarantine that knows whole contents only.
  Scenario Outline: <parts> parts of prompts crash each endpoint, seed <seed>
    When a soak of seed <seed> sends requests with <parts> poison parts
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | parts | seed | served |
      | 1     | 5    | 100    |
      | 2     | 130  | 100    |

  # Guards against retries beyond the fleet's budget: a restarted gateway does not
  # know how many retries its previous process has sent.
  Scenario Outline: All endpoints shed while gateways restart in series, seed <seed>
    When all endpoints shed while gateways restart in a soak of seed <seed>
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | seed | served |
      | 1    | 60     |

  # Guards against gateways that fail callers although others reach the endpoints.
  Scenario Outline: Gateways are cut off from all endpoints in series, seed <seed>
    When gateways are cut off from all endpoints in a soak of seed <seed>
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | seed | served |
      | 1    | 300    |

  # Guards against a gateway that is suspended, restarted or out of touch and sends
  # to an evacuated zone later than 5 s after the acknowledgement.
  Scenario Outline: Zones are evacuated one after the other, seed <seed>
    When zones are evacuated in a soak of seed <seed>
    Then no guarantee is violated and at least <served> requests are served

    Examples:
      | seed | served |
      | 1    | 300    |

  Scenario Outline: A seed draws the same faults, within the fault tolerance
    Then seeds 0 to <most> draw the same faults twice
    And no disk is lost within <clear> s of another fault of the replicas

    Examples:
      | most | clear |
      | 200  | 8     |

  Scenario Outline: A gateway that <does> on SIGHUP runs <starts> times
    Given a gateway of the soak that <does> on SIGHUP
    When the soak sends it SIGHUP
    Then it was started <starts> times and <runs>

    Examples:
      | does                      | starts | runs             |
      | has not run any code      | 1      | runs             |
      | reads its settings        | 1      | runs             |
      | ends by itself             | 1      | does not run     |

  # Guards against a soak that loses more replicas at once than the fleet tolerates.
  Scenario Outline: Replicas that are replaced <after> s later delay the next loss
    Given a soak whose replicas are replaced <after> s after their loss
    When it loses replicas 0.1 s after others, with a repair timeout of 0.6 s
    Then the later losses are <at> s after the first, within 0.2 s
    And it reports <reported>

    Examples:
      | after | at  | reported                                          |
      | 0.0   | 0.1 | nothing                                           |
      | 0.4   | 0.4 | nothing                                           |
      | 60.0  | 0.7 | lost replicas were not replaced within 0.6 s      |

  Scenario: A fleet that does not start is reported with the last line of each log
    Given a soak in which two replicas get the same port
    When it has 3 s to apply its first version
    Then it reports that no replica accepted a version
    And it reports the address that is in use

  # Guards against failures that may be due to the product or to a late soak process.
  Scenario: A violation is reported with the delays of the soak itself
    Given the observations of a soak without violations
    When its event loop is 0.4 s late while a response is truncated
    Then only this is reported: the soak's event loop was up to 0.40 s late meanwhile

  Scenario: Violations are kept with the logs, and the last log lines are reported
    When a soak finds a violation
    Then its logs and the violation are kept, and the last log lines are reported
    And the report names the resources that processes waited for

  # Guards against a soak that serves too few requests without a violation, and
  # leaves no record of when it stopped serving.
  Scenario: Outcomes of requests are written per second
    Given the observations of a soak without violations
    When its timeline is written
    Then each second has the number of requests sent and served

  # Guards against failures attributed to a busy machine without evidence.
  Scenario Outline: Waiting of processes for <resource> is reported
    Given a machine on which processes have waited 1.5 s for <resource>
    When they wait for 2 s more
    Then "<resource> 2.0 s" is reported, and 0.0 s for all other resources

    Examples:
      | resource |
      | cpu      |
      | io       |
      | memory   |

  Scenario Outline: The audit's report when <fault>
    Given the observations of a soak without violations
    When they are changed so that <fault>
    Then only this is reported: <words>

    Examples:
      | fault                                  | words                     |
      | nothing changes                        | nothing                   |
      | an unsafe request runs twice           | ran 2 times               |
      | a request that was refused has run     | got 503 and has run       |
      | a response is another request's        | got b'                    |
      | a stream skips an event                | ended as complete         |
      | a response is truncated                | was truncated             |
      | a response is truncated by a kill      | nothing                   |
      | a response comes too late              | took 9.0 s                |
      | a request runs that was never sent     | was never sent            |
      | a key works long after its revocation  | after its key             |
      | a request reaches an endpoint that left | leaving was acknowledged |
      | a version goes back                    | went from 3 to 2          |
      | an acknowledged version is lost        | was acknowledged          |
      | other content is read back             | reads as                  |
      | a poison request is not quarantined    | more endpoints of         |
      | a poison part is not quarantined       | poison1 crashed 12 more   |
      | another request is quarantined         | is in quarantine          |
      | retries exceed the budget              | retries in 10 s           |
      | retries use up the budget              | nothing                   |
      | cut-off gateways serve too little      | cut off from endpoints served 20 of 60 |
      | cut-off gateways serve enough          | nothing                   |
      | no gateway reaches an endpoint         | nothing                   |
      | an evacuated zone gets a request       | got 1 requests, the last 5.10 s after |
      | a zone gets requests beside its evacuation | nothing               |
      | a process stops too slowly             | exited with 0 after 20.0 s |
