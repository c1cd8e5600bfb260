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
