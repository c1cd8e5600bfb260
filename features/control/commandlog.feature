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
      | \xc1              |
      | \xc1\x92\xa3abc\xc0 |
      | \xc1\x92\xa9PutRoutes\xd4\x05\x01 |

  Scenario: An uncompressed command of an earlier release is decoded
    Then an uncompressed version of 300 routes is decoded

  # Guards against an exception where a version is stored or sent: it ended the
  # process, and again after each restart.
  Scenario Outline: Integers beyond 64 bits are decoded unchanged from <form>
    Then a version with integers beyond 64 bits is decoded unchanged from <form>

    Examples:
      | form                     |
      | a log entry              |
      | a call of a replica      |
      | a request of a gateway   |
      | a response to a gateway  |
      | a delta to a gateway     |
      | a snapshot               |

  # Guards against an entry that no replica can read, which would end each of them
  # after each restart.
  Scenario Outline: A command <fault> is refused and not logged
    Then packing a command <fault> returns the error <code>

    Examples:
      | fault                      | code        |
      | with half a surrogate pair | bad_request |
      | above the size of entries  | too_large   |
