Feature: Each program of a test gets ports of its own

  # Guards against two programs with the same port: a port that was allocated,
  # but on which no program listens yet, was allocated again.
  Scenario: Ports that are allocated in succession differ
    When 40 ports are allocated, few at a time, from a range of 50
    Then all of them differ

  Scenario: Ports are reused once most of the range has been allocated
    When 120 ports are allocated, few at a time, from a range of 50
    Then each of them is one of the 50
