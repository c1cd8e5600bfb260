Feature: A stream fails over from an endpoint that is silent, not from a busy one

  # Pattern: in a swing of long prompts, engines that decode short streams prefill
  # parts of one to three seconds. Failing all of their streams over when a part
  # ends repeats the prefill on engines that are as busy.
  Scenario Outline: A stream behind a prefill of <prefill> s, checked each 0.2 s
    Given a stream whose endpoint may be silent for 1 s without prefill
    When its engine gets a prefill of <prefill> s and <then>
    Then the stream fails over after <least> to <most> s of silence

    Examples:
      | prefill | then                            | least | most |
      | 0       | sends nothing                   | 1.0   | 1.2  |
      | 0.5     | sends nothing                   | 1.5   | 1.7  |
      | 1.3     | sends nothing                   | 2.3   | 4.1  |
      | 2.5     | sends nothing                   | 3.5   | 7.7  |
      | 1.3     | sends an event 0.1 s after it   | never | never |
      | 2.5     | sends an event 0.1 s after it   | never | never |
      | 1.3     | gets a second one when it ends  | 3.6   | 5.4  |
