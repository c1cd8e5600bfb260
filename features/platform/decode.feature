Feature: The platform's documents are decoded into internal types

  Scenario: A configuration is decoded and its units are converted
    When the platform's sample configuration is decoded
    Then its routes, engine, API keys and limits match the sample

  Scenario: A truncated configuration is refused
    When the platform's sample configuration is truncated to half its length
    Then the configuration is refused with the words cannot be read

  Scenario Outline: A configuration whose <path> is <value> is refused
    When the platform's sample configuration has <path> as <value>
    Then the configuration is refused with the words <words>

    Examples:
      | path               | value  | words          |
      | routes.0.kind      | "odd"  | is not known   |
      | tenants.1.apiKeys  | ["k1"] | share a key    |
      | routes.0.timeoutMs | 0      | timeout is 0   |
      | routes.1.service   | "no"   | 'no' is not known |
      | version            | "7"    | cannot be read |
      | services.0.coldPerS | -1    | is negative    |
      | services.0.coldPerS | "14"  | cannot be read |
      | tenants.0.priority | "high" | cannot be read |
      | routes             | null   | cannot be read |
      | routes.0.service   | "no"   | 'no' is not known |
      | tenants            | [{"name": "t1", "apiKeys": ["k1"]}, {"name": "t1", "apiKeys": ["k1"]}] | share a key |

  Scenario Outline: A heartbeat in state <state> is <meaning>
    Then the platform's heartbeat in state <state> is <meaning>

    Examples:
      | state    | meaning |
      | ready    | serving |
      | draining | leaving |
      | odd      | refused |

  Scenario: A sign-off supersedes every heartbeat
    Then a sign-off has a higher sequence number than any heartbeat

  Scenario Outline: A heartbeat whose <field> is <value> is refused
    Then a heartbeat with <field> as <value> is refused with the words <words>

    Examples:
      | field             | value           | words             |
      | service           | missing         | service           |
      | service           | ""              | $.service         |
      | address           | missing         | address           |
      | address           | "nowhere"       | $.address         |
      | address           | "10.0.0.999:80" | IPv4              |
      | address           | "10.0.0.1:0"    | IPv4              |
      | address           | "10.0.0.1:80\n" | $.address         |
      | state             | "resting"       | state             |
      | state             | 3               | $.state           |
      | sequence          | missing         | sequence          |
      | sequence          | "4"             | $.sequence        |
      | sequence          | 1e40            | $.sequence        |
      | sequence          | -1              | $.sequence        |
      | zone              | 7               | $.zone            |
      | slots             | missing         | slots             |
      | slots             | true            | $.slots           |
      | version           | 1               | $.version         |
      | coldRemainingMs   | "soon"          | $.coldRemainingMs |
      | stage             | 1               | $.stage           |
      | models            | "m"             | $.models          |
      | models            | [{"name": 1}]   | $.models[0].name  |
      | models            | [{"name": "m", "version": "1"}] | $.models[0].version |
      | born              | 1.5             | $.born            |
      | born              | "1764720000000" | $.born            |
      | born              | null            | $.born            |
      | born              | true            | $.born            |
      | born              | 0               | $.born            |

  Scenario Outline: The start time <born> becomes the incarnation <incarnation>
    Then a heartbeat and a sign-off with born as <born> have incarnation <incarnation>

    Examples:
      | born          | incarnation   |
      | nothing       | 0             |
      | 1764720000000 | 1764720000000 |

  # Guards against cold endpoints that nobody knows of, and against a remaining
  # time of years by a wrong unit.
  Scenario Outline: A heartbeat with <ms> ms of cold time left states <s> s
    Then a heartbeat with coldRemainingMs as <ms> states <s> s

    Examples:
      | ms    | s     |
      | 0     | 0     |
      | 7250  | 7.25  |
      | 1e15  | 600   |

  Scenario Outline: A service's <field> of <value> is decoded as <key> <decoded>
    Then a service with <field> as <value> has a <key> of <decoded>

    Examples:
      | field      | value | key          | decoded |
      | coldPerS   | 14    | cold_per_s   | 14      |
      | coldPerS   | 0     | cold_per_s   | 0       |
      | coldStartS | 8.5   | cold_start_s | 8.5     |
      | unknown    | 1     | cold_per_s   | 0       |
      | unknown    | 1     | cold_start_s | 0       |

  # Guards against a gateway that cannot read its settings on deployments without
  # the bounds of cold endpoints.
  Scenario Outline: The gateway's template is valid with <bounds>
    Then the gateway's template with <bounds> gives an overrun of <overrun> and a slack of <slack>

    Examples:
      | bounds                        | overrun | slack |
      | none                          | 1.5     | 5     |
      | coldOverrun=2, coldSlack=3    | 2       | 3     |
      | coldOverrun=2                 | 2       | 5     |
      | coldSlack=0                   | 1.5     | 0     |

  Scenario Outline: Arbitrary bytes as <what> do not crash the decoder
    Then <what> of arbitrary bytes is decoded or refused with a message

    Examples:
      | what            |
      | a heartbeat     |
      | a sign-off      |
      | a configuration |

  # Guards against a 500, after which senders send the document again.
  Scenario Outline: <what> that is nested too deeply is refused
    Then <what> nested 30000 deep is refused with the words cannot be read

    Examples:
      | what            |
      | a heartbeat     |
      | a sign-off      |
      | a configuration |

  # Guards against a closed connection for each request of a route, and against a
  # load summary that cannot be encoded.
  Scenario Outline: Gateways can compute with a configuration whose <path> is <value>
    Then gateways choose engines by a configuration whose <path> is <value>

    Examples:
      | path                               | value |
      | routes.0.targetLatencyMs           | 0     |
      | routes.0.targetLatencyMs           | -1    |
      | routes.0.gapTargetMs               | 1e300 |
      | routes.0.timeoutMs                 | 1e300 |
      | routes.0.priority                  | 1e400 |
      | routes.0.trafficSplit.0.weight     | 1e400 |
      | services.0.engine.slots            | 0     |
      | services.0.engine.slots            | 1e400 |
      | services.0.engine.cacheTokens      | -1    |
      | services.0.engine.cacheTokens      | 1e400 |
      | services.0.engine.stride           | 0     |
      | services.0.engine.stride           | 1e400 |
      | services.0.engine.chunk            | 1e400 |
      | services.0.engine.step_ms          | -1    |
      | services.0.engine.step_ms          | 1e300 |
      | services.0.engine.read_per_s       | 0     |
      | services.0.engine.read_per_s       | 1e300 |
      | services.0.engine.pairs_per_m      | 1e300 |
      | tenants.0.priority                 | -1e30 |
      | tenants.0.priority                 | 1e400 |

  # Guards against a limit that is changed though gateways can use it.
  Scenario: A configuration whose numbers are in range stays as it is
    Then the platform's sample configuration is stored unchanged
