Feature: A program's listener is open before its libraries are imported

  Scenario: Callers that come while the program starts wait in the queue
    Given settings that ask for an early listener
    When a caller connects before the program's loop runs
    Then the program takes the connection over at the same address

  Scenario Outline: <fault> is left to the later checks
    Given settings with <fault>
    Then opening the listener early changes nothing

    Examples:
      | fault                      |
      | no early listener          |
      | no address                 |
      | an address that is none    |
      | an address in use          |
      | half a file                |
      | a list in place of settings |

  Scenario: Metrics that are pulled late tell of all samples
    When 3 samples are taken before the metrics are pulled and 2 after
    Then the histogram counts 3, then 5
