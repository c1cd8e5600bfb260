Feature: The queue is fair by tokens and does not starve long prompts

  Scenario: A workspace of long prompts gets no more tokens than another
    Given "big" queues 10 prompts of 1000 tokens and "small" 100 of 100
    When 2000 tokens are dispatched
    Then "big" and "small" have received equal tokens within 1000

  Scenario: A weight of three gets three times the tokens
    Given "big" queues 50 prompts of 100 tokens and "small" 50 of 100
    When 2000 tokens are dispatched with weights 3 and 1
    Then "big" has received about 3 times the tokens of "small"

  Scenario: Long prompts are dispatched while short prompts keep arriving
    Given 1 long prompt of 4000 tokens and 40 short prompts of 1000 are queued
    Then the long prompt is dispatched after 16 short prompts

  Scenario Outline: Priority <priority> scales the weight by <factor>
    Then priority <priority> scales a weight by <factor>

    Examples:
      | priority | factor |
      | 5        | 1.0    |
      | 3        | 2.25   |
      | 9        | 0.1975 |
