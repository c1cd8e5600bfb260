Feature: Length bands adapt to the arrivals

  Scenario Outline: The short band ends at the clamped 0.8 quantile
    Given 256 arrivals of <short> tokens and <long_count> of <long> tokens
    Then the upper limit of the short band is <border>
    And a prompt of <tokens> tokens is in band <band>

    Examples:
      | short | long_count | long   | border | tokens | band |
      | 1500  | 0          | 1      | 2048   | 1500   | 0    |
      | 1500  | 20         | 900000 | 2048   | 900000 | 3    |
      | 6000  | 0          | 1      | 8192   | 6000   | 0    |
      | 90000 | 0          | 1      | 16384  | 90000  | 1    |
