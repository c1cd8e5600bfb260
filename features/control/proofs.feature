Feature: A watcher counts a version as current only if it holds it

  Guards against a relay or gateway that serves an old version of the routes,
  or a withdrawn key, under the proof of a newer one.

  Scenario Outline: A <watcher> at version <held> that requested from <requested> gets <response>
    Given a <watcher> that holds version <held>
    When it requested changes from version <requested> and gets <response>
    Then its version is <version> and it is <state>
    And it requests changes from version <next> the next time

    Examples: responses of a relay to a gateway, which has one request in flight
      | watcher | held | requested | response     | version | state   | next |
      | gateway | none | none      | snapshot 4   | 4       | current | 4    |
      | gateway | none | none      | delta 3 to 4 | none    | stale   | none |
      | gateway | 2    | 2         | nothing new  | 2       | current | 2    |
      | gateway | 2    | 2         | delta 2 to 4 | 4       | current | 4    |
      | gateway | 2    | 2         | delta 3 to 4 | 2       | stale   | none |

    Examples: responses of the leader to a relay, which may have two in flight
      | watcher | held | requested | response     | version | state   | next |
      | relay   | none | none      | snapshot 4   | 4       | current | 4    |
      | relay   | none | none      | delta 3 to 4 | none    | stale   | none |
      | relay   | 2    | 2         | nothing new  | 2       | current | 2    |
      | relay   | 2    | 2         | delta 2 to 4 | 4       | current | 4    |
      | relay   | 2    | 2         | delta 3 to 4 | 2       | stale   | none |
      | relay   | 3    | 2         | delta 2 to 4 | 3       | stale   | 3    |
      | relay   | 4    | 2         | delta 2 to 4 | 4       | current | 4    |

  Scenario Outline: A <watcher> requests one snapshot after a delta that does not fit
    Given a <watcher> that holds version 2
    When it requested changes from version 2 and gets delta 3 to 4
    And it requested changes from version none and gets snapshot 4
    Then its version is 4 and it is current
    And it requests changes from version 4 the next time

    Examples:
      | watcher |
      | gateway |
      | relay   |

  Scenario: A deposed leader serves nothing as current until its successor answers it
    Given 4 gateways that each watch a relay of their zone
    When the leader is frozen while its successor takes a version
    Then the gateways that reach only the deposed leader get no proof from it

  Scenario Outline: A late request of an earlier <what> changes nothing at a relay
    Given a relay that gateway g watches with incarnation 2 and attachment 3
    When a request of incarnation <incarnation> and attachment <attachment> arrives late
    Then the relay reports incarnation 2 and attachment 3 of gateway g
    And the lease of gateway g is not renewed

    Examples:
      | incarnation | attachment | what       |
      | 2           | 2          | attachment |
      | 1           | 7          | process    |

  Scenario Outline: An injected defect is detected: <defect>
    When the proof defect "<defect>" is injected
    Then a scenario of this feature fails

    Examples:
      | defect                                                       |
      | a relay confirms its version when a delta does not fit       |
      | a gateway confirms its version when a delta does not fit     |
      | a deposed leader confirms its routes when it steps down      |
      | a relay accepts a request of an earlier attachment           |
