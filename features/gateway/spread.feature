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
