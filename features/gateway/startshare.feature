Feature: Gateways that start together do not overload the first engines

  Scenario Outline: <gateways> gateways know <slots> batch slots after a start
    Then each of <gateways> gateways that know <slots> batch slots sends <prompts>

    Examples:
      | gateways | slots  | prompts |
      | 1        | 40     | 40      |
      | 9        | 112    | 6       |
      | 38       | 60     | 1       |
      | 38       | 290    | 3       |
      | 38       | 560    | 7       |

  Scenario Outline: Prompts held by 38 gateways while <known> of 112 engines are known
    Given 38 gateways that hold 4 short prompts each and do not exchange load
    When they send prompts to <known> engines
    Then at most <queued> in 100 prompts are sent to a full engine
    And at least <sent> prompts were sent

    Examples:
      | known | queued | sent |
      | 12    | 15     | 30   |
      | 40    | 5      | 70   |
      | 80    | 5      | 140  |
