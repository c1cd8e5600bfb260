Feature: Crashes are attributed to the request that causes them

  # Times are seconds: a request is sent, and an endpoint crashes with it.
  Scenario Outline: <pattern>
    When crashes are reported as in "<pattern>"
    Then convicted are: <convicted>

    Examples: a request that crashes each endpoint that runs it
      | pattern                                             | convicted   |
      | poison crashes three endpoints in a row             | poison      |
      | poison crashes two endpoints                        | nothing     |
      | poison is reported by a gateway for each crash      | poison      |
      | poison runs beside other requests each time         | poison      |
      | poison crashes five, a bystander follows it         | poison      |
      | two poison requests take turns                      | poison also |
      | poison writes output before each of six crashes     | poison      |
      | two poison requests run together, then each alone   | poison also |

    Examples: what does not convict
      | pattern                                             | convicted |
      | one crash is reported by five gateways              | nothing   |
      | one crash is reported five times                    | nothing   |
      | a rack ends under a popular request                 | nothing   |
      | a bystander follows poison to three endpoints       | nothing   |
      | a request is answered between its crashes           | nothing   |
      | a popular stream that writes meets five crashes     | nothing   |
      | a popular stream that wrote once meets five crashes | nothing   |
      | an old report comes after the request was answered  | nothing   |
      | three crashes are spread over more than the window  | nothing   |
      | three poison requests take turns under a popular one | nothing  |

  # Guards against a report that another observer of the crash never sends.
  Scenario: One crash of many without another suspect convicts no popular request
    When 8 endpoints crash under three poison requests in turn and a popular stream
    And one more under the popular request, which an observer has missed
    Then convicted are: nothing

  # Guards against a popular request that is in flight at crashes of requests
  # that are convicted one after the other.
  Scenario: Seven crashes of which poison explains some convict no popular request
    When 7 endpoints crash under three poison requests in turn and a popular request
    And the first of the poison requests is convicted
    Then convicted are: nothing

  # Guards against a popular request whose crash another observer explains.
  Scenario Outline: A crash that only <first> have reported
    When two endpoints crash under poison and a popular request
    And a third one does, reported by <first>, then <gap> s later by <then>
    Then convicted are: <convicted>

    Examples:
      | first        | gap  | then         | convicted |
      | popular      | 0.01 | poison       | nothing   |
      | poison       | 0.01 | popular      | nothing   |
      | poison       | 0.01 | nobody       | nothing   |
      | popular      | 0.2  | nobody       | popular   |
      | poison       | 0.2  | nobody       | poison    |

  # Guards against crashes that copies of a convicted request cause.
  Scenario Outline: A crash that was first reported <gap> s ago, after a conviction
    When poison is convicted and a popular request is in flight at four of its crashes
    And another endpoint crashes under the popular request, reported <gap> s ago
    Then convicted are: <convicted>

    Examples:
      | gap  | convicted      |
      | 0.01 | poison         |
      | 0.2  | poison popular |

  Scenario: Crashes that poison explains convict no bystander of them
    When poison is convicted and a bystander was in flight at two of its crashes
    And the bystander meets another crash
    Then convicted are: poison

  # Guards against a popular request that nobody answers while poison ends all.
  Scenario: Five crashes that poison explains convict no popular request
    When poison is convicted and a popular request is in flight at five more of its crashes
    Then convicted are: poison
    When two more endpoints crash under the popular request alone
    Then convicted are: poison popular

  # Guards against a popular request that crashes under stopped sends of poison.
  Scenario Outline: Crashes <after> s after a stopped send of poison convict <whom>
    When poison is convicted and a popular request is in flight at four of its crashes
    And two more endpoints crash under the popular request, <after> s after sends of poison were stopped there, reported <when>
    Then convicted are: <whom>

    Examples:
      | after | when   | whom           |
      | 0.1   | before | poison         |
      | 0.1   | later  | poison         |
      | 30    | before | poison popular |

  # Guards against a proper request that another one's answer convicts: alone at
  # a crash now, whose cause nobody has reported.
  Scenario Outline: The answer of <answered> convicts <whom>
    When four endpoints crash under poison and popular, a fifth under popular and other
    And <answered> are answered 0.8 s later
    Then convicted are: <whom>

    Examples:
      | answered          | whom    |
      | nobody            | nothing |
      | other             | nothing |
      | popular           | poison  |
      | other and popular | poison  |

  # Guards against a suspect that is counted at a crash before it was sent, and is
  # missing at the next one: a popular request was alone there, and convicted.
  Scenario Outline: A send to a start that its gateway does not know, reported <when>
    When two endpoints crash under poison and a popular request
    And the second one crashes again under both, as poison's gateway does not know, reported <when>
    Then convicted are: nothing
    And no suspect is counted at a crash before it was sent

    Examples:
      | when   |
      | before |
      | later  |

  Scenario: The order of reports changes nothing
    Then any order of 6 reports convicts the same request

  Scenario Outline: The ledger stays bounded under <attack>
    When the ledger takes <attack>
    Then it holds at most <crashes> crashes and <cleared> cleared requests

    Examples:
      | attack                          | crashes | cleared |
      | 5000 crashes of one request each | 1024   | 4096    |
      | 9000 cleared requests           | 1024    | 4096    |
