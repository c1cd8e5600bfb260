Feature: Endpoints that start again under the name that they had

  Words are heard by the leader in the order given, one a second, and a gateway
  asks for news after each. `7.2 ready` is announcement 2 of start 7, `7 off` a
  sign-off that states its start, `off` one that does not; start 0 states none.

  Scenario Outline: After <words>
    When the leader hears <words>
    Then the endpoint is <state> at the leader and at a gateway

    Examples: starts that state when they were
      | words                                       | state  |
      | 7.1 ready                                   | used   |
      | 7.9 ready, 8.1 ready                        | used   |
      | 8.1 ready, 7.9 ready                        | used   |
      | 7.4 draining, 8.1 ready                     | used   |
      | 7.4 draining, 8.1 ready, 7.5 draining       | used   |
      | 8.1 ready, 7.4 draining                     | used   |
      | 7.1 ready, 7 off, 8.1 ready                 | used   |
      | 7.1 ready, 8.1 ready, 7 off                 | used   |
      | 8.1 ready, 7 off                            | used   |
      | 7.1 ready, 7 off, 7.2 ready                 | unused |
      | 7.1 ready, 8.1 ready, 8 off, 7.9 ready      | unused |
      | 7.1 ready, 8.1 ready, 8 off, 8.2 ready      | unused |
      | 8.1 ready, 8.2 draining, 8.3 ready          | unused |
      | 7.1 ready, off, 7.2 ready, 7.3 ready        | unused |
      | 7.1 ready, off, 8.1 ready                   | used   |

    Examples: a sign-off that states no start, soon after a restart
      | words                                                   | state  |
      | 7.1 ready, 8.1 ready, off                               | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready                    | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 8.3 ready         | used   |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 8.2 ready         | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 7.9 ready         | unused |
      | 7.1 ready, 8.1 ready, off, 9.1 ready                    | used   |
      | 7.1 ready, 8.1 ready, 8.2 draining, off, 8.3 ready, 8.4 ready | unused |
      | 7.1 ready, 8.1 ready, wait 11, 8.2 ready, off, 8.3 ready, 8.4 ready | unused |

    Examples: a sign-off of which nothing was known
      | words                            | state  |
      | off, 7.1 ready                   | unused |
      | off, 7.1 ready, 7.2 ready        | used   |
      | off, 7.1 ready, 7.1 ready        | unused |
      | off, 0.1 ready, 0.2 ready        | unused |

    Examples: silence
      | words                                    | state  |
      | 7.1 ready, wait 9                        | unused |
      | 7.1 ready, wait 9, 7.2 ready             | used   |
      | 7.1 ready, wait 9, 8.1 ready             | used   |
      | 7.1 ready, 8.1 ready, wait 9, 7.9 ready  | unused |
      | 7.1 ready, wait 9, 8.1 ready, 7.9 ready  | used   |

    Examples: starts that state nothing, and both kinds under one name
      | words                                    | state  |
      | 0.1 ready, off, 0.2 ready                | unused |
      | 0.5 ready, 7.1 ready                     | used   |
      | 0.5 ready, 7.1 ready, 0.6 draining       | used   |
      | 0.5 ready, 7.1 ready, wait 9, 0.6 ready  | unused |
      | 7.1 ready, 0.6 ready                     | used   |
      | 7.1 ready, wait 9, 0.1 ready             | used   |

  Scenario: Words of several starts in any order, any number of times
    Then the latest start that was heard decides, in any order of its words

  Scenario: A new leader learns of a sign-off from a gateway
    When the leader hears 7.5 ready, 7 off
    And another leader hears 7.6 ready late and then the gateway
    Then the endpoint is unused at the other leader

  Scenario: A gateway remembers the end of a start that stated nothing
    When the leader hears 0.5 ready, off, 7.1 ready
    And another leader hears 7.2 ready late and then the gateway
    Then the endpoint is used at the other leader

  Scenario: What gateways remember settles no doubt about a sign-off
    When the leader hears 7.1 ready, 8.1 ready, off
    And gateways bring along 8.2 ready, 8.3 ready
    Then the endpoint is unused at the leader and at a gateway

  Scenario Outline: <belief> of the earlier start ends with it
    When a gateway has seen an endpoint fail and hears that it started again
    Then <belief> of the earlier start counts no more

    Examples:
      | belief                    |
      | the rest                  |
      | the work                  |
      | the failure that is late  |
      | the misdirection that is late |
      | the memory                |
