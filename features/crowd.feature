@exclusive
Feature: Clients that do not behave end no process

  # Each crowd offers several times the memory of the VM; most of its clients
  # stop before the end of their request and stay open.

  Scenario Outline: Crowds at the listener for <listener> of a <program>
    Given the listener for <listener> of a <program>
    When crowds send each kind of large and incomplete request
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | program    | listener  |
      | gateway    | callers   |
      | gateway    | readiness |
      | gateway    | directory |
      | gateway    | metrics   |
      | replica    | admin     |
      | replica    | platform  |
      | relay      | admin     |
      | relay      | platform  |
      | entry      | callers   |
      | entry      | admin     |
      | standalone | callers   |
      | standalone | admin     |

  # Guards against connections that use up the descriptors: the process then
  # accepts no others, and opens none to endpoints and replicas.

  Scenario Outline: <count> clients of the listener for <listener> of a <program> send <what>
    Given 256 descriptors at most and the listener for <listener> of a <program>
    When <count> clients send <what> and stay open
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | program    | listener  | count | what                           |
      | gateway    | callers   | 300   | short bodies without their end |
      | gateway    | callers   | 300   | headers without their end      |
      | gateway    | callers   | 300   | nothing                        |
      | gateway    | readiness | 300   | short bodies without their end |
      | gateway    | directory | 300   | nothing                        |
      | gateway    | metrics   | 300   | headers without their end      |
      | replica    | admin     | 300   | short bodies without their end |
      | replica    | platform  | 300   | short bodies without their end |
      | relay      | admin     | 300   | headers without their end      |
      | relay      | platform  | 300   | nothing                        |
      | entry      | callers   | 300   | short bodies without their end |
      | entry      | admin     | 300   | nothing                        |
      | standalone | callers   | 300   | headers without their end      |
      | standalone | admin     | 300   | short bodies without their end |

  # Guards against unfinished messages of clients that reach the listeners for
  # gateways, entries and replicas.

  Scenario Outline: Unfinished messages at the gRPC listener of a <program>
    Given the listener for admin of a <program>
    When 20 clients send messages of 32 MB to the gRPC listener without the last byte
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | program |
      | replica |
      | relay   |
      | entry   |

  Scenario Outline: <count> clients of the gRPC listener of a <program> send <what>
    Given 256 descriptors at most and the listener for admin of a <program>
    When <count> clients of the gRPC listener send <what> and stay open
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | program | count | what                           |
      | replica | 300   | nothing                        |
      | replica | 300   | short bodies without their end |
      | relay   | 300   | headers without their end      |
      | entry   | 300   | nothing                        |

  # Guards against clients that stop and keep others from being parsed.

  Scenario Outline: <count> clients of a gateway send <what> beside a large request
    Given the listener for callers of a gateway
    When <count> clients send <what> and stay open
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | count | what                            |
      | 20    | long headers without their end  |
      | 20    | chunks without their first line |
      | 20    | bytes behind a slow request     |

  # Guards against small chunks whose parsing keeps the event loop from all
  # others, so that even the routes of a gateway are no longer proved current.

  Scenario Outline: <count> clients of the listener for <listener> of a <program> send <size> KB in chunks of 1 byte
    Given the listener for <listener> of a <program>
    When <count> clients send bodies of <size> KB in chunks of 1 byte
    Then the process runs, stays within its memory and descriptors, and answers an ordinary request each time

    Examples:
      | program | listener | count | size |
      | gateway | callers  | 150   | 120  |
