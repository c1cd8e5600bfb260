Feature: A gateway distinguishes endpoint crashes from broken connections

  Scenario Outline: An endpoint that will <act> with <sends> requests in flight
    When an endpoint with <sends> requests in flight will <act>
    Then it counts as crashed: <crashed>, with <suspects> suspects

    Examples: the end of a process is one crash
      | act                   | sends | crashed | suspects |
      | crash                 | 1     | yes     | 1        |
      | crash                 | 5     | yes     | 5        |
      | restart under its name | 2    | yes     | 2        |

    Examples: not a crash
      | act                   | sends | crashed | suspects |
      | break connections off | 3     | no      | 0        |
      | leave, then end       | 3     | no      | 0        |
      | sign off, then end    | 3     | no      | 0        |
      | lose its network      | 3     | no      | 0        |

  Scenario Outline: The fingerprint of a request that differs in its <part>
    When two requests differ only in their <part>
    Then their fingerprints differ

    Examples:
      | part      |
      | method    |
      | host      |
      | path      |
      | query     |
      | workspace |
      | body      |

  Scenario: The boundary between path and body changes the fingerprint
    When the end of one request's path is the start of another's body
    Then their fingerprints differ

  Scenario: The same request has the same fingerprint at every gateway
    When a request is fingerprinted in two processes
    Then the fingerprints are equal
