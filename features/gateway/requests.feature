Feature: A gateway gives each request one correct response

  Scenario Outline: A <kind> request at endpoints that <first>, then <second>
    When a <kind> request meets endpoints that <first> and then <second>
    Then the caller gets <status> and the response is <completeness>
    And <sends> sends were made
    And at most 2 endpoints ran it

    Examples: a request that did not run may be sent again, whatever its kind
      | kind   | first  | second | status | completeness | sends |
      | safe   | answer | answer | 200    | complete     | 1     |
      | unsafe | answer | answer | 200    | complete     | 1     |
      | safe   | reject | answer | 200    | complete     | 2     |
      | unsafe | reject | answer | 200    | complete     | 2     |

    Examples: a request that may have run is sent again only if it may run twice
      | kind   | first        | second             | status | completeness | sends |
      | safe   | reset        | answer             | 200    | complete     | 2     |
      | unsafe | reset        | answer             | 502    | complete     | 1     |
      | safe   | truncate     | answer             | 200    | complete     | 2     |
      | unsafe | truncate     | answer             | 502    | complete     | 1     |
      | safe   | misattribute | answer             | 200    | complete     | 2     |
      | unsafe | misattribute | answer             | 502    | complete     | 1     |
      | safe   | unsigned     | answer             | 200    | complete     | 2     |
      | unsafe | unsigned     | answer             | 502    | complete     | 1     |
      | safe   | encoded      | answer             | 200    | complete     | 2     |
      | safe   | fail         | answer             | 200    | complete     | 2     |
      | unsafe | fail         | answer             | 500    | complete     | 1     |
      | safe   | fail         | fail               | 500    | complete     | 2     |
      | safe   | fail         | reset, then answer | 500    | complete     | 2     |
      | unsafe | reject       | fail               | 500    | complete     | 2     |
      | safe   | reset        | reset              | 502    | complete     | 2     |
      | safe   | reject       | reset              | 502    | complete     | 3     |
      | unsafe | reject       | reset              | 502    | complete     | 2     |
      | unsafe | reject       | truncate           | 502    | complete     | 2     |

    Examples: an endpoint that stops responding
      | kind   | first | second | status | completeness | sends |
      | safe   | hang  | answer | 200    | complete     | 2     |
      | unsafe | hang  | answer | 504    | complete     | 1     |
      | safe   | hang  | hang   | 504    | complete     | 2     |
      | stream | hang  | stream | 200    | complete     | 2     |
      | stream | hang  | hang   | 504    | complete     | 2     |

    Examples: unusual but complete responses
      | kind   | first    | second | status | completeness | sends |
      | safe   | unframed | answer | 200    | complete     | 1     |
      | unsafe | unframed | answer | 200    | complete     | 1     |
      | unsafe | twice    | answer | 200    | complete     | 1     |

    # Guards against a body that looks whole as its end is the connection's,
    # though the endpoint crashed in the middle of it.
    Examples: an endpoint that crashes in a response without a length
      | kind   | first             | second | status | completeness | sends |
      | safe   | crash in unframed | answer | 200    | complete     | 2     |
      | unsafe | crash in unframed | answer | 502    | complete     | 1     |

  Scenario Outline: A stream whose endpoint will <first>, then <second>
    When a stream request meets endpoints that <first> and then <second>
    Then the caller gets 200 and the response is <completeness>
    And the events are <events>

    Examples:
      | first        | second | completeness | events  |
      | stream       | stream | complete     | 1 2 3 4 |
      | die in event | stream | complete     | 1 2 3 4 |
      | reset        | stream | complete     | 1 2 3 4 |
      | die in event | reset  | truncated    | 1 2     |
      | stall        | stream | complete     | 1 2 3 4 |
      | stall        | hang   | truncated    | 1 2     |

    # Guards against streams that look complete as their end is the connection's,
    # though the endpoint crashed between two events.
    Examples: responses without a length
      | first                | second          | completeness | events  |
      | unframed stream      | stream          | complete     | 1 2 3 4 |
      | cut unframed event   | stream          | complete     | 1 2 3 4 |
      | crash between events | stream          | complete     | 1 2 3 4 |
      | crash between events | unframed stream | complete     | 1 2 3 4 |

  Scenario Outline: A <kind> request with <fault> is refused at once
    When a <kind> request comes with <fault>
    Then the caller gets <status> at once and nothing is sent
    And the refusal states a retry delay: <back>

    Examples:
      | kind   | fault                         | status | back |
      | safe   | an unknown key                | 401    | no   |
      | unsafe | a path without a route        | 404    | no   |
      | unsafe | a proof that is too old       | 503    | yes  |
      | unsafe | a path without a route, and a proof that is too old | 503 | yes |
      | safe   | an unknown key, and a proof that is too old | 503 | yes |
      | safe   | no routes known               | 503    | yes  |
      | unsafe | no endpoint alive             | 503    | yes  |
      | stream | no endpoint alive             | 503    | yes  |
      | stream | the gateway stopping for long | 503    | yes  |

  # Pattern: callers that come back late in a rush of long prompts. A send that
  # no engine can answer in time takes prefill from requests that can be served.
  Scenario Outline: A prompt of <tokens> tokens with <left> ms left is <outcome>
    When a prompt of <tokens> tokens comes with <left> ms left
    Then it is <outcome>

    Examples:
      | tokens | left  | outcome         |
      | 5000   | 80    | refused at once |
      | 5000   | 400   | sent            |
      | 300000 | 300   | refused at once |
      | 300000 | 1500  | sent            |
      | 900000 | 1500  | refused at once |

  Scenario: Callers cannot set headers that are reserved for the gateway
    When a caller sends headers that only the gateway may set
    Then the endpoint gets the gateway's values and the rest unchanged

  Scenario: The request of a caller that disconnects is cancelled
    When a caller disconnects while an endpoint runs its request
    Then the endpoint's connection is closed within half a second

  Scenario: A second response on a reused connection is discarded
    When two safe requests follow each other and the first is answered twice
    Then the caller gets 200 and the response is complete
    And 2 sends were made

  Scenario Outline: A gateway that has just started holds a request briefly
    When a request comes <early> s before a new gateway knows <what>
    Then the caller gets <status> after <least> to <most> s

    Examples:
      | early | what                     | status | least | most |
      | 0.3   | the routes and endpoints | 200    | 0.3   | 1.0  |
      | 0.3   | the routes alone         | 200    | 0.3   | 0.9  |
      | 0.3   | the routes and a full endpoint | 200 | 1.0 | 1.5  |
      | 0.3   | the routes, 0.4 s later an endpoint | 200 | 0.7 | 1.0 |
      | 9.0   | the routes and endpoints | 503    | 1.4   | 2.2  |
      | 9.0   | anything, within 0.6 s   | 503    | 0.2   | 0.6  |

  # Guards against a closed connection instead of a response, and against token
  # counts with which the gateway could no longer send load summaries.
  Scenario Outline: A <kind> request whose <header> is <value> gets a response
    When a <kind> request has a <header> of <value> at an endpoint that will <act>
    Then the caller gets <status> and the response is complete
    And the gateway can send a summary of its load

    Examples:
      | kind   | header        | value           | act    | status |
      | unsafe | X-Deadline-Ms | a superscript 2 | answer | 200    |
      | unsafe | X-Deadline-Ms | 20 digits       | answer | 200    |
      | unsafe | X-Deadline-Ms | 400 digits      | answer | 200    |
      | unsafe | X-Deadline-Ms | 5000 digits     | answer | 200    |
      | stream | X-Tokens      | a superscript 2 | stream | 200    |
      | stream | X-Tokens      | 20 digits       | stream | 200    |
      | stream | X-Tokens      | 400 digits      | stream | 200    |
      | stream | X-Tokens      | 5000 digits     | stream | 200    |
      | unsafe | X-Gateway-Routes-Version | 5000 digits | answer | 200 |

  # Guards against the same in a response, which kept the endpoint cold for good.
  Scenario Outline: A response whose <header> is <value> is passed on
    When a safe request meets an endpoint that answers with a <header> of <value>
    Then the caller gets 200 and the response is complete
    And the endpoint counts as cold for at most 600 s

    Examples:
      | header     | value           |
      | Keep-Alive | a superscript 2 |
      | Keep-Alive | 5000 digits     |
      | X-Cold-Ms  | a superscript 2 |
      | X-Cold-Ms  | 20 digits       |
      | X-Cold-Ms  | 400 digits      |
      | X-Cold-Ms  | 5000 digits     |

  # Guards against a gateway that never again expires or publishes load.
  Scenario: A tick that fails does not end the ticks after it
    When sending load summaries fails for two ticks
    Then the gateway logs "tick failed" and runs the ticks after it
