Feature: Gateways receive routes, endpoints and members by watching

  Scenario Outline: Only a version above the current one is adopted
    When versions <sent> are put
    Then version <wanted> is in use with its own document

    Examples:
      | sent  | wanted |
      | 1 2 3 | 3      |
      | 3 2 1 | 3      |
      | 2 2   | 2      |

  Scenario: A snapshot keeps the routes and their document
    When versions 4 are put
    And the state is saved and loaded
    Then version 4 is in use with its own document

  Scenario: A sign-off is distinguished from an expired lease
    Given a coordinator with endpoints "left" and "lost"
    When "left" signs off and "lost" sends nothing for 9 s
    Then the next watch returns "left" as left and "lost" as gone

  Scenario: A late heartbeat does not restore an endpoint that signed off
    Given a coordinator with endpoints "left" and "other"
    When "left" signs off and an earlier heartbeat of it arrives late
    Then a new watch does not return "left"

  Scenario: A new leader learns endpoints that a gateway reports
    Given a coordinator without endpoints
    When a gateway watches and reports an endpoint and a tombstone
    Then the coordinator has the endpoint, and a late heartbeat restores no other

  Scenario: A peer link reconnects after the other side has restarted
    When the process at the other end of a peer link restarts
    Then messages arrive there again

  Scenario Outline: A joining replica that <case> is <step>
    Then a joining replica that <case> is then <step>

    Examples:
      | case                                                 | step                 |
      | is new                                               | made a learner       |
      | is a learner, with a voter missing                   | promoted             |
      | is a learner again with an empty disk                | promoted for itself  |
      | is a learner while a voter is unresponsive for 5 s   | promoted for another |
      | is a learner while a voter is unresponsive for 1.1 s | promoted for another |
      | is a learner while a voter is unresponsive for 0.5 s | promoted             |
      | is a learner and has not answered for 0.5 s          | left alone           |
      | is a learner and has not caught up                   | left alone           |
      | is a learner beside one that has not caught up       | promoted             |
      | is a learner while all voters respond                | promoted             |
      | is a voter already                                   | left alone           |

  Scenario Outline: A vote for a replica <that> is refused
    Then a vote for a replica <that> is refused as "<reason>"

    Examples:
      | that                                 | reason                          |
      | without an address                   | the replica needs address       |
      | without a disk                       | the replica needs disk          |
      | without a name                       | the replica needs name          |
      | with the name of one that answers    | name of 'b#d', which answers    |
      | with the address of one that answers | address of 'b#d', which answers |
      | with the name of the leader          | name of 'a#d', which answers    |

  Scenario: A replica replaces an unresponsive one of the same name
    Then a replica named like one that is unresponsive for 0.5 s is made a learner

  Scenario Outline: Of <voters> voters, one that is unresponsive for <seconds> s <outcome>
    Then of <voters> voters, one that is unresponsive for <seconds> s <outcome>

    Examples:
      | voters | seconds | outcome    |
      | 3      | 60      | stays      |
      | 4      | 0.8     | stays      |
      | 4      | 1.1     | is removed |
      | 4      | 11      | is removed |
      | 5      | 5       | stays      |
      | 5      | 11      | is removed |

  Scenario: Nothing is acknowledged before enough replicas store it
    Then a system of 1 replica that needs 3 refuses a version
