Feature: Whether a request may be sent to another endpoint

  Scenario Outline: A <kind> request with <attempts> attempts after <outcomes>
    When a <kind> request with <attempts> attempts had the outcomes <outcomes>
    Then it may be sent again: <again>

    Examples:
      | kind   | attempts | outcomes                           | again |
      | safe   | 2        | fault                              | yes   |
      | safe   | 2        | fault, fault                       | no    |
      | safe   | 2        | fault, lost                        | no    |
      | safe   | 1        | fault                              | no    |
      | safe   | 1        | lost                               | no    |
      | safe   | 2        | not_run, fault                     | yes   |
      | safe   | 2        | not_run, not_run, not_run          | yes   |
      | safe   | 2        | not_run, not_run, not_run, not_run | no    |
      | safe   | 2        | no_memory                          | yes   |
      | unsafe | 2        | not_run                            | yes   |
      | unsafe | 2        | fault                              | no    |
      | unsafe | 2        | not_run, lost                      | no    |
