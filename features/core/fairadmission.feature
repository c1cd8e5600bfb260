Feature: Workspaces share scarce engine time

  Demand is a share of the time of 60 engines; 1 is all of it. Twelve gateways
  decide. Each scenario names its load; the bounds are what callers need.

  Scenario Outline: Nothing is refused while capacity suffices: <load>
    Given demand of <load>
    When it is served for 30 s
    Then nothing is refused

    Examples:
      | load                                        |
      | a: 0.4 short, b: 0.2 long                   |
      | a: 0.7 short                                |
      | a: 0.6 long, b: 0.1 short                   |
      | a: 0.8 short in swings of 2 s, b: 0.2 short |

  Scenario Outline: A workspace with nine tenths of a demand of <all> leaves others their share
    # Guards against first-come first-served, where the large one makes all late.
    Given demand of hot: <hot> short, a: <other> short, b: <other> short, c: <other> short, d: <other> short
    When it is served for 30 s
    Then workspaces a, b, c, d are each served 95 in 100 and on time 85 in 100
    And no workspace is served less than half as often as the mean

    Examples:
      | all | hot  | other |
      | 1.2 | 1.08 | 0.03  |
      | 2.0 | 1.8  | 0.05  |
      | 4.0 | 3.6  | 0.1   |

  Scenario Outline: Short and long prompts alternate: <load>
    # Guards against long prompts that starve, or that make a burst late.
    Given demand of <load>
    When it is served for 30 s
    Then no kind is served less than half as often as the mean
    And long prompts are served 60 in 100
    And workspace c is on time 80 in 100

    Examples: a burst on top of long prompts, and the reverse
      | load                                                                |
      | a: 0.6 long until 12 s, b: 0.8 short from 10 s, c: 0.1 short        |
      | a: 0.8 short until 12 s, b: 0.8 long from 10 s, c: 0.1 short        |
      | a: 1.5 short in swings of 20 s, b: 0.4 long, c: 0.1 short           |

  Scenario: One hot session does not starve the others of its workspace
    Given demand of a: 1.0 short in session hot, a: 0.05 short in session s1, a: 0.05 short in session s2, b: 0.3 short
    When it is served for 30 s
    Then no session is served less than half as often as the mean
    And workspaces b are each served 95 in 100 and on time 85 in 100

  Scenario: Callers gain nothing by retrying at once
    Given demand of a: 0.8 short, a: 0.8 short at once, b: 0.2 short
    When it is served for 30 s
    Then callers that retry at once are served no more often than others

  Scenario: Callers that leave free their workspace's share
    Given demand of a: 0.6 short, b: 0.8 short leaving
    When it is served for 30 s
    Then workspace a is served 80 in 100
    And no workspace is served less than half as often as the mean

  Scenario: A fifth of the engines is lost under load
    Given demand of a: 0.8 short, b: 0.15 short
    And a fifth of the engines is lost at 10 s
    When it is served for 30 s
    Then workspaces b are each served 95 in 100 and on time 85 in 100
    And no workspace is served less than half as often as the mean

  Scenario Outline: A load that swings each <period> s does not switch the decision
    # Guards against a threshold without hysteresis, which follows each swing.
    Given demand of a: 1.6 short in swings of <period> s, b: 0.2 short
    When it is served for 30 s
    Then no gateway changes between scarce and ample more than 3 times

    Examples:
      | period |
      | 1      |
      | 2      |
      | 4      |

  Scenario: A workspace's higher priority takes precedence
    Given demand of a: 0.8 short, b: 0.8 short
    And workspace a has priority 0 and b has priority 9
    When it is served for 30 s
    Then workspace a is served 80 in 100
    And no workspace is served less than half as often as the mean

  Scenario: A gateway without news of the others refuses only what is too late
    Given demand of hot: 1.8 short, a: 0.2 short
    And no gateway hears of another
    When it is served for 30 s
    Then nothing is refused for fairness

  Scenario: Retry delays are spread and at most a third of the remaining time
    Then any delay is at most a third of the remaining time and above 0
    And 200 delays of 2 s differ, and none is above a tenth of them twice

  Scenario: The level grants all usage that fits, else the whole capacity
    Then water levels of arbitrary usage fit into the capacity

  Scenario: Load changes carry a workspace that earlier builds ignore
    Then a change without a workspace is encoded as before
    And an earlier build decodes a change with a workspace

  Scenario: A gateway refuses a prompt above its workspace's share before sending it
    Given a gateway whose callers' workspace used all of its engines' time
    When a prompt with 3 s left arrives there
    Then it gets 429 as not run, with a retry delay of at most 1 s
    And its endpoint saw no request, and the state dump names the refusal

  Scenario: A retry is due, early, or unknown, also at another gateway
    Then a refused request is early before its time, due after it, and forgotten later
    And an equal request with another deadline counts as a first try
    And the ledger and its messages stay bounded
