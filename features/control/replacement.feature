Feature: A replica set regains its fault tolerance soon after failures

  Guards against the loss of the quorum, and with it of acknowledged changes,
  when a replica fails soon after another one was replaced. Gateways that start
  without a quorum refuse nearly all requests.

  The failure: a VM is replaced by an empty one at another address. If its voter
  has been unresponsive for only a second or two when the new replica is
  promoted, it keeps its vote for ten more seconds, counted again by each new
  leader. The set then has four voters of which one has failed, and the loss of
  another disk leaves two of four, which is no quorum. The first rows below
  reproduce it.

  Time is virtual. An operator sends a change every 0.8 s, based on the version of
  the leader. A replica on a new or wiped disk starts 1.5 s after its VM.

  Scenario: After each history the replica set has its full fault tolerance
    Then after each of these histories the replica set has its full fault tolerance
      | tolerates | history                                                                            |
      | 1         | follower gone; 1.5 s; d added; 2.5 s; leader wiped                                 |
      | 1         | follower gone; 1.5 s; d added; 2.5 s; follower wiped                               |
      | 1         | leader gone; 1.5 s; d added; 2.5 s; leader wiped                                   |
      | 1         | leader gone; 1.5 s; d added; 4 s; leader restarted; 4 s; follower wiped            |
      | 1         | d added; 3 s; follower gone; 2.5 s; leader wiped                                   |
      | 1         | d added; 3 s; leader gone; 2.5 s; follower wiped                                   |
      | 1         | follower gone; 1.2 s; d added; 0.3 s; leader frozen for 3 s; 5.5 s; leader wiped   |
      | 1         | follower gone; 1 s; leader restarted; 0.5 s; d added; 2.5 s; follower wiped        |
      | 1         | follower gone; 1 s; all restarted for 1.5 s; 0.5 s; d added; 3.5 s; leader wiped   |
      | 1         | follower gone; 1.5 s; d added; 0.7 s; all restarted for 1.5 s; 4 s; leader wiped   |
      | 1         | leader gone; 1.5 s; d added; 2.5 s; leader gone; 1.5 s; e added; 2.5 s; leader wiped |
      | 1         | a frozen for 6 s; 1.5 s; d added; 8 s; leader wiped                                |
      | 1         | d added; 3 s; a frozen for 15 s; 18 s; leader wiped                                |
      | 1         | follower wiped for 0.5 s; 3 s; leader wiped; 4 s; follower wiped                   |
      | 1         | follower restarted for 1.5 s; follower restarted for 1.5 s; leader wiped for 1.5 s       |
      | 1         | leader gone; 1.5 s; d added; 2.5 s; follower restarted for 1.5 s; follower restarted for 1.5 s; leader wiped for 1.5 s |
      | 1         | leader gone; 1.5 s; d added; 2.5 s; follower wiped for 1.5 s; follower restarted for 1.5 s; leader restarted for 1.5 s |
      | 1         | follower gone; 1.4 s; d added; 6.6 s; leader gone; 1.4 s; e added; 13 s; leader wiped; 10 s; follower gone; 1.4 s; f added; 7 s; follower restarted; 8 s; all restarted for 1.5 s |
      | 1         | leader gone; 1.4 s; d added; 7 s; leader restarted; 8 s; leader wiped; 9.5 s; follower gone; 1.4 s; e added; 7 s; follower restarted; 8 s; all restarted for 1.5 s |
      | 2         | follower gone; leader gone; 1.5 s; f added; g added; 2.5 s; follower wiped; leader wiped |
      | 2         | f added; 3 s; follower gone; 2.5 s; follower wiped; leader wiped                   |

  Scenario: The set recovers from lost disks while all other VMs restart
    Then after each of these histories the replica set has its full fault tolerance
      | tolerates | history                                                                                     |
      | 1         | leader wiped for 1.5 s; rest restarted for 1.5 s                                            |
      | 1         | follower wiped for 0.5 s; rest restarted for 3 s                                            |
      | 1         | follower wiped for 4 s; rest restarted for 0.5 s                                            |
      | 1         | follower gone; 1.5 s; d added; 2.5 s; leader wiped for 1.5 s; rest restarted for 1.5 s      |
      | 1         | leader gone; 1.5 s; d added; 2.5 s; d wiped for 1.5 s; rest restarted for 1.5 s             |
      | 1         | d added; 3 s; leader stopped; 0.6 s; leader wiped for 1.5 s; rest restarted for 1.5 s       |
      | 1         | leader gone; 1.5 s; d added; 4 s; leader restarted; 4 s; follower wiped; rest restarted     |
      | 2         | follower wiped for 1.5 s; leader wiped for 1.5 s; rest restarted for 1.5 s                  |
      | 2         | follower gone; leader gone; 1.5 s; f added; g added; 2.5 s; f wiped; g wiped; rest restarted |

  # Guards against an old leader that becomes a follower and is never brought up to
  # date.
  Scenario: A burst of changes at a leader that is cut off leaves a complete set
    Then after each of these histories the replica set has its full fault tolerance
      | tolerates | history                                                                              |
      | 1         | all storm for 6 s; leader cut for 3 s; 8 s                                           |
      | 1         | all storm for 6 s; leader cut for 3 s; 8 s; leader wiped                             |
      | 1         | all storm for 6 s; leader cut for 3 s; 8 s; follower wiped                           |
      | 1         | all storm for 6 s; leader cut for 3 s; 5.5 s; leader restarted; 4 s; leader wiped    |
      | 1         | all storm for 9 s; leader cut for 2 s; 4.5 s; leader cut for 2 s; 6 s; leader wiped  |
      | 1         | all storm for 5 s; leader cut for 4 s; 7 s; leader cut for 3 s; 6 s; leader wiped    |
      | 1         | all storm for 6 s; leader frozen for 3 s; 8 s; leader wiped                          |
      | 2         | all storm for 6 s; leader cut for 3 s; follower wiped; 8 s; follower wiped; leader wiped |

  Scenario: A replica counts again after its disk was full
    Then after each of these histories the replica set has its full fault tolerance
      | tolerates | history                                                              |
      | 1         | follower full for 3 s; 5.5 s; leader wiped                           |
      | 1         | leader full for 3 s; 7 s; leader wiped                               |
      | 1         | all storm for 6 s; follower full for 3 s; 5.5 s; leader wiped        |
      | 1         | all storm for 6 s; leader full for 3 s; 7 s; follower wiped          |

  Scenario: Every mutant of the log repair is detected
    Then each mutant of the log repair fails a check that holds without it

  Scenario: The set has its full fault tolerance after 200 random histories
    Then after each of 200 random histories the replica set has its full fault tolerance

  Scenario: The set recovers from generated histories of all kinds of failures, one or two at once
    Then after each of 200 generated histories the replica set has its full fault tolerance

  Scenario: Every mutant of the membership changes is detected
    Then each mutant of the membership changes fails one of these histories
      | tolerates | history                                              |
      | 1         | d added; 3 s; follower gone; 2.5 s; leader wiped     |
      | 1         | follower gone; 1.5 s; d added; 2.5 s; leader wiped   |
      | 1         | d added; 3 s; a frozen for 15 s; 18 s; leader wiped  |

  # Guards against a learner that is removed before its first reply.
  Scenario Outline: A learner whose first reply takes <after> s is promoted by a leader of <age> s
    Given a leader that has led for <age> s and a replica that has failed
    When a new replica asks to join and its messages are lost for <after> s
    Then it is a voter within <most> s and was not removed before

    Examples:
      | age | after | most |
      | 12  | 0.05  | 1.0  |
      | 12  | 0.3   | 1.5  |
      | 40  | 0.3   | 1.5  |
      | 40  | 2.0   | 3.5  |

  Scenario: A replica that is stopped leaves a complete set before it exits
    Then after each of these histories the replica set has its full fault tolerance
      | tolerates | history                                                              |
      | 1         | d added; 3 s; follower stopped; 0.6 s; leader wiped                  |
      | 1         | d added; 3 s; leader stopped; 0.6 s; follower wiped                  |
      | 1         | d added; 3 s; leader stopped; 0.6 s; leader wiped                    |
      | 2         | f added; 3 s; leader stopped; 0.6 s; follower wiped; leader wiped    |

  Scenario: A leader that is stopped transfers its leadership
    Then in 20 runs of "leader stopped" there is no leader for at most 0.15 s
