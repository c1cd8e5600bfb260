Feature: A watcher counts no version as current that it does not hold

  Guards against a relay or gateway that serves an old version of the routes,
  or a withdrawn key, under the proof of a newer one.

  Scenario Outline: A <watcher> at version <held> that asked from <asked> gets <response>
    Given a <watcher> that holds version <held>
    When it asked from version <asked> and gets <response>
    Then its version is <version> and it is <current>
    And it asks from version <next> the next time

    Examples: responses of a relay to a gateway, which has one request in flight
      | watcher | held | asked | response     | version | current | next |
      | gateway | none | none  | snapshot 4   | 4       | proved  | 4    |
      | gateway | none | none  | delta 3 to 4 | none    | stale   | none |
      | gateway | 2    | 2     | nothing new  | 2       | proved  | 2    |
      | gateway | 2    | 2     | delta 2 to 4 | 4       | proved  | 4    |
      | gateway | 2    | 2     | delta 3 to 4 | 2       | stale   | none |

    Examples: responses of the leader to a relay, which may have two in flight
      | watcher | held | asked | response     | version | current | next |
      | relay   | none | none  | snapshot 4   | 4       | proved  | 4    |
      | relay   | none | none  | delta 3 to 4 | none    | stale   | none |
      | relay   | 2    | 2     | nothing new  | 2       | proved  | 2    |
      | relay   | 2    | 2     | delta 2 to 4 | 4       | proved  | 4    |
      | relay   | 2    | 2     | delta 3 to 4 | 2       | stale   | none |
      | relay   | 3    | 2     | delta 2 to 4 | 3       | stale   | 3    |
      | relay   | 4    | 2     | delta 2 to 4 | 4       | proved  | 4    |

  Scenario Outline: A <watcher> asks for one snapshot after a delta that does not fit
    Given a <watcher> that holds version 2
    When it asked from version 2 and gets delta 3 to 4
    And it asked from version none and gets snapshot 4
    Then its version is 4 and it is proved
    And it asks from version 4 the next time

    Examples:
      | watcher |
      | gateway |
      | relay   |

  Scenario: A deposed leader serves nothing as current before its successor has answered it
    Given 4 gateways that watch, each asking a relay of its zone
    When the leader stands still while another one takes a version
    Then the gateways that reach only the deposed leader have no proof from it

  Scenario Outline: A late request of an earlier <what> changes nothing at a relay
    Given a relay that gateway g watches with incarnation 2 and attachment 3
    When a request of incarnation <incarnation> and attachment <attachment> arrives late
    Then the relay reports incarnation 2 and attachment 3 of gateway g
    And the lease of gateway g is not renewed

    Examples:
      | incarnation | attachment | what       |
      | 2           | 2          | attachment |
      | 1           | 7          | process    |

  Scenario Outline: A planted defect shows: <defect>
    When the proof defect "<defect>" is planted
    Then a scenario of this feature fails

    Examples:
      | defect                                                  |
      | a relay proves the version held when a delta does not fit   |
      | a gateway proves the version held when a delta does not fit |
      | a deposed leader proves its routes from when it stepped down |
      | a relay takes a request of an earlier attachment        |
