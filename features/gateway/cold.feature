Feature: A gateway keeps its requests to cold endpoints within its part of the limit

  # Guards against requests that a cold endpoint cannot take, and against holding
  # those that nobody can serve.
  Scenario: More requests than the limit are refused at once, as not run
    When 20 requests meet a cold endpoint with a limit of 8
    Then it receives 8 of them and the others are refused with the time to retry
    And the log, the metrics and the state dump show the limit

  Scenario: A request waits for a part of the limit that is free soon
    When a request meets a cold endpoint whose limit has room after 0.3 s
    Then it is answered after 0.3 to 0.8 s

  # Guards against sends without a share of the limit, and against a rule that
  # applies where the configuration states no limit.
  Scenario Outline: <count> requests of a gateway that is <role> meet <endpoints>
    When <count> requests of a gateway that is <role> meet <endpoints>
    Then <received> of them arrive at e1 and <statuses> are the responses

    Examples:
      | count | role          | endpoints                         | received | statuses |
      | 6     | no sender     | e1 cold and e2 warm               | 0        | 200      |
      | 6     | no sender     | e1 cold and e2 cold               | 0        | 503      |
      | 6     | no sender     | e1 warm                           | 6        | 200      |
      | 6     | a sender      | e1 cold                           | 6        | 200      |
      | 20    | no sender     | e1 cold without a stated rate     | 20       | 200      |
      | 6     | out of touch  | e1 cold                           | 0        | 503      |

  Scenario: A gateway that is no sender forwards a request to one that is
    When a request meets only cold endpoints at a gateway that knows a sender
    Then the sender receives it with the name of the forwarding gateway

  # Guards against sends decided on before the gateway was frozen or its endpoint
  # restarted: connecting takes up to 0.4 s.
  Scenario Outline: A send is given up before its first byte if <event>
    When <event> while a request connects to it
    Then the request arrives only at another endpoint, with no retry charged

    Examples:
      | event                                        |
      | the proof expires as the gateway is frozen   |
      | the endpoint restarts cold                   |
      | the endpoint becomes cold again              |
      | others use the gateway's part of the limit   |

  Scenario Outline: A long prompt whose helper is <state> is <sent>
    Then a long prompt whose helper is <state> is <sent>

    Examples:
      | state                   | sent                    |
      | warm                    | sent                    |
      | cold with room          | sent and counted        |
      | cold and at its limit   | not sent                |
      | restarted since         | not sent                |

  # Guards against a placement that takes a cold engine for a fast one.
  Scenario: A cold engine is predicted to take longer
    Then a prompt on an idle engine takes 3 times as long while it is cold
