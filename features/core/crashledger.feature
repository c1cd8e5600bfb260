Feature: Crashes are attributed to the request that causes them

  # In each pattern requests are sent and endpoints crash with them in flight.
  Scenario Outline: <pattern>
    When crashes are reported as in "<pattern>"
    Then the culprits are: <culprits>

    Examples: a request that crashes each endpoint that runs it
      | pattern                                             | culprits    |
      | poison crashes three endpoints in a row             | poison      |
      | poison crashes two endpoints                        | nothing     |
      | poison is reported by a gateway for each crash      | poison      |
      | poison runs beside other requests each time         | poison      |
      | poison crashes five, a bystander follows it         | poison      |
      | two poison requests alternate                       | poison also |
      | poison has output before each of six crashes        | poison      |
      | two poison requests run together, then each alone   | poison also |

    Examples: patterns without a culprit
      | pattern                                             | culprits  |
      | one crash is reported by five gateways              | nothing   |
      | one crash is reported five times                    | nothing   |
      | a rack crashes under a popular request              | nothing   |
      | a bystander follows poison to three endpoints       | nothing   |
      | a request is answered between its crashes           | nothing   |
      | a popular stream with output is at five crashes     | nothing   |
      | a popular stream with one output is at five crashes | nothing   |
      | an old report comes after the request was answered  | nothing   |
      | three crashes are spread over more than the window  | nothing   |
      | three poison requests alternate under a popular one | nothing  |

  # Guards against a report of the crash that another observer never sends.
  Scenario: One crash of many without another suspect makes no popular request a culprit
    When 8 endpoints crash under three poison requests in turn and a popular stream
    And one more crashes under the popular request, which an observer misses
    Then the culprits are: nothing

  # Guards against a popular request that is in flight at the crashes of several
  # culprits, which are found one after the other.
  Scenario: Seven crashes, some of a known culprit, make no popular request a culprit
    When 7 endpoints crash under three poison requests in turn and a popular request
    And the first of the poison requests is a known culprit
    Then the culprits are: nothing

  # Guards against a popular request at a crash whose cause another observer
  # reports later.
  Scenario Outline: A crash that <first> reports first and <then> after <gap> s
    When two endpoints crash under poison and a popular request
    And a third one does, reported by <first>, then <gap> s later by <then>
    Then the culprits are: <culprits>

    Examples:
      | first        | gap  | then         | culprits  |
      | popular      | 0.01 | poison       | nothing   |
      | poison       | 0.01 | popular      | nothing   |
      | poison       | 0.01 | nobody       | nothing   |
      | popular      | 0.2  | nobody       | popular   |
      | poison       | 0.2  | nobody       | poison    |

  # Guards against crashes by repetitions of a known culprit.
  Scenario Outline: A crash after a culprit was found, first reported <gap> s ago
    When poison is a known culprit and a popular request is in flight at four of its crashes
    And another endpoint crashes under the popular request, reported <gap> s ago
    Then the culprits are: <culprits>

    Examples:
      | gap  | culprits       |
      | 0.01 | poison         |
      | 0.2  | poison popular |

  Scenario: Crashes of a culprit make no bystander a culprit
    When poison is a known culprit and a bystander was in flight at two of its crashes
    And the bystander is in flight at another crash
    Then the culprits are: poison

  # Guards against a popular request that is never answered while a poison request
  # crashes all endpoints.
  Scenario: Five crashes of a culprit make no popular request a culprit
    When poison is a known culprit and a popular request is in flight at five more of its crashes
    Then the culprits are: poison
    When two more endpoints crash under the popular request alone
    Then the culprits are: poison popular

  # Guards against crashes with a popular request in flight that stopped sends of
  # a culprit cause.
  Scenario Outline: Crashes <after> s after a stopped send of poison, reported <when>
    When poison is a known culprit and a popular request is in flight at four of its crashes
    And two more endpoints crash under the popular request, <after> s after sends of poison were stopped there, reported <when>
    Then the culprits are: <culprits>

    Examples:
      | after | when   | culprits       |
      | 0.1   | before | poison         |
      | 0.1   | later  | poison         |
      | 30    | before | poison popular |

  # Guards against a harmless request that remains the only suspect of a crash
  # after another one is answered, as the cause of the crash was not reported.
  Scenario Outline: After answers of <answered> the culprits are: <culprits>
    When four endpoints crash under poison and popular, a fifth under popular and other
    And <answered> are answered 0.8 s later
    Then the culprits are: <culprits>

    Examples:
      | answered          | culprits |
      | nobody            | nothing  |
      | other             | nothing  |
      | popular           | poison   |
      | other and popular | poison   |

  # Guards against a suspect that is counted at a crash before its send and not at
  # the next one, where a popular request then is the only suspect.
  Scenario Outline: A send to an incarnation that its gateway does not know, reported <when>
    When two endpoints crash under poison and a popular request
    And the second one crashes again under both, unknown to poison's gateway, reported <when>
    Then the culprits are: nothing
    And no suspect is counted at a crash before it was sent

    Examples:
      | when   |
      | before |
      | later  |

  Scenario: The order of reports has no effect
    Then any order of 6 reports yields the same culprit

  Scenario Outline: The ledger stays bounded under <attack>
    When the ledger takes <attack>
    Then it holds at most <crashes> crashes and <cleared> cleared requests

    Examples:
      | attack                          | crashes | cleared |
      | 5000 crashes of one request each | 1024   | 4096    |
      | 9000 cleared requests           | 1024    | 4096    |
