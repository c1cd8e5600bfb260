Feature: Each mechanism can be taken out of a copy, to measure its worth

  Scenario: All changes fit the code as it is
    Then each ablation changes a copy, and the copy still compiles
