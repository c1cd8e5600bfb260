Feature: Encoding of commands in the replicated log

  Scenario Outline: A <what> of <routes> routes is encoded and decoded unchanged
    Then a <what> of <routes> routes is decoded unchanged from at most <bytes> bytes

    Examples:
      | what    | routes | bytes  |
      | version | 3      | 4095   |
      | version | 300    | 40000  |

  Scenario Outline: The bytes <bytes> are refused without an exception
    Then decoding the log entry <bytes> returns an error

    Examples:
      | bytes            |
      | x\x9cnot zlib    |
      | x                |
      | \x92\xa3abc\xc0  |

  Scenario: An uncompressed command of an earlier release is decoded
    Then an uncompressed version of 300 routes is decoded
