Feature: Every configuration gets a clear response from every control process

  # Guards against control processes that end on an integer beyond 64 bits: a
  # version of 20 digits ended each process that it was sent to, leading or not.
  Scenario: Integers of any size are acknowledged, stored and returned
    Given 3 replicas and 1 relay that know the zones "za zb"
    Then each process acknowledges and returns configurations with these values
      | path                           | value                          |
      | version                        | 18446744073709551616           |
      | version                        | 20261204165645668157           |
      | routes.0.priority              | 18446744073709551616           |
      | routes.0.priority              | -9223372036854775809           |
      | routes.0.attempts              | 1000000000000000000000000000000 |
      | routes.0.trafficSplit.0.weight | 18446744073709551616           |
      | services.0.connectionLimit     | 18446744073709551616           |
      | services.0.engine.slots        | 18446744073709551616           |
      | limits.headerBytes             | 18446744073709551616           |
      | tenants.0.priority             | 18446744073709551616           |
    And no control process has ended
    And the newest configuration is returned after all processes were killed

  # Guards against a 500, after which callers send the document again.
  Scenario: Documents that cannot be read in full are refused
    Given 3 replicas and 1 relay that know the zones "za zb"
    Then each process refuses these documents with 400 and the words cannot be read
      | document                  |
      | nested 100000 deep        |
      | with a version of 5000 digits |
      | with half of a surrogate pair |
      | of bytes that are no text |
    And no control process has ended
