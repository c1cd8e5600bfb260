Feature: The simulated batch engine has the latencies of real engines

  Scenario Outline: Time to first event of <tokens> tokens in <parts> parts on an idle engine
    Given an engine with <parts> parts of a prompt of <tokens> tokens to prefill
    Then its first event is sent after <least> to <most> s

    Examples:
      | tokens    | parts | least | most |
      | 5000      | 1     | 0.05  | 0.10 |
      | 45000     | 1     | 0.27  | 0.36 |
      | 210000    | 1     | 2.8   | 3.05 |
      | 210000    | 4     | 0.7   | 0.85 |
      | 450000    | 1     | 10.9  | 11.5 |

  Scenario Outline: Prefill of <tokens> tokens delays the events of a concurrent stream
    Given an engine that decodes a stream and receives a prompt of <tokens> tokens
    Then the stream's longest gap between events is <least> to <most> s

    Examples:
      | tokens | least | most |
      | 5000   | 0.06  | 0.10 |
      | 45000  | 0.25  | 0.36 |
      | 210000 | 1.2   | 1.6  |

  Scenario: Parts of split prompts for other engines are prefilled first
    Given an engine that prefills a prompt of 45000 tokens
    When a part of another prompt arrives
    Then the part is prefilled first

  Scenario: A request waits for a slot while the batch is full
    Given an engine whose batch is full of streams
    When one more request arrives
    Then its first event is sent after one of the streams has ended
