Feature: Long prompts are prefilled where they delay no short stream

  Scenario: A long prompt goes to the engines without decoding streams
    Given engines that decode 4 4 4 4 0 0 0 0 short streams
    When a long prompt is placed
    Then no short stream pauses for longer than its gap target
    And its first event is predicted within 3 s

  Scenario: A medium prompt on decoding engines is prefilled within the gap target
    Given engines that decode 3 3 3 3 3 3 short streams
    When a 45k prompt is placed
    Then no short stream pauses for longer than its gap target
    And its first event is predicted within 1.5 s

  Scenario: Short streams share engines, so that other engines stay free
    Given engines that decode 3 0 0 0 short streams
    When a short prompt is placed
    Then it goes to e0

  Scenario: A full batch takes no further short stream
    Given engines that decode 8 0 short streams
    When a short prompt is placed
    Then it goes to e1

  Scenario Outline: The last slot of a batch stays free if another engine has a free slot
    Given engines that decode <writing> short streams
    When a short prompt is placed
    Then it goes to <engine>

    Examples: an idle engine is kept for long prompts rather than a last slot
      | writing | engine |
      | 7 3 7   | e1     |
      | 7 7 6   | e2     |
      | 7 0 8   | e0     |

  Scenario Outline: <gateways> gateways that learn of each other's work late
    Given the load "<load>" of seeds 0 and 1 at <gateways> gateways
    Then the gain is within 0.01 of the gain with one gateway that knows all work

    Examples:
      | load       | gateways |
      | large      | 38       |
      | large-back | 38       |

  Scenario: A prompt that exceeds one engine's memory is held by several
    Given engines that decode 2 2 0 0 0 0 short streams
    When a million prompt is placed
    Then reservations and the lead engine hold all memory of the prompt

  Scenario: Prompts at one engine are prefilled one after the other
    Given an engine that was sent 3 prompts of 210000 tokens 2 s ago
    Then its remaining prefill takes 6 to 7 s

  Scenario: A prompt that is decoding needs no more prefill
    Given an engine whose 2 prompts of 210000 tokens are decoding
    Then its remaining prefill takes 0 to 0 s

  Scenario: A prompt beyond the batch slots waits until a stream has ended
    Given engines that decode 10 0 short streams
    When a short prompt is placed
    Then it goes to e1
    And the first event at 10 streams is at least 0.7 s later than at 7

  Scenario Outline: At a full engine, requests that can meet their target go first
    Then a request with target <target> s that waited <waited> s ranks <rank>

    Examples:
      | target | waited | rank |
      | 0.3    | 0.0    | 1    |
      | 0.3    | 0.3    | 4    |
      | 1.5    | 0.3    | 2    |
      | 3.0    | 0.3    | 3    |
      | 3.0    | 3.0    | 4    |

  Scenario Outline: Further prefill beyond the gap target of a prompt counts as a loss
    Given an engine that prefills a prompt with a gap target of <gap> s
    Then further prefill of <extra> s loses a value of <lost>

    Examples:
      | gap | extra | lost  |
      | 0.8 | 0.2   | 0     |
      | 0.8 | 0.9   | 22    |
      | 0.2 | 0.2   | 22    |

  Scenario Outline: Late requests do not delay requests that can meet their target
    Given an engine with <writing> streams and <late> queued late requests
    Then a short prompt's first event is predicted <when> its target

    Examples:
      | writing | late | when   |
      | 7       | 0    | within |
      | 7       | 20   | within |
      | 8       | 0    | after  |

  Scenario Outline: A short prompt is shed when a queue makes it late
    When a prompt of <size> tokens on its <attempt> is predicted after <predicted> s
    And <waiting> late requests wait for 100 batch slots
    Then the prompt is <verdict>

    Examples:
      | size   | attempt       | predicted | waiting | verdict |
      | 5000   | first attempt | 0.2       | 50      | sent    |
      | 5000   | first attempt | 0.5       | 15      | sent    |
      | 5000   | first attempt | 0.5       | 16      | shed    |
      | 5000   | retry         | 0.5       | 30      | sent    |
      | 5000   | retry         | 0.5       | 31      | shed    |
      | 210000 | first attempt | 9.0       | 50      | sent    |

  Scenario Outline: Gain with a mix whose prompt lengths vary over time
    Given the load "<load>" of seeds 0 and 1
    Then the gain is at least <whole> overall and <short> for short prompts

    Examples:
      | load       | whole | short |
      | small      | 0.93  | 0.93  |
      | grown-back | 0.93  | 0.92  |
      | grown-lost | 0.86  | 0.85  |
      | small-busy | 0.62  | 0.55  |
