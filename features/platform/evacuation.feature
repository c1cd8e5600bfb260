Feature: Control processes accept orders to evacuate a zone

  # Guards against calls that only the leader acknowledges, and against a settings
  # file, command or path that does not fit the others.
  Scenario: Orders are accepted by every process and shown to operators
    Given 3 replicas and 1 relay that know the zones "za zb"
    Then each process acknowledges an order for "za" and a withdrawal, twice each
    And each process refuses an order for "zc" with 404, naming "za, zb"
    And colts-ctl sets, lists and withdraws an order for "zb"
    And colts-ctl refuses an order for "zc" with exit code 1
    And the metrics and the dump of a replica show the order

  # Guards against a call that outlasts the second after which it is resent.
  Scenario: Without a quorum, calls are refused within 0.9 s
    Given 3 replicas and 1 relay that know the zones "za zb"
    When all replicas but the leader are frozen
    Then an order for "za" is refused with 503 within 0.95 s by the leader and the relay
    And it is acknowledged within 5 s once they run again

  Scenario Outline: The zones <zones> in the settings are <names>
    Then the zones <zones> in the settings are <names>

    Examples:
      | zones                             | names   |
      | ["za", "zb"]                      | za zb   |
      | {"za": {"machines": 9}, "zb": {}} | za zb   |
      | [{"name": "za"}, {"name": "zb"}]  | za zb   |
      | []                                | none    |
      | "za"                              | refused |
      | [1]                               | refused |
      | [{}]                              | refused |
