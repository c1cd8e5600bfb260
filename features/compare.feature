Feature: Versions are compared on the same days and seeds

  Scenario: Differences are paired by day and seed, and the worst one is named
    Given scores of two versions
      | site  | case      | old | new  |
      | north | north:a:1 | 0.7 | 0.78 |
      | north | north:a:2 | 0.6 | 0.7  |
      | south | south:b:1 | 0.9 | 0.8  |
    When the versions are compared
    Then the differences are
      | site  | count | base | mean  | worst     |
      | north | 2     | 0.65 | +0.09 | north:a:1 |
      | south | 1     | 0.9  | -0.1  | south:b:1 |
      | all   | 3     | 0.73 | +0.03 | south:b:1 |

  Scenario: A case that one version did not complete is left out
    Given scores of two versions
      | site  | case      | old | new  |
      | north | north:a:1 | 0.7 | none |
      | north | north:a:2 | 0.6 | 0.7  |
    When the versions are compared
    Then the differences are
      | site  | count | base | mean | worst     |
      | north | 1     | 0.6  | +0.1 | north:a:2 |
      | all   | 1     | 0.6  | +0.1 | north:a:2 |

  Scenario: Runs of different days are not compared
    Given scores of two versions
      | site  | case      | old  | new  |
      | north | north:a:1 | 0.7  | none |
      | north | north:b:1 | none | 0.7  |
    When the versions are compared
    Then the comparison is rejected

  Scenario: An interrupted comparison continues, a failed run is reported
    Given a command that scores "0.5" for seed 1 and fails for seed 2
    When it is compared twice over seeds 1 and 2
    Then it ran once for each seed
    And the result of seed 1 is 0.5 and that of seed 2 names the failure
