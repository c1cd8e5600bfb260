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

  Scenario Outline: The idempotency key <key> shows its age
    Then the time in key <key> is <seconds>

    Examples:
      | key                                  | seconds    |
      | 1796235759-demo                      | 1796235759 |
      | 0192f3a0-0000-7000-8000-000000000000 | 1730664202 |
