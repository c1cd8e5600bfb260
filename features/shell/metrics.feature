Feature: Metrics are served whatever values they have

  # Guards against a scrape without the metric, as the exporter fails on integers
  # beyond the range of floats, such as a version of 400 digits.
  Scenario Outline: A gauge of <value> is served as <number>
    Then a gauge whose value is <value> is served as <number>

    Examples:
      | value      | number                  |
      | 7          | 7.0                     |
      | 20 digits  | 7.777777777777777e+19   |
      | 400 digits | 1.7976931348623157e+308 |
