Feature: A caller that has its response can read it again

  # Guards against "in progress" for a resend after the first response.
  Scenario Outline: The control plane stores an outcome <stored>, <left> s are left
    Given an entry whose control plane stores outcomes <stored>
    When a claimed call <ends> with <left> s left
    Then the caller gets the end of the response after <at> s

    Examples:
      | stored       | ends         | left | at  |
      | after 0.05 s | is answered  | 10   | 0.05 |
      | after 0.05 s | fails        | 10   | 0.05 |
      | after 5 s    | is answered  | 10   | 0.3 |
      | never        | is answered  | 10   | 0.3 |
      | never        | is answered  | 0.2  | 0.1 |
      | never        | is answered  | 0    | 0   |

  Scenario: A call without a claim is answered
    Given an entry whose control plane stores outcomes never
    When an unclaimed call is answered
    Then the caller gets the end of the response after 0 s
