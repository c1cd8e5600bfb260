Feature: Replays of recorded traces have the expected outcomes

  Scenario Outline: <trace> under <policy>
    When the trace "<trace>" is replayed under <policy>
    Then its expected outcomes are met

    Examples:
      | trace                        | policy           |
      | engine-dies                  | short_slowdown   |
      | engine-slow                  | ttft_all_lengths |
      | engine-leaves                | short_slowdown   |
      | entry-dies-in-a-charge       | short_slowdown   |
      | charge-resent                | ttft_all_lengths |
      | entry-isolated               | short_slowdown   |
      | control-restarts             | short_slowdown   |
      | entry-restarts-after-changes | ttft_all_lengths |
      | entry-drains                 | short_slowdown   |
      | all-together                 | short_slowdown   |
      | lavared-month-end            | short_slowdown   |

  Scenario: An expected outcome that is not met is reported
    When the trace "lavared-month-end" expects a slowdown of at most 1.1 for round_robin
    Then replaying it reports "short_slowdown_p95 is"

  Scenario Outline: The invalid trace line <line> is refused
    When a trace contains the line <line>
    Then reading it fails with "line 2" and "<words>"

    Examples:
      | line                                     | words                        |
      | {"kind": "wish"}                         | must be one of               |
      | {"kind": "request", "at": "x", "id": "a"} | 'x' is not of type float    |
      | {"kind": "request", "at": 1}             | id                           |
      | not json                                 | is not JSON                  |
