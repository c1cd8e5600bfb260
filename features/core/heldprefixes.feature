Feature: Engines that still hold the beginning of a prompt are preferred while it pays

  # One engine holds the beginning; the other engines are idle. A prompt has
  # 5,000 tokens of its own. Guards against both ignoring the saving and paying
  # more in wait than it saves.
  Scenario Outline: The saved prefill is weighed against the wait: <case>
    Given 20 engines that retain prompts, one of which holds 20000 tokens
    And the holder has <streams> streams and <pending> pending prompts of 20000 tokens
    When a prompt with the held beginning is placed
    Then <engine> is chosen

    Examples:
      | case             | streams | pending | engine         |
      | holder idle      | 0       | 0       | the holder     |
      | holder decoding  | 2       | 0       | the holder     |
      | busy by seconds  | 0       | 20      | another engine |
      | batch full       | 6       | 0       | another engine |

  Scenario Outline: A saving of <held> tokens against a wait of <pending> ms
    Given 20 engines that retain prompts, one of which holds <held> tokens
    And the holder prefills for another <pending> ms
    When a prompt with the held beginning is placed
    Then <engine> is chosen

    Examples:
      | held  | pending | engine         |
      | 2000  | 0       | the holder     |
      | 2000  | 100     | another engine |
      | 20000 | 50      | the holder     |
      | 20000 | 400     | another engine |
      | 60000 | 100     | the holder     |
      | 60000 | 1000    | another engine |

  Scenario: The holder is compared among many engines
    Given 1000 engines that retain prompts, one of which holds 20000 tokens
    When 50 prompts with the held beginning are placed one after the other
    Then the holder is chosen for each

  Scenario Outline: A holder that must not be used is not: <state>
    Given 1000 engines that retain prompts, one of which holds 20000 tokens
    And the holder is <state>
    When a prompt with the held beginning is placed
    Then another engine is chosen

    Examples:
      | state     |
      | ejected   |
      | expired   |
      | avoided   |
      | restarted |
      | evacuated |

  # Guards against counting parts that the engine no longer holds.
  Scenario Outline: Held tokens after parts of <stored> and <event>
    Given an engine that prefilled parts of <stored> tokens
    When <event>
    Then <held> of the tokens of <asked> count as held

    Examples:
      | stored          | event                                   | asked           | held  |
      | 100 2000 20000  | the held parts are looked up at once                         | 100 2000 20000  | 22100 |
      | 100 2000 20000  | the held parts are looked up at once                         | 100 2000        | 2100  |
      | 100 2000 20000  | the held parts are looked up at once                         | 2000 20000      | 0     |
      | 100 2000 20000  | the engine that prefilled them restarts                             | 100 2000 20000  | 0     |
      | 100 2000 20000  | 299 s pass after the prefill                              | 100 2000 20000  | 22100 |
      | 100 2000 20000  | 301 s pass after the prefill                              | 100 2000 20000  | 0     |
      | 100 2000 20000  | work leaves memory for 22100 tokens     | 100 2000 20000  | 22100 |
      | 100 2000 20000  | work leaves memory for 22099 tokens     | 100 2000 20000  | 2100  |
      | 100 2000 20000  | work leaves memory for 0 tokens         | 100 2000 20000  | 0     |
      | 100 2000 20000  | work leaves memory for -50 tokens       | 100 2000 20000  | 0     |
      | 100 2000 20000  | a first event comes as late as in full  | 100 2000 20000  | 0     |
      | 100 2000 20000  | a first event comes a little earlier    | 100 2000 20000  | 22100 |
      | 100 2000 20000  | another workspace asks                  | 100 2000 20000  | 0     |

  Scenario: The oldest prompt is dropped first when memory runs short
    Given an engine that prefilled parts of 100 2000 tokens
    When it prefills parts of 300 4000 tokens a second later
    And work leaves memory for 4300 tokens
    Then 0 of the tokens of 100 2000 count as held
    And 4300 of the tokens of 300 4000 count as held

  Scenario: The memory of the estimate is bounded, whatever is recorded
    When 2000 engines record 200 prompts of 16 parts each
    Then at most 512 engines and 64 parts of each are kept, and sums agree

  # Guards against a hot prefix that keeps all its load on one engine.
  Scenario: A hot prefix gets further holders
    Given 20 engines that retain prompts, one of which holds 20000 tokens
    When 40 prompts with the held beginning arrive within 200 ms
    Then at least 2 engines hold it, and none has more than 6 of the prompts

  Scenario: Prompts that are split use nothing
    Given 20 engines that retain prompts, one of which holds 100 tokens
    When a prompt of 300000 tokens with the held beginning is placed
    Then it is split and saves nothing

  Scenario Outline: Where engines retain nothing, choices with seed <seed> are the same
    Then 200 choices with seed <seed> are equal with and without an empty estimate

    Examples:
      | seed |
      | 1    |
      | 7    |

  Scenario Outline: A choice of <tokens> tokens costs at most 1.2 times with prefixes
    Given 1000 engines that retain prompts, all of which hold 2000 tokens
    Then calls per choice of <tokens> tokens grow at most 1.2 times

    Examples:
      | tokens |
      | 5000   |
      | 45000  |

  # Guards against an estimate of what no engine prefilled as a whole, and
  # against drawing suspects of crashes to the engines of others.
  Scenario Outline: What one request records: <state>, <end>
    Given a request to an engine that retains prompts
    And as to the request, <state>
    When it is sent and <end> after <delay> ms
    Then the engine counts as a holder of <tokens> tokens

    Examples:
      | state                               | end                                        | delay | tokens |
      | nothing is special                  | its first event arrives                    | 100   | 20000  |
      | nothing is special                  | its first event arrives                    | 900   | 20000  |
      | nothing is special                  | the engine restarts before its first event | 100   | 0      |
      | nothing is special                  | fails, and another gateway's stream begins | 100   | 0      |
      | its content is suspected of crashes | its first event arrives                    | 100   | 0      |
      | it runs as a trial                  | its first event arrives                    | 100   | 0      |
      | it is split                         | its first event arrives                    | 100   | 0      |
      | its stream is resumed               | its first event arrives                    | 100   | 0      |
      | its service retains nothing         | its first event arrives                    | 100   | 0      |
      | a saving of 100 ms was predicted    | its first event arrives                    | 120   | 20000  |
      | a saving of 100 ms was predicted    | its first event arrives                    | 200   | 0      |

  Scenario Outline: The parts that a header states: <header>
    Then the header <header> of a prompt of 1000 tokens states <parts>

    Examples:
      | header               | parts   |
      | a:10,b:20,own:5      | 10 20   |
      | own:5                | nothing |
      | none                 | nothing |
      | a:10,b,c:30,own:5    | 10      |
      | a:10,b:-3,c:30,own:5 | 10      |
      | a:10,b:0,c:30,own:5  | 10      |
      | a:10,b:991,own:5     | 10      |
      | a:123456789,own:5    | nothing |
