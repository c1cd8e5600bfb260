Feature: An entry with an outdated configuration sends no final refusal

  # Guards against a refusal by an outdated configuration that a caller takes
  # for final.
  Scenario Outline: A request with <fault> to an entry whose configuration is <state>
    Given an entry whose configuration is <state>
    When a caller sends it a request with <fault>
    Then it is refused with <status> as <code>

    Examples:
      | fault              | state    | status | code            |
      | an unknown key     | current  | 401    | unauthorized    |
      | an unknown service | current  | 404    | unknown_service |
      | a body too large   | current  | 413    | too_large       |
      | an unknown key     | outdated | 503    | entry_fenced    |
      | an unknown service | outdated | 503    | entry_fenced    |
      | a body too large   | outdated | 503    | entry_fenced    |
