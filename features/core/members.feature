Feature: Which gateways are believed alive, and which of them are in use

  Scenario Outline: A new leader's first list does not empty the addresses
    Given a gateway that knows a b c from one leader
    When a new leader that listens for <age> s names <named>
    Then the gateway knows <known>

    Examples:
      | age | named | known |
      | 0.0 | a     | a b c |
      | 1.0 | a b   | a b c |
      | 2.0 | a b   | a b   |
      | 2.0 | a b d | a b d |

  Scenario: What a new leader never names is dropped once it has listened
    Given a gateway that knows a b c from one leader
    When a new leader that listens for 0.1 s names a
    And the same leader after 1.7 s names b
    Then the gateway knows a b

  Scenario: A member that the new leader has lost is dropped at once
    Given a gateway that knows a b c from one leader
    When a new leader that listens for 0.1 s names a and has lost b
    Then the gateway knows a c

  Scenario Outline: A part of a zone's gateways is in use
    Given <zones> zones of <size> gateways
    Then <used> gateways of each zone are in use

    Examples:
      | zones | size | used |
      | 3     | 1    | 1    |
      | 3     | 4    | 4    |
      | 3     | 27   | 5    |
      | 12    | 43   | 8    |

  Scenario: The loss of one in use brings one other in and moves nobody else
    Given 3 zones of 27 gateways
    When one in use is lost
    Then one other of its zone is in use and all others stay

  Scenario: One that leaves is used no longer
    Given 3 zones of 27 gateways
    When one in use begins to leave
    Then one other of its zone is in use and all others stay

  Scenario Outline: Shares of a limit never add up to more than the limit
    Given <zones> zones of <size> gateways
    Then the shares of all gateways add up to 1
    And one in use has a share of <share>

    Examples:
      | zones | size | share  |
      | 1     | 1    | 1.0    |
      | 3     | 3    | 0.1111 |
      | 3     | 27   | 0.0567 |

  Scenario Outline: Work is told to the gateways that choose engines
    Given a gateway <place> among 3 zones of 27 gateways
    And it has heard of <what> at one that is not in use
    Then it tells <count> others, that one <included>

    Examples:
      | place      | what          | count | included      |
      | in use     | a prompt      | 15    | among them    |
      | not in use | a prompt      | 16    | among them    |
      | in use     | a plain call  | 14    | not among them |
      | in use     | an ended prompt | 14  | not among them |

  Scenario Outline: A call that takes <took> ms is <told>
    Given a gateway in use among 3 zones of 27 gateways
    When it passes on a plain call that takes <took> ms
    Then the call is <told>

    Examples:
      | took | told     |
      | 5    | not told |
      | 60   | told     |

  Scenario Outline: A gateway without work says so once and then nothing
    Given a gateway not in use among 3 zones of 27 gateways
    When it has work in <rounds> rounds of telling
    Then it sends in <sent> of them

    Examples:
      | rounds    | sent      |
      | no no no  | no no no  |
      | yes no no | yes yes no |
      | no yes no | no yes yes |

  Scenario Outline: A gateway that callers are not sent to asks less often
    Given a gateway <place> among 3 zones of 27 gateways
    Then it lets its answers be held back for <seconds> s

    Examples:
      | place      | seconds |
      | in use     | 0.4     |
      | not in use | 1.0     |
