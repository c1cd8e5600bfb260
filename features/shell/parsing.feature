Feature: Invalid requests are refused with a typed error that names the fault

  Scenario Outline: Header <header> with value <value>
    When a request has header <header> set to <value>
    Then it is refused with code "<code>" and a message that contains "<words>"

    Examples:
      | header                  | value      | code            | words                    |
      | Idempotency-Key         | abc        | key_without_age | must start with unix     |
      | X-Colts-Deadline-S      | soon       | bad_request     | must be a number         |
      | X-Colts-Deadline-S      | -1         | bad_request     | must be above 0          |
      | X-Colts-Deadline-S      | inf        | bad_request     | must be above 0          |
      | X-Colts-Priority        | 11         | bad_request     | must be 0 to 9           |
      | X-Colts-Non-Idempotent  | maybe      | bad_request     | must be true or false    |

  Scenario Outline: The body <body>
    When a completion request has body <body>
    Then it is refused with code "<code>" and a message that contains "<words>"

    Examples:
      | body                                              | code        | words                       |
      | [1]                                               | bad_request | not a JSON object           |
      | {"prompt": "x"}                                   | bad_request | field model                 |
      | {"model": "m"}                                    | bad_request | field prompt                |
      | {"model": "m", "prompt": "x", "max_tokens": 0}    | bad_request | field max_tokens is 0       |
      | {"model": "m", "prompt": "x", "stream": 1}        | bad_request | field stream is 1           |
      | {"model": "m", "prompt": "\ud800 x"}             | bad_request | not a JSON object           |
      | {"model": "m", "prompt": "x", "temperature": NaN} | bad_request | not a JSON object           |

  # Guards against texts that no message between processes can hold, which failed
  # a call after it was accepted.
  Scenario Outline: A body of <text> is no document of an operator
    Then the body <text> is refused as a document

    Examples:
      | text                      |
      | [1]                       |
      | {"workspace": "\ud800 x"} |
      | {"body_bytes": Infinity}  |
      | {"a": "\xff"}             |

  # Guards against an exception instead of a response.
  Scenario Outline: The version <text> in a header is <number>
    Then the version <text> in a header is <number>

    Examples:
      | text             | number |
      | "7"              | 7      |
      | 12               | 12     |
      | *                | none   |
      | a superscript 2  | none   |
      | 5000 digits      | none   |

  Scenario Outline: The idempotency key <key> shows its age
    Then the time in key <key> is <seconds>

    Examples:
      | key                                  | seconds    |
      | 1796235759-demo                      | 1796235759 |
      | 0192f3a0-0000-7000-8000-000000000000 | 1730664202 |
