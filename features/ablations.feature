Feature: Each mechanism can be removed from a copy to measure its effect

  Scenario: All changes of the ablations fit the current code
    Then each ablation changes a copy of the code, which still compiles
