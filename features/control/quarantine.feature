Feature: Replicas store the quarantine of requests that crash endpoints

  Background:
    Given three replicas

  Scenario: Reports of several gateways become one entry at every replica
    When three gateways report a crash each of the same request
    Then every replica holds 1 entry with 3 crashes
    And the leader publishes it

  Scenario Outline: An entry survives <loss>
    Given an entry of three crashes
    When <loss> happens
    Then every replica holds 1 entry with 3 crashes
    And the leader publishes it

    Examples:
      | loss                             |
      | the loss of the leader           |
      | a cold restart of all replicas   |
      | a snapshot and a cold restart    |
      | the loss of a disk               |

  # Guards against a new entry from crashes that already led to an ended entry.
  Scenario Outline: An entry that was <ended> is not added again for old crashes
    Given an entry of three crashes
    When it is <ended> and another crash is reported
    Then every replica holds <left> entries
    And the first entry is not among them

    Examples:
      | ended                       | left |
      | ended by a trial            | 0    |
      | evicted by 64 later entries | 64   |

  # Guards against losing an answer that arrives while the entry is replicated:
  # a harmless request was refused for 60 s although it had been answered.
  Scenario Outline: A complete answer that is reported <when> ends the entry
    Given an entry of three crashes that is <state>
    When an answer of it is reported
    Then every replica holds 0 entries

    Examples:
      | when                                | state             |
      | after the entry was added           | applied           |
      | while the entry is being replicated | not yet replicated |

  Scenario: An answer of another request does not end the entry
    Given an entry of three crashes
    When an answer of another request is reported
    Then every replica holds 1 entry with 3 crashes

  Scenario: An answer does not end an entry of an operator
    Given an entry of an operator
    When an answer of it is reported
    Then every replica holds 1 entry with 0 crashes

  Scenario: Crashes known only to a lost leader are reported again
    When two crashes are reported and the leader is lost
    And gateways report to the new leader again, and a third crash
    Then every replica holds 1 entry with 3 crashes

  Scenario: An entry that a full disk prevented is added at the next report
    When the third crash is reported while the leader's disk is full
    And the disk has space again and the reports are repeated
    Then every replica holds 1 entry with 3 crashes

  Scenario: Of two concurrent requests for the same trial one is granted
    Given an entry of three crashes
    When two gateways request a trial 61 s later
    Then one of them is granted it
    And the next trial is due 120 s after it

  Scenario Outline: A report with <fault> adds no entry and breaks no replica
    When a report with <fault> arrives three times
    Then every replica holds 0 entries

    Examples:
      | fault              |
      | a negative age     |
      | an age of a year   |
      | no suspects        |
      | one crash only     |

  Scenario: A workspace with many poison requests evicts only its own entries
    When 100 requests of one workspace and one of another are put in quarantine
    Then every replica holds 65 entries
    And the other workspace's entry is among them

  Scenario: A snapshot from before the quarantine existed is loaded
    When a snapshot without a quarantine is loaded
    Then the state holds no entries
