Feature: Control processes without a disk refer to the leader and store nothing

  Scenario Outline: <relays> of the seeds have no disk
    Given <replicas> replicas and <relays> relays in separate processes
    Then each process accepts a version within 10 s and forwards it to the leader
    And the version is read back through each process
    And each relay shows operators the version and the leader

    Examples: the relays come first in the order of the seeds, then last
      | replicas | relays | 
      | 3        | 0      |
      | 3        | 1      |
      | 3        | 2      |

  Scenario: A relay without a leader keeps running
    Given 0 replicas and 1 relays in separate processes
    Then the relay names no leader and exits with status 0 when stopped
