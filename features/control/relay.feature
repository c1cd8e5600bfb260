Feature: Control on VMs without a disk shows the way and keeps nothing

  Scenario Outline: <relays> of the seeds have no disk
    Given <replicas> replicas and <relays> relays in processes of their own
    Then a version is taken within 10 s by way of each of them
    And it is read back by way of each of them
    And each relay shows operators the version and who leads

    Examples: the relays come first in the order of the seeds, then last
      | replicas | relays | 
      | 3        | 0      |
      | 3        | 1      |
      | 3        | 2      |

  Scenario: A relay without anybody to relay to keeps running
    Given 0 replicas and 1 relays in processes of their own
    Then the relay names no leader and ends well when told to stop
