Feature: Whether a request may go on to another endpoint

  Scenario Outline: A <kind> request for <attempts> endpoints after <outcomes>
    When a <kind> request for <attempts> endpoints has come to <outcomes>
    Then it may go on: <on>

    Examples:
      | kind   | attempts | outcomes                           | on  |
      | safe   | 2        | fault                              | yes |
      | safe   | 2        | fault, fault                       | no  |
      | safe   | 2        | fault, lost                        | no  |
      | safe   | 1        | fault                              | no  |
      | safe   | 1        | lost                               | no  |
      | safe   | 2        | not_run, fault                     | yes |
      | safe   | 2        | not_run, not_run, not_run          | yes |
      | safe   | 2        | not_run, not_run, not_run, not_run | no  |
      | safe   | 2        | no_memory                          | yes |
      | unsafe | 2        | not_run                            | yes |
      | unsafe | 2        | fault                              | no  |
      | unsafe | 2        | not_run, lost                      | no  |
