Feature: Configuration is validated, and errors name the key

  Scenario Outline: <document> is rejected
    When the configuration <document> is parsed
    Then it is refused with a message that contains "<words>"

    Examples:
      | document                                      | words                                  |
      | {"services": {"a": {"kind": "wheel"}}}        | config.services['a'].kind              |
      | {"services": {"a": {"max_queue": 0}}}         | max_queue is 0, must be above 0        |
      | {"services": {"a": {"max_queue": "7"}}}       | '7' is not of type int                 |
      | {"services": {"a": {"colour": 1}}}            | colour                                 |
      | {"workspaces": {"w": {"services": ["x"]}}}    | config.workspaces.w.services names 'x' |
      | {"workspaces": {"w": {"key_sha256": ["zz"]}}} | must be 64 hex digits                  |
      | {"workspaces": {"w": {"priority": 12}}}       | priority                               |

  Scenario Outline: A merge patch changes <target> to <result>
    When <patch> is merged into <target>
    Then the document is <result>

    Examples:
      | target          | patch              | result           |
      | {"a": 1}        | {"b": 2}           | {"a": 1, "b": 2} |
      | {"a": {"b": 1}} | {"a": {"b": null}} | {"a": {}}        |
      | {"a": {"b": 1}} | {"a": [1]}         | {"a": [1]}       |
      | {"a": 1}        | {"a": {"b": 1}}    | {"a": {"b": 1}}  |
