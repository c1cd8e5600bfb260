Feature: Bytes without end stop neither a gateway nor its memory

  # Guards against heads, bodies and events that fill the memory, and against a
  # faulty endpoint that is taken for sound or for crashed.
  Scenario Outline: A <kind> request gets <fault> without end
    When a <kind> request gets <fault> without end
    Then it ends with <status> after <failed> failed sends, <held> KB held and <read> KB read at most

    Examples: an idempotent call is sent to another endpoint
      | kind | fault        | status | failed | held  | read  |
      | safe | header-line  | 200    | 1      | 700   | 200   |
      | safe | header-lines | 200    | 1      | 700   | 200   |
      | safe | status-line  | 200    | 1      | 700   | 200   |
      | safe | 1xx          | 200    | 1      | 700   | 200   |
      | safe | chunks       | 200    | 1      | 20000 | 17000 |
      | safe | chunk-line   | 200    | 1      | 700   | 200   |
      | safe | trailers     | 200    | 1      | 700   | 200   |
      | safe | unframed     | 200    | 1      | 20000 | 17000 |
      | safe | huge-length  | 200    | 1      | 700   | 200   |
      | safe | error        | 200    | 1      | 2500  | 1500  |
      | safe | refusal      | 200    | 1      | 2500  | 1500  |
      | safe | unsigned     | 200    | 1      | 700   | 200   |
      | safe | extra        | 200    | 0      | 700   | 400   |

    Examples: a call that must not run twice is not sent again
      | kind   | fault        | status | failed | held  | read  |
      | unsafe | header-line  | 502    | 1      | 700   | 200   |
      | unsafe | header-lines | 502    | 1      | 700   | 200   |
      | unsafe | 1xx          | 502    | 1      | 700   | 200   |
      | unsafe | chunks       | 502    | 1      | 20000 | 17000 |
      | unsafe | unframed     | 502    | 1      | 20000 | 17000 |
      | unsafe | error        | 502    | 1      | 2500  | 1500  |
      | unsafe | refusal      | 502    | 1      | 2500  | 1500  |
      | unsafe | unsigned     | 502    | 1      | 700   | 200   |
      | unsafe | extra        | 200    | 0      | 700   | 400   |

    Examples: a stream goes on at another endpoint
      | kind   | fault        | status | failed | held  | read  |
      | stream | header-line  | 200    | 1      | 700   | 200   |
      | stream | header-lines | 200    | 1      | 700   | 200   |
      | stream | 1xx          | 200    | 1      | 700   | 200   |
      | stream | event        | 200    | 1      | 2500  | 1500  |
      | stream | lines        | 200    | 1      | 2500  | 1500  |
      | stream | unframed     | 200    | 1      | 2500  | 1500  |
      | stream | error        | 200    | 1      | 2500  | 1500  |
      | stream | chunk-line   | 200    | 1      | 700   | 200   |

  # Guards against memory requests that read whatever an engine sends.
  Scenario Outline: A request for memory gets <fault> without end
    Then a request for memory that gets <fault> without end is not granted

    Examples:
      | fault        |
      | header-line  |
      | header-lines |
      | 1xx          |
      | chunks       |
      | tiny-chunks  |
      | unframed     |

  # Guards against a probe that reads.
  Scenario: An endpoint that sends without end is probed
    Then a probe of an endpoint that sends without end reads nothing

  # Guards against limits below what sound endpoints send.
  Scenario Outline: A sound <kind> request with a <large>
    Then a sound <kind> request with a <large> gets all bytes

    Examples:
      | kind   | large       |
      | safe   | large-body  |
      | unsafe | large-body  |
      | stream | large-event |

  # Guards against an endpoint that takes the event loop from all callers.
  Scenario Outline: Other requests while an endpoint sends without end
    Then <faults> add no pause above 50 ms to other requests

    Examples:
      | faults                                            |
      | safe/header-line, safe/header-lines, safe/1xx     |
      | safe/chunks, safe/unframed                        |
      | safe/tiny-chunks                                  |
      | stream/event, stream/lines, stream/error          |
      | stream/blank-lines                                |

  # Guards against searching the buffer again for each chunk: 18 MB took 9.1 s.
  Scenario Outline: <size> KB of <content> in chunks of <chunk> bytes
    Then <size> KB of <content> in chunks of <chunk> bytes are searched at most <times> times

    Examples:
      | size  | content              | chunk | times |
      | 64    | an event without end | 1     | 4.1   |
      | 64    | an event without end | 1024  | 1.1   |
      | 1024  | an event without end | 1024  | 1.1   |
      | 18432 | an event without end | 65536 | 1.1   |
      | 18432 | an event without end | 1024  | 1.1   |
      | 1024  | small events         | 65536 | 1.1   |
      | 1024  | small events         | 1000  | 1.1   |
      | 1024  | blank lines          | 65536 | 1.6   |
      | 1024  | carriage returns     | 65536 | 1.6   |

  Scenario Outline: An event of <size> bytes with a limit of <limit>
    Then an event of <size> bytes <verdict> with a limit of <limit>

    Examples:
      | size | limit | verdict    |
      | 100  | 100   | passes     |
      | 101  | 100   | is refused |
      | 5000 | 100   | is refused |

  # Guards against closing callers that are not the cause.
  Scenario Outline: Callers hold <holdings> bytes of <limit>
    When callers hold <holdings> of <limit> bytes
    Then <closed> are closed in this order

    Examples: unread bytes and bytes of the request of each caller
      | holdings                | limit | closed |
      | a 50 0, b 50 0          | 100   | none   |
      | a 50 0, b 60 0          | 100   | b      |
      | a 40 0, b 60 0, c 50 0  | 60    | b, c   |
      | a 10 0, b 30 0, c 0 70  | 100   | b      |
      | a 10 0, b 0 90, c 0 110 | 100   | c      |

  # Guards against closing requests that run, or have just arrived, for others
  # that have stopped.
  Scenario Outline: Requests hold <holdings> of <limit>
    When requests hold <holdings> of <limit> bytes
    Then <closed> are closed in this order

    Examples: stage, bytes and seconds without progress of each request
      | holdings                                               | limit | closed |
      | a receiving 50 9, b serving 50 9                       | 100   | none   |
      | a receiving 40 9, b receiving 60 0, c serving 50 9     | 130   | a      |
      | a receiving 40 0, b receiving 60 0, c serving 50 9     | 130   | b      |
      | a receiving 1 9, b receiving 60 9, c serving 90 9      | 100   | b      |
      | a receiving 10 9, b serving 70 0, c serving 80 0       | 100   | c      |
      | a idle 30 5, b receiving 10 5, c serving 90 9          | 100   | a      |

  Scenario Outline: Connections with <memory> MB and <descriptors> descriptors
    Then <memory> MB and <descriptors> descriptors allow <clients> connections of clients and <peers> of peers

    Examples:
      | memory | descriptors | clients | peers |
      | 200    | 4100        | 813     | 1025  |
      | 300    | 4100        | 1220    | 1025  |
      | 24000  | 4100        | 2050    | 1025  |
      | 200    | 256         | 128     | 64    |
      | 1      | 2           | 1       | 1     |

  # Guards against responses of many callers that fill the memory.
  Scenario: Callers that do not read
    Given a gateway that may hold 32 MB for callers
    Then of 6 callers that read no response of 12 MB at least 2 are closed and others are served

  # Guards against an endpoint that counts as silent as its caller does not read.
  Scenario: A caller of a stream pauses
    Then a stream whose caller does not read for 2.5 s is not sent again

  # Guards against announcements that fill the memory of a control process.
  Scenario Outline: An announcement with <fault>
    Then an announcement with <fault> to a control process gets <answer>

    Examples:
      | fault                     | answer                |
      | a header line without end | a closed connection   |
      | header lines without end  | a closed connection   |
      | a body without end        | a closed connection   |
      | a body of 65 KB           | a closed connection   |
      | a body of 60 KB           | refused as unreadable |
