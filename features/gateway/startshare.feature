Feature: Gateways that start at once do not pile prompts on the first engines

  Scenario Outline: <gateways> gateways know <places> places after a start
    Then each of <gateways> gateways that know <places> places sends <prompts>

    Examples:
      | gateways | places | prompts |
      | 1        | 40     | 40      |
      | 9        | 112    | 6       |
      | 38       | 60     | 1       |
      | 38       | 290    | 3       |
      | 38       | 560    | 7       |

  Scenario Outline: What was held by 38 gateways while <known> of 112 engines are known
    Given 38 gateways that hold 4 short prompts each and hear nothing of others
    When they let prompts go to <known> engines
    Then at most <queued> in 100 prompts meet a full engine
    And at least <sent> prompts were let go

    Examples:
      | known | queued | sent |
      | 12    | 15     | 30   |
      | 40    | 5      | 70   |
      | 80    | 5      | 140  |
