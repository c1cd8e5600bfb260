Feature: Gateways learn which engines are slow, and only those

  # Guards against slowness that is found late or believed for long: engines are
  # slow for 5 to 7 s, so a gateway that takes longer reacts to what has passed.
  Scenario Outline: <slow> of 12 engines are <factor> times slower for 5 s, seed <seed>
    Given 12 engines in a simulation with 4 gateways, seed <seed>
    When <slow> of them are <factor> times slower from 2 s to 7 s
    Then each slow engine with load is found out within 2 s
    And no other engine counts as slow
    And from 9 s on no engine counts as slow

    Examples:
      | slow | factor | seed |
      | 4    | 3      | 1    |
      | 4    | 3      | 2    |
      | 4    | 5      | 1    |
      | 1    | 4      | 3    |

  # Guards against changes to services whose engines are equal.
  Scenario Outline: Equal engines at <load> times the load are chosen as without learning
    Given 12 engines in a simulation with 4 gateways, seed 5
    When none of them is slow, at <load> times the load
    Then no engine counts as slow and all events are as without learning

    Examples:
      | load |
      | 1    |
      | 3    |

  # Guards against load that is moved from slow engines to others as slow.
  Scenario: All engines are slow together
    Given 12 engines in a simulation with 4 gateways, seed 6
    When 12 of them are 4 times slower from 2 s to 7 s
    Then at most 6 engines count as slow at any time

  Scenario Outline: <case>
    Given 6 engines of which all are known to be sound
    When the engines' streams observe <pauses>
    Then the slowdowns are <slowdowns>

    # Pauses in multiples of a pass, 0.1 s each: engine/stream:pauses.
    Examples:
      | case                                          | pauses                     | slowdowns |
      | One long pause moves nothing                  | 1/x:1,9,1                  | none      |
      | Small differences move nothing                | 1/x:1.5,1.7,1.6            | none      |
      | Two long pauses of one stream                 | 1/x:3,3.1                  | 1=3.0     |
      | The smaller of two ratios counts              | 1/x:9,2.4                  | 1=2.5     |
      | A ratio is clipped                            | 1/x:40,50                  | 1=6.0     |
      | One stream of three moves nothing             | 1/x:1,1 1/y:1,1 1/z:4,4    | none      |
      | Two streams of three count                    | 1/x:1,1 1/y:4,4 1/z:4,4    | 1=4.0     |
      | One short pause doesn't end it                | 1/x:4,4,0.1                | 1=4.0     |
      | Two sound pauses end it                       | 1/x:4,4,1,1                | none      |
      | Half of the engines may count as slow         | 1/x:4,4 2/x:4,4 3/x:4,4    | 1=4.0 2=4.0 3=4.0 |
      | More than half: the first ones stay           | 1/x:4,4 2/x:4,4 3/x:4,4 4/x:4,4 | 1=4.0 2=4.0 |
      | All of them: none                             | 1/x:4,4 2/x:4,4 3/x:4,4 4/x:4,4 5/x:4,4 6/x:4,4 | none |

  # Guards against an engine that counts as slow for as long as it gets no work.
  Scenario Outline: <seconds> s without a reading leave <slowdown>
    Given 6 engines of which all are known to be sound
    When the engines' streams observe 1/x:4,4
    And <seconds> s pass in which the other engines are sound
    Then the slowdowns are <slowdown>

    Examples:
      | seconds | slowdown |
      | 0.7     | 1=4.0    |
      | 1.0     | 1=2.5    |
      | 1.6     | none     |

  Scenario: An engine that counted as slow needs one long pause only
    Given 6 engines of which all are known to be sound
    When the engines' streams observe 1/x:4,4
    And 1.6 s pass in which the other engines are sound
    And the engines' streams observe 1/y:4
    Then the slowdowns are 1=4.0

  # Guards against a long prompt on an engine that is tried again and still slow.
  Scenario Outline: Long prompts after <pauses>, and <then>
    Given 6 engines of which all are known to be sound
    When the engines' streams observe <pauses>
    And 1.6 s pass in which the other engines are sound
    And the engines' streams observe <then>
    Then long prompts may use <engines>

    Examples:
      | pauses                            | then        | engines     |
      | 1/x:1,1                           | 2/x:1       | 1 2 3 4 5 6 |
      | 1/x:4,4                           | 2/x:1       | 2 3 4 5 6   |
      | 1/x:4,4                           | 1/y:1,1     | 1 2 3 4 5 6 |
      | 1/x:4,4 2/x:4,4 3/x:4,4 4/x:4,4   | 5/x:1       | 1 2 3 4 5 6 |

  Scenario: A restarted engine begins with 1.0 and is not suspected
    Given 6 engines of which all are known to be sound
    When the engines' streams observe 1/x:4,4
    And engine 1 restarts
    And the engines' streams observe 1/y:4
    Then the slowdowns are none

  # Guards against queueing that is taken for slowness, and against slowness that
  # goes unnoticed since prompts are always pending on a busy engine.
  Scenario Outline: A pause of <pause> passes beside <pending> s of prefill is <sample>
    Given an engine with a stream and prompts of <pending> s of prefill, <when>
    When the stream's next event comes after <pause> passes
    Then the sample is <sample>

    Examples:
      | pending | when                    | pause | sample |
      | 0       | pending                 | 1     | sound  |
      | 0       | pending                 | 3     | slow   |
      | 0.3     | pending                 | 3.5   | none   |
      | 0.3     | sent during the pause   | 3.5   | none   |
      | 0.3     | pending, ended meanwhile | 3.5  | none   |
      | 0.3     | pending                 | 1.5   | sound  |
      | 0.1     | pending                 | 6     | slow   |
      | 1.5     | pending                 | 20    | none   |

  # Guards against a retry storm: a slow engine takes longer to prefill what is
  # known to be pending there, and its streams must not fail over for that.
  Scenario Outline: The known prefill of an engine <slowdown> times slower lasts <left> s
    Given an engine with a stream and prompts of 0.3 s of prefill, pending
    When its slowdown is <slowdown>
    Then a gateway expects <left> s of prefill there

    Examples:
      | slowdown | left |
      | 1.0      | 0.3  |
      | 4.0      | 1.2  |

  # Guards against mixed fleets that break: builds of both kinds run side by side.
  Scenario: Summaries are exchanged with builds that know no slowdown
    Given a summary with a slowdown, the time of a call and a failed call
    Then this build reads all of them
    And a build without these fields reads the work in it
    And this build reads a summary of such a build
