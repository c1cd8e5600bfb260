Feature: Requests of all gateways to a cold endpoint stay within its limit

  # Guards against crashed endpoints: each gateway sent its own share of a member
  # list, and the lists of gateways differ for seconds.
  Scenario: No second holds more requests than the limit, whatever gateways know
    Then no random history of gateways exceeds the limit of a cold endpoint

  # Guards against a limit that is kept by leaving the endpoints unused.
  Scenario Outline: <gateways> gateways with waiting requests use a limit of <limit>
    Then <gateways> gateways with waiting requests send at least 90% of <limit> and no more

    Examples:
      | gateways | limit |
      | 1        | 26    |
      | 2        | 26    |
      | 9        | 26    |
      | 90       | 26    |
      | 520      | 26    |
      | 9        | 7     |
      | 9        | 2     |

  Scenario Outline: An injected defect of the limit is detected: <defect>
    Given the defect "<defect>" in the limit of cold endpoints
    Then a random history of gateways exceeds the limit of a cold endpoint

    Examples:
      | defect                                  |
      | the current members decide              |
      | sends count for less than their transit |
      | a proof never expires                   |
      | the permission is not asked for again   |
      | a named gateway stays certain           |

  # Guards against parts that add up to more than the limit.
  Scenario Outline: A limit of <limit> is split into <parts>
    Then the senders' parts of a limit of <limit> are <parts>

    Examples:
      | limit | parts |
      | 26    | 9 9 8 |
      | 24    | 8 8 8 |
      | 2     | 1 1 0 |
      | 0     | 0 0 0 |

  # Guards against a gateway that never hears of the cold phase, and against a
  # revision for each announcement of each endpoint.
  Scenario Outline: Announcements <heard> make <published> published changes
    When a cold endpoint sends <heard>
    Then <published> changes are published and the gateway counts it as <phase>

    Examples:
      | heard                                      | published | phase         |
      | 8.0, 6.8, 5.6                              | 1         | cold for 6.1  |
      | 8.0, 6.8 0.4 late, 5.6                     | 1         | cold for 6.1  |
      | 8.0, 6.8, 0                                | 2         | warm          |
      | 0, 0, 0                                    | 1         | warm          |
      | 0, 0, 8.0                                  | 2         | cold for 8.5  |
      | 8.0, 6.8, 8.0                              | 2         | cold for 8.5  |
      | 1.0, 0, 3.0                                | 3         | cold for 3.5  |
      | 0, restart 8.0, 6.8                        | 2         | cold for 8.8  |
      | 8.0, restart 0, 0                          | 2         | cold for 8.8  |
      | 8.0, restart 8.0, 0                        | 3         | warm          |
      | 0, 8.0, older 0                            | 2         | cold for 7.3  |
      | 8.0, 0, older 6.8                          | 2         | warm          |

  # Guards against a gateway that takes all endpoints for cold because it, or the
  # leader, has just started.
  Scenario Outline: A name that is new <when> a gateway knew all is <phase>
    Then an endpoint that a gateway learns after <age> s of announcements, <when> it knew all, is <phase>

    Examples:
      | age | when   | phase |
      | 60  | after  | cold  |
      | 60  | before | warm  |
      | 2   | after  | warm  |

  Scenario Outline: A response that states <ms> ms to a gateway that counts <before> s leaves <after> s
    Then a response stating <ms> ms at <before> s left makes it <after> s

    Examples:
      | ms   | before | after |
      | 3000 | 0.0    | 3.0   |
      | 3000 | 5.0    | 5.0   |
      | 0    | 5.0    | 5.0   |
