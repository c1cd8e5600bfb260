Feature: Enough control processes with a disk are deployed

  # A zone runs control on a share of its machines, rounded up, from the first
  # one on. The first machines of each zone have the disks; only processes with
  # a disk vote. If too few vote, no configuration is ever accepted.

  Scenario Outline: Zones of <machines> machines, <disks> with a disk, tolerate <losses> losses
    When control is deployed on zones of <machines> machines of which <disks> have a disk
    Then <voters> replicas vote and <relays> processes only relay
    And the voters <suffice> to tolerate <losses> losses

    Examples:
      | machines          | disks     | losses | voters | relays | suffice       |
      | 3 2 4             | 1 1 1     | 1      | 3      | 0      | suffice       |
      | 4 3 3             | 1 1 1     | 1      | 3      | 0      | suffice       |
      | 10 9 10           | 2 2 2     | 2      | 6      | 0      | suffice       |
      | 10 10 10          | 2 2 2     | 2      | 6      | 0      | suffice       |
      | 18 21 24          | 2 2 2     | 2      | 6      | 3      | suffice       |
      | 30 28 27          | 2 2 2     | 2      | 6      | 6      | suffice       |
      | 32 31 29          | 2 2 2     | 2      | 6      | 6      | suffice       |
      | 26 26 21 23       | 2 2 2 2   | 2      | 8      | 4      | suffice       |
      | 38 47 36 41 38    | 1 1 1 1 1 | 2      | 5      | 21     | suffice       |
      | 100 100 100       | 2 2 2     | 2      | 6      | 30     | suffice       |
      | 8 8 8             | 2 2 2     | 2      | 3      | 0      | do not suffice |
      | 8 8 8 8           | 2 2 2 2   | 2      | 4      | 0      | do not suffice |
      | 10 10 10          | 1 1 1     | 2      | 3      | 3      | do not suffice |
