Feature: The gateways that count as alive, and those that are in rotation

  Scenario Outline: The first list of a new leader does not empty the addresses
    Given a gateway that knows a b c from one leader
    When a new leader that has led for <age> s reports <named>
    Then the gateway knows <known>

    Examples:
      | age | named | known |
      | 0.0 | a     | a b c |
      | 1.0 | a b   | a b c |
      | 2.0 | a b   | a b   |
      | 2.0 | a b d | a b d |

  Scenario: A member that a new leader never reports is dropped after a while
    Given a gateway that knows a b c from one leader
    When a new leader that has led for 0.1 s reports a
    And the same leader after 1.7 s reports b
    Then the gateway knows a b

  Scenario: A member that the new leader has lost is dropped at once
    Given a gateway that knows a b c from one leader
    When a new leader that has led for 0.1 s reports a and has lost b
    Then the gateway knows a c

  Scenario Outline: A share of each zone's gateways is in rotation
    Given <zones> zones of <size> gateways
    Then <used> gateways of each zone are in rotation

    Examples:
      | zones | size | used |
      | 3     | 1    | 1    |
      | 3     | 4    | 4    |
      | 3     | 27   | 5    |
      | 12    | 43   | 8    |

  Scenario: A lost gateway in rotation is replaced and the others stay
    Given 3 zones of 27 gateways
    When a gateway in rotation is lost
    Then another one of its zone is in rotation and all others stay

  Scenario: A leaving gateway is replaced in the rotation
    Given 3 zones of 27 gateways
    When a gateway in rotation begins to leave
    Then another one of its zone is in rotation and all others stay

  Scenario Outline: Shares of a limit never add up to more than the limit
    Given <zones> zones of <size> gateways
    Then the shares of all gateways add up to 1
    And a gateway in rotation has a share of <share>

    Examples:
      | zones | size | share  |
      | 1     | 1    | 1.0    |
      | 3     | 3    | 0.1111 |
      | 3     | 27   | 0.0567 |

  Scenario Outline: Work is reported to the gateways that choose engines
    Given a gateway <place> among 3 zones of 27 gateways
    And a gateway that is not in rotation has reported <what> to it
    Then it reports work to <count> others, that gateway <included>

    Examples:
      | place           | what            | count | included       |
      | in rotation     | a prompt        | 15    | among them     |
      | not in rotation | a prompt        | 16    | among them     |
      | in rotation     | a plain call    | 14    | not among them |
      | in rotation     | an ended prompt | 14    | not among them |

  Scenario Outline: A call that takes <took> ms is <reported>
    Given a gateway in rotation among 3 zones of 27 gateways
    When it forwards a plain call that takes <took> ms
    Then the call is <reported>

    Examples:
      | took | reported     |
      | 5    | not reported |
      | 60   | reported     |

  Scenario Outline: A gateway without work sends one empty summary and then none
    Given a gateway not in rotation among 3 zones of 27 gateways
    When it has work in <rounds> rounds of summaries
    Then it sends in <sent> of them

    Examples:
      | rounds    | sent       |
      | no no no  | no no no   |
      | yes no no | yes yes no |
      | no yes no | no yes yes |

  Scenario Outline: A gateway that is not in rotation polls less often
    Given a gateway <place> among 3 zones of 27 gateways
    Then its watch may be held for <seconds> s

    Examples:
      | place           | seconds |
      | in rotation     | 0.4     |
      | not in rotation | 1.0     |
