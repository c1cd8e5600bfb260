Feature: Endpoints that restart under the same name

  The leader receives the messages in the order given, one per second, and a
  gateway polls it after each. `7.2 ready` is announcement 2 of incarnation 7,
  `7 off` a sign-off that states its incarnation, `off` one that does not.
  Incarnation 0 stands for an announcement that states none.

  Scenario Outline: After <messages>
    When the leader receives <messages>
    Then the endpoint is <state> at the leader and at a gateway

    Examples: endpoints that state an incarnation
      | messages                                    | state  |
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

    Examples: a sign-off without an incarnation, soon after a restart
      | messages                                                | state  |
      | 7.1 ready, 8.1 ready, off                               | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready                    | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 8.3 ready         | used   |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 8.2 ready         | unused |
      | 7.1 ready, 8.1 ready, off, 8.2 ready, 7.9 ready         | unused |
      | 7.1 ready, 8.1 ready, off, 9.1 ready                    | used   |
      | 7.1 ready, 8.1 ready, 8.2 draining, off, 8.3 ready, 8.4 ready | unused |
      | 7.1 ready, 8.1 ready, wait 11, 8.2 ready, off, 8.3 ready, 8.4 ready | unused |

    Examples: a sign-off of an unknown endpoint
      | messages                         | state  |
      | off, 7.1 ready                   | unused |
      | off, 7.1 ready, 7.2 ready        | used   |
      | off, 7.1 ready, 7.1 ready        | unused |
      | off, 0.1 ready, 0.2 ready        | unused |

    Examples: an expired lease
      | messages                                 | state  |
      | 7.1 ready, wait 9                        | unused |
      | 7.1 ready, wait 9, 7.2 ready             | used   |
      | 7.1 ready, wait 9, 8.1 ready             | used   |
      | 7.1 ready, 8.1 ready, wait 9, 7.9 ready  | unused |
      | 7.1 ready, wait 9, 8.1 ready, 7.9 ready  | used   |

    Examples: endpoints without an incarnation, and both kinds under one name
      | messages                                 | state  |
      | 0.1 ready, off, 0.2 ready                | unused |
      | 0.5 ready, 7.1 ready                     | used   |
      | 0.5 ready, 7.1 ready, 0.6 draining       | used   |
      | 0.5 ready, 7.1 ready, wait 9, 0.6 ready  | unused |
      | 7.1 ready, 0.6 ready                     | used   |
      | 7.1 ready, wait 9, 0.1 ready             | used   |

  Scenario: Messages of several incarnations in any order, any number of times
    Then the latest incarnation decides, in any order of its messages

  Scenario: A new leader learns of a sign-off from a gateway
    When the leader receives 7.5 ready, 7 off
    And another leader receives 7.6 ready late and then the gateway's state
    Then the endpoint is unused at the other leader

  Scenario: A gateway keeps the end of an endpoint without an incarnation
    When the leader receives 0.5 ready, off, 7.1 ready
    And another leader receives 7.2 ready late and then the gateway's state
    Then the endpoint is used at the other leader

  Scenario: Announcements that gateways repeat resolve no uncertain sign-off
    When the leader receives 7.1 ready, 8.1 ready, off
    And gateways repeat 8.2 ready, 8.3 ready
    Then the endpoint is unused at the leader and at a gateway

  Scenario Outline: <state> of an earlier incarnation ends with it
    When a gateway has seen an endpoint fail and learns of its restart
    Then <state> of the earlier incarnation no longer counts

    Examples:
      | state                 |
      | the ejection          |
      | the work              |
      | a late failure        |
      | a late misdirection   |
      | the memory            |
