Feature: The fault tolerance of a replica set is computed and logged

  Scenario Outline: <voters> voters of which <silent> do not reply
    Given a set of <voters> voters
    When <silent> of them do not reply
    Then the set tolerates <tolerated> more failures

    Examples:
      | voters | silent | tolerated |
      | 1      | 0      | 0         |
      | 3      | 0      | 1         |
      | 3      | 1      | 0         |
      | 3      | 2      | -1        |
      | 4      | 0      | 1         |
      | 4      | 1      | 0         |
      | 5      | 0      | 2         |
      | 8      | 1      | 2         |

  Scenario Outline: <what> is logged with <field>
    Given three replicas of which one is replaced and two fail
    Then the replicas log "<what>" with <field>

    Examples:
      | what                | field   |
      | replica set changed | voters  |
      | replica set changed | why     |
      | replica set changed | silent  |
      | quorum lost         | silent  |
      | fault tolerance reduced | silent |
      | elected             | commit  |
      | not elected         | unanswered |

  Scenario: A voter that replies and stores no new entries counts as unavailable
    Given three replicas of which one replies and rejects all entries
    Then the replicas name that voter as lagging in "fault tolerance reduced"
    And they repeat the log line every 10 s

  Scenario Outline: A vote refused for <reason> is logged with that reason
    Given a candidate whose vote request is refused for <reason>
    Then "not elected" is logged with that reason

    Examples:
      | reason       |
      | log          |
      | term         |
      | heard_leader |

  Scenario Outline: <running> replicas of <needed> needed ones <log> an error
    Given <running> replicas that are to tolerate <losses> losses
    When the replicas have run for 20 s
    Then they <log> an error that names <running> of <needed> replicas

    Examples:
      | running | losses | needed | log       |
      | 1       | 1      | 3      | log       |
      | 3       | 2      | 5      | log       |
      | 4       | 2      | 5      | log       |
      | 3       | 1      | 3      | do not log |
      | 5       | 2      | 5      | do not log |
      | 6       | 2      | 5      | do not log |
