Feature: Long prompts are read where they make no short stream late

  Scenario: A long prompt goes to the engines where nobody writes
    Given engines that write 4 4 4 4 0 0 0 0 short streams
    When a long prompt is placed
    Then no short stream pauses for longer than its aim
    And its first event is predicted within 3 s

  Scenario: A medium prompt among writers is read in parts that fit a pause
    Given engines that write 3 3 3 3 3 3 short streams
    When a 45k prompt is placed
    Then no short stream pauses for longer than its aim
    And its first event is predicted within 1.5 s

  Scenario: Short streams gather, so that other engines stay free
    Given engines that write 3 0 0 0 short streams
    When a short prompt is placed
    Then it goes to e0

  Scenario: A full batch takes no further short stream
    Given engines that write 8 0 short streams
    When a short prompt is placed
    Then it goes to e1

  Scenario Outline: The last place of a batch is left to nobody, if another is free
    Given engines that write <writing> short streams
    When a short prompt is placed
    Then it goes to <engine>

    Examples: an idle engine is kept for long prompts rather than a last place
      | writing | engine |
      | 7 3 7   | e1     |
      | 7 7 6   | e2     |
      | 7 0 8   | e0     |

  Scenario Outline: <gateways> gateways that hear of each other late
    Given the load "<load>" of seeds 0 and 1 at <gateways> gateways
    Then callers gain within 0.01 of what they gain from one that knows all

    Examples:
      | load       | gateways |
      | large      | 38       |
      | large-back | 38       |

  Scenario: A prompt above one engine's memory is held by several
    Given engines that write 2 2 0 0 0 0 short streams
    When a million prompt is placed
    Then the memory of the prompt is held whole by tickets and first engine

  Scenario: Prompts at one engine are read one after the other
    Given an engine that was sent 3 prompts of 210000 tokens 2 s ago
    Then it will read for 6 to 7 s more

  Scenario: A prompt that writes already is read no longer
    Given an engine whose 2 prompts of 210000 tokens write
    Then it will read for 0 to 0 s more

  Scenario: A prompt over the batch waits until another has ended
    Given engines that write 10 0 short streams
    When a short prompt is placed
    Then it goes to e1
    And an engine with 10 streams answers later than one with 7 by 0.7 s

  Scenario Outline: At a full engine those that can be on time go first
    Then a request of aim <aim> s that waited <waited> s ranks <rank>

    Examples:
      | aim | waited | rank |
      | 0.3 | 0.0    | 1    |
      | 0.3 | 0.3    | 4    |
      | 1.5 | 0.3    | 2    |
      | 3.0 | 0.3    | 3    |
      | 3.0 | 3.0    | 4    |

  Scenario Outline: An answer that will begin soon is not paused by more reading
    Given an engine that reads a prompt whose pauses may last <gap> s
    Then reading for <extra> s more loses <lost>

    Examples:
      | gap | extra | lost  |
      | 0.8 | 0.2   | 0     |
      | 0.8 | 0.9   | 22    |
      | 0.2 | 0.2   | 22    |

  Scenario Outline: Who is late already does not stand before who is not
    Given an engine with <writing> streams and <late> that are late and wait
    Then a short prompt's first event is predicted <when> its aim

    Examples:
      | writing | late | when   |
      | 7       | 0    | within |
      | 7       | 20   | within |
      | 8       | 0    | after  |

  Scenario Outline: A short prompt is sent away when a queue makes it late
    When a <size> prompt that <state> is predicted after <predicted> s
    And <waiting> late requests wait at 100 places
    Then the short prompt is <verdict>

    Examples:
      | size   | state               | predicted | waiting | verdict   |
      | 5000   | comes first         | 0.2       | 50      | sent      |
      | 5000   | comes first         | 0.5       | 15      | sent      |
      | 5000   | comes first         | 0.5       | 16      | sent away |
      | 5000   | comes back          | 0.5       | 30      | sent      |
      | 5000   | comes back          | 0.5       | 31      | sent away |
      | 210000 | comes first         | 9.0       | 50      | sent      |

  Scenario Outline: What a mix that swings between lengths gains
    Given the load "<load>" of seeds 0 and 1
    Then callers gain at least <whole> of the whole and <short> of short ones

    Examples:
      | load       | whole | short |
      | small      | 0.93  | 0.93  |
      | grown-back | 0.93  | 0.92  |
      | grown-lost | 0.86  | 0.85  |
      | small-busy | 0.62  | 0.55  |
