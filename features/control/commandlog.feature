Feature: Commands in the replicated log

  Scenario Outline: A <what> comes back as it was
    Then a <what> of <routes> routes comes back, in at most <bytes> bytes

    Examples:
      | what    | routes | bytes  |
      | version | 3      | 4095   |
      | version | 300    | 40000  |

  Scenario Outline: <bytes> are refused and break nothing
    Then the log's bytes <bytes> are no command

    Examples:
      | bytes            |
      | x\x9cnot zlib    |
      | x                |
      | \x92\xa3abc\xc0  |

  Scenario: A command that an earlier program wrote without compression is read
    Then a version of 300 routes that was not compressed is read
