Feature: A program's listener is open before its libraries are imported

  Scenario: Callers that connect while the program starts are queued
    Given settings that enable the early listener
    When a caller connects before the program's event loop runs
    Then the program accepts the connection at the same address

  Scenario Outline: No early listener is opened for <fault>
    Given settings with <fault>
    Then no listener is opened early

    Examples:
      | fault                          |
      | no early listener              |
      | no address                     |
      | an invalid address             |
      | an address in use              |
      | a truncated file               |
      | a list in place of an object   |

  Scenario: The first scrape includes the samples recorded before it
    When 3 samples are recorded before the first scrape and 2 after it
    Then the histogram counts 3, then 5
