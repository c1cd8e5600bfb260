Feature: The platform's formats become the product's own types

  Scenario: A configuration is decoded with its units
    When the platform's sample configuration is decoded
    Then its routes, engine, keys and limits hold what the sample says

  Scenario Outline: A configuration with <fault> is refused
    When the platform's sample configuration has <fault>
    Then the platform is told <words>

    Examples:
      | fault             | words               |
      | half its bytes    | cannot be read      |
      | an unknown kind   | is not known        |
      | a shared key      | share a key         |
      | no timeout        | timeout is 0        |
      | a text as version | cannot be read      |

  Scenario Outline: A heartbeat in state <state> is <meaning>
    Then the platform's heartbeat in state <state> is <meaning>

    Examples:
      | state    | meaning |
      | ready    | serving |
      | draining | leaving |
      | odd      | refused |

  Scenario: Signing off supersedes every heartbeat
    Then signing off has a higher number than any heartbeat
