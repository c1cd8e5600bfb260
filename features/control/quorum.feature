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
      | quorum lost         | missing |
