Feature: Gateways learn of routes, endpoints and each other by watching

  Scenario Outline: The highest version wins and no other changes anything
    When versions <sent> are put
    Then version <wanted> is in force with its own document

    Examples:
      | sent  | wanted |
      | 1 2 3 | 3      |
      | 3 2 1 | 3      |
      | 2 2   | 2      |

  Scenario: A snapshot keeps the routes and their document
    When versions 4 are put
    And the state is saved and loaded
    Then version 4 is in force with its own document

  Scenario: An endpoint that signs off is told apart from a silent one
    Given a hub that knows endpoints "left" and "silent"
    When "left" signs off and "silent" is silent for 9 s
    Then a watch since then names "left" as left and "silent" as gone

  Scenario: A late heartbeat does not bring back what has signed off
    Given a hub that knows endpoints "left" and "other"
    When "left" signs off and its earlier heartbeat comes late
    Then a new watch does not name "left"

  Scenario: A new leader learns endpoints from what a gateway brings along
    Given a hub that knows nothing
    When a gateway watches and brings along an endpoint and a tombstone
    Then the hub knows the endpoint, and a late heartbeat revives no other

  Scenario: A peer link carries on after the other side has restarted
    When the process at the other end of a peer link restarts
    Then messages arrive there again

  Scenario Outline: A replica that <case> is <step>
    Then a joining replica that <case> is then <step>

    Examples:
      | case                                     | step                  |
      | is new                                   | made a learner        |
      | learns, with a voter missing             | promoted              |
      | learns again with an empty disk          | promoted for itself   |
      | learns while a voter is silent for 5 s   | promoted for another  |
      | learns while a voter is silent for 1.1 s | promoted for another  |
      | learns while a voter is silent for 0.5 s | promoted              |
      | learns and has not answered for 0.5 s    | left alone            |
      | learns and has not caught up             | left alone            |
      | learns beside one that has not caught up | promoted              |
      | learns while all voters live             | promoted              |
      | votes already                            | left alone            |

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

  Scenario: A replica takes the place of one with its name that is silent
    Then a replica with the name of one silent for 0.5 s is made a learner

  Scenario Outline: Of <voters> voters one that is silent for <seconds> s <fate>
    Then of <voters> voters one that is silent for <seconds> s <fate>

    Examples:
      | voters | seconds | fate     |
      | 3      | 60      | stays    |
      | 4      | 0.8     | stays    |
      | 4      | 1.1     | is retired |
      | 4      | 11      | is retired |
      | 5      | 5       | stays    |
      | 5      | 11      | is retired |

  Scenario: Nothing is acknowledged before enough replicas hold it
    Then a system of 1 replica that needs 3 refuses a version
