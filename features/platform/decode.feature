Feature: The platform's formats become the product's own types

  Scenario: A configuration is decoded with its units
    When the platform's sample configuration is decoded
    Then its routes, engine, keys and limits hold what the sample says

  Scenario: A configuration that was cut short is refused
    When the platform's sample configuration is cut in half
    Then the platform is told cannot be read

  Scenario Outline: A configuration whose <path> is <value> is refused
    When the platform's sample configuration has <path> as <value>
    Then the platform is told <words>

    Examples:
      | path               | value  | words          |
      | routes.0.kind      | "odd"  | is not known   |
      | tenants.1.apiKeys  | ["k1"] | share a key    |
      | routes.0.timeoutMs | 0      | timeout is 0   |
      | routes.1.service   | "no"   | 'no' is not known |
      | version            | "7"    | cannot be read |
      | routes             | null   | cannot be read |

  Scenario Outline: A heartbeat in state <state> is <meaning>
    Then the platform's heartbeat in state <state> is <meaning>

    Examples:
      | state    | meaning |
      | ready    | serving |
      | draining | leaving |
      | odd      | refused |

  Scenario: Signing off supersedes every heartbeat
    Then signing off has a higher number than any heartbeat
