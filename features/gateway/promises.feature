Feature: Guarantees that each depend on one line of the gateway

  Scenario: Memory reserved for a prompt is released when its request ends
    When a prompt that exceeds one engine's memory is served
    Then each reservation that was made is released

  Scenario: The age of a proof counts from the request of the watch
    When a leader responds to a watch 0.3 s after its request
    Then the proof is at least 0.3 s old

  Scenario: Nothing is sent after the proof has expired during an earlier send
    When the proof expires while a first endpoint loses a safe request
    Then the second endpoint gets no request

  Scenario Outline: A <kind> request whose endpoint restarts during the send
    When a <kind> request is at an endpoint that restarts under its name
    Then the caller gets <status> and the response is complete
    And <sends> sends were made
    And the answer came within 1 s

    Examples:
      | kind   | status | sends |
      | stream | 200    | 2     |
      | safe   | 200    | 2     |

  # Guards against a stream that is cut off or sent twice because its endpoint's
  # restart became known only after the send.
  Scenario: A stream stays at an endpoint whose restart becomes known later
    When a stream pauses for 0.5 s at an endpoint whose restart becomes known 0.05 s after the send
    Then the caller gets 200 and the response is complete
    And the events are 1 2 3 4
    And 1 sends were made

  Scenario: An unsafe request is not sent again after a restart
    When an unsafe request is at an endpoint that restarts under its name
    Then the caller gets 504 and the response is complete
    And 1 sends were made

  # Guards against cutting off streams of endpoints that are only slow: the send was
  # cancelled before it was known that no other endpoint may be tried.
  Scenario Outline: A stream whose endpoint pauses continues there if <hindrance>
    When a stream pauses for 1.3 s at its endpoint while <hindrance>
    Then the caller gets 200 and the response is complete
    And the events are 1 2 3 4
    And 1 sends were made

    Examples:
      | hindrance                        |
      | the retry budget is used up      |
      | the routes are proved no longer  |
      | no other endpoint runs           |

  Scenario: A stream whose endpoint pauses continues at another endpoint
    When a stream pauses for 1.3 s at its endpoint while another one runs
    Then the caller gets 200 and the response is complete
    And the events are 1 2 3 4
    And 2 sends were made

  Scenario: A prompt that was held during the start is not shed for the wait
    When a prompt is held for 0.5 s beside 6 late ones, and 8 batch slots are free
    Then the caller gets 200 and the response is complete

  # Guards against a version that fails to apply and so ends the watch, which
  # would bring the next version.
  Scenario: A version that cannot be applied does not block later ones
    Given 3 gateways in front of 6 engines
    When a version comes that fails to apply, and 1 s later another one
    Then all gateways serve the last version within 1 s
    And no gateway counted the version before it as current meanwhile

  # Guards against ejecting an endpoint for a retry that this gateway's own budget
  # refused before anything was sent.
  Scenario: A send that the retry budget refuses says nothing about its endpoint
    When the retry budget refuses each send of a safe request
    Then no endpoint was sent anything, and none is ejected
