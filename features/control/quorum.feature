Feature: What a set of replicas bears is known and logged

  Scenario Outline: <voters> voters of which <silent> do not answer
    Given a set of <voters> voters
    When <silent> of them do not answer
    Then the set bears <bears> more losses

    Examples:
      | voters | silent | bears |
      | 1      | 0      | 0     |
      | 3      | 0      | 1     |
      | 3      | 1      | 0     |
      | 3      | 2      | -1    |
      | 4      | 0      | 1     |
      | 4      | 1      | 0     |
      | 5      | 0      | 2     |
      | 8      | 1      | 2     |

  Scenario Outline: <what> is logged with <field>
    Given three replicas of which one is replaced and two are lost
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

  Scenario: A voter that responds and stores nothing more does not count
    Given three replicas of which one responds and takes no entries
    Then the replicas log "fault tolerance reduced" naming it as lagging
    And they log it again each 10 s

  Scenario Outline: A vote that is refused for <reason> is logged with that reason
    Given a replica that seeks votes, and one refuses for <reason>
    Then "not elected" gives that reason

    Examples:
      | reason       |
      | log          |
      | term         |
      | heard_leader |
