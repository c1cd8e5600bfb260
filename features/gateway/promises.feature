Feature: Promises that rest on one line of the gateway each

  Scenario: Memory set aside for a prompt is freed when its request ends
    When a prompt above one engine's memory is served
    Then each ticket that was taken is given back

  Scenario: The proof of a version counts from the asking
    When a leader answers a watch 0.3 s after it was asked
    Then the proof is at least 0.3 s old

  Scenario: Nothing is sent on a proof that has become too old meanwhile
    When the proof ends while a first endpoint loses a safe request
    Then the second endpoint gets nothing

  Scenario Outline: A <kind> request whose endpoint starts again meanwhile
    When a <kind> request is at an endpoint that restarts under its name
    Then the caller gets <status> and the answer is whole
    And <sends> sends were made
    And the answer came within 1 s

    Examples:
      | kind   | status | sends |
      | stream | 200    | 2     |
      | safe   | 200    | 2     |

  # Guards against a stream that is cut off or sent twice as its endpoint's start
  # became known only after the send to it.
  Scenario: A stream at a start that is heard of later stays there
    When a stream pauses for 0.5 s at a start that is heard of 0.05 s after the send
    Then the caller gets 200 and the answer is whole
    And the events are 1 2 3 4
    And 1 sends were made

  Scenario: What must not run twice is not sent to the later start
    When an unsafe request is at an endpoint that restarts under its name
    Then the caller gets 504 and the answer is whole
    And 1 sends were made

  # Guards against streams that are cut off behind endpoints that are only slow: the
  # silent one was given up before it was known that no other may take over.
  Scenario Outline: A stream whose endpoint pauses goes on there where <hindrance>
    When a stream pauses for 1.3 s at its endpoint where <hindrance>
    Then the caller gets 200 and the answer is whole
    And the events are 1 2 3 4
    And 1 sends were made

    Examples:
      | hindrance                        |
      | the retry budget is used up      |
      | the routes are proved no longer  |
      | no other endpoint runs           |

  Scenario: A stream whose endpoint pauses goes on at another one
    When a stream pauses for 1.3 s at its endpoint where another one runs
    Then the caller gets 200 and the answer is whole
    And the events are 1 2 3 4
    And 2 sends were made

  Scenario: What was held while the gateway started is not sent away for that
    When a prompt is held for 0.5 s beside 6 that are late, and 8 places are free
    Then the caller gets 200 and the answer is whole

  # Guards against a version that ends what would bring the next one.
  Scenario: A version that cannot be applied keeps no later one away
    Given 3 gateways before 6 engines
    When a version comes that fails to apply, and 1 s later another one
    Then all gateways serve the last version within 1 s
    And none of them called the version before it current meanwhile
