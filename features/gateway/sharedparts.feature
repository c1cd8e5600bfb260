Feature: Requests that share a part of their prompt and crash engines are refused

  # Guards against a quarantine that knows whole contents only: requests that share
  # one part of their prompt and nothing else crash one engine after another.
  Scenario Outline: A part every <every> s crashes engines <mode>, seed <seed>
    Given 9 gateways in front of 16 engines that stream, seed <seed>
    When requests with a part that crashes engines <mode> come every <every> s for <seconds> s
    Then each such part reaches engines at most 3 times later than 3 s after its fifth crash
    And proper requests with the same key or first part are served half as often as before
    And no part of proper requests is in quarantine

    Examples:
      | every | mode                                   | seconds | seed |
      | 0.2   | inside an event                        | 16      | 1    |
      | 0.05  | inside an event                        | 16      | 1    |
      | 0.05  | inside an event                        | 16      | 2    |
      | 1     | inside an event                        | 20      | 1    |
      | 3     | inside an event                        | 30      | 1    |
      | 3     | inside an event                        | 30      | 2    |
      | 0.2   | before it answers                      | 16      | 1    |
      | 0.2   | after an event, by closing the connection | 16   | 1    |
      | 0.05  | after an event, by closing the connection | 16   | 2    |

  # Guards against bounds that hold for a single part in a calm fleet only, and
  # against refusing a part that comes beside the guilty one.
  Scenario Outline: <history>, seed <seed>
    Given 9 gateways in front of 16 engines that stream, seed <seed>
    When the history "<history>" is played
    Then each such part reaches engines at most 3 times later than 3 s after its fifth crash
    And proper requests with the same key or first part are served half as often as before
    And no part of proper requests is in quarantine

    Examples: which requests have the part
      | history                                         | seed |
      | one part, on plain requests                     | 1    |
      | one part, on requests that must not run twice   | 1    |
      | one part, each request sent once                | 1    |
      | one part, first in the prompt                   | 1    |
      | one part beside others that change              | 1    |
      | one part behind several first parts             | 1    |
      | a part that comes only with a template          | 1    |
      | a part that comes only with a rare template     | 1    |
      | a part in two workspaces                        | 1    |
      | a part in four workspaces                       | 1    |
      | requests that state a part of others            | 1    |
      | requests that state a part of others            | 11   |

    Examples: several causes at once
      | history                        | seed |
      | two parts                      | 1    |
      | three parts                    | 1    |
      | three parts                    | 7    |
      | two parts in the same requests | 1    |
      | one part beside a popular content | 1 |
      | three parts beside a popular content | 1 |
      | a part and a whole content     | 1    |

    Examples: beside faults
      | history                                         | seed |
      | one part, beside a rack that ends               | 1    |
      | one part, beside racks that end in turn         | 1    |
      | one part, beside no leader for 2 s              | 1    |
      | one part, beside a cold restart of all gateways | 1    |
      | one part, beside a gateway that starts later    | 1    |
      | one part, beside a relay that is cut off        | 1    |
      | one part, beside a new leader without a copy    | 1    |
      | one part, beside engines that break off         | 1    |

  # Guards against refusing parts of proper requests, in flight at each crash.
  Scenario Outline: Without a guilty part nothing is refused beside <trouble>
    Given 9 gateways in front of 16 engines that stream, seed 1
    When proper requests with shared parts are sent beside <trouble>
    Then nothing is in quarantine

    Examples:
      | trouble                                                  |
      | racks that end in turn                                   |
      | engines that break off                                   |
      | unresponsive engines                                     |
      | engines that end at random, and a popular proper request |

  # Guards against a part that stays refused because it never came without another.
  Scenario: Of two parts that nothing tells apart, a trial releases the innocent one
    Given 3 gateways in front of 6 engines that stream, seed 1
    When a template and a part that crashes engines only come together
    Then both are in quarantine
    When requests with the template alone come 61 s later
    Then the template is released and the part is not
    And each such part reaches engines at most 3 times later than 3 s after its fifth crash

  Scenario: The number of trials of a part is bounded
    Given 3 gateways in front of 6 engines that stream, seed 1
    When requests with a part that crashes engines inside an event come every 0.5 s for 600 s
    Then 3 trials of the part were started
    And each such part reaches engines at most 3 times later than 3 s after its fifth crash

  Scenario: A part that no longer crashes engines is served after one trial
    Given 3 gateways in front of 6 engines that stream, seed 1
    When a part that crashes engines is fixed 5 s after it is quarantined
    Then requests with it are refused until 60 s after that, and then served

  # Guards against convicting a part again for crashes before its removal.
  Scenario: A part that an operator removes from quarantine stays out of it
    Given 3 gateways in front of 6 engines that stream, seed 1
    When a part that crashes engines is fixed, and removed by an operator
    And an engine crashes for another reason
    Then no part is in quarantine

  # Guards against convicting a popular content for crashes that a part explains.
  Scenario Outline: A popular content at <count> crashes of a part in quarantine
    When <count> requests with a quarantined part crash engines beside a popular content
    Then the popular content is not a culprit

    Examples:
      | count |
      | 4     |
      | 7     |
      | 20    |

  # Guards against convicting a popular content before the part is proved guilty.
  Scenario Outline: A popular content at <count> crashes of <parts> parts, none proved yet
    When a leader learns of <count> crashes of <parts> parts beside a popular content
    Then it convicts <convicted> parts within 2 s and never the popular content

    Examples:
      | count | parts | convicted |
      | 7     | 1     | 1         |
      | 7     | 3     | 0         |
      | 9     | 2     | 2         |
      | 12    | 2     | 2         |

  # Guards against parts that keep a whole content from being convicted.
  Scenario: A content with parts that crashes endpoints alone is convicted
    When a leader learns of 3 crashes of one content with parts
    Then it convicts the content and no part

  Scenario: A request with two entries runs only if trials of both are due
    Given 3 gateways in front of 6 engines that stream, seed 1
    When two parts are quarantined 30 s apart, and requests have both
    Then none of them runs until 90 s after the second

  Scenario: Requests in flight are stopped when their part is quarantined
    Given 3 gateways in front of 6 engines that stream, seed 1
    When a part enters quarantine while 3 requests with it are answered
    Then their streams are broken off within 0.1 s
    And later ones get 503 with a retry delay at each gateway
    And the same part of another workspace is served

  Scenario: Parts cost nothing while none is suspected
    Given 3 gateways in front of 6 engines that stream, seed 1
    When 100 requests with parts are served
    Then no header of parts was read

  Scenario Outline: An operator names <part> in workspace <workspace>
    Then an operator's entry for part <part> of workspace <workspace> is <result>

    Examples:
      | part      | workspace | result                               |
      | bad1      | acme      | refused to requests of acme          |
      | BAD1      | acme      | refused to requests of acme          |
      | bad1      | *         | refused to requests of all workspaces |
      | bad1:800  | acme      | invalid                              |
      | bad1,bad2 | acme      | invalid                              |

  # Guards against mixed builds that stop at fields or entries of later ones.
  Scenario: Earlier builds read reports, and hold entries of parts
    Then a report with parts and answers is read without them
    And a report of an earlier build is read
    And a snapshot with an entry of a part is read back

  # Guards against identities that depend on counts of tokens, and against headers
  # that only one request could have.
  Scenario Outline: The shared parts of a prompt stated as <header>
    Then a prompt stated as <header> shares the parts <parts>

    Examples:
      | header                           | parts       |
      | "5c1e:800,91bd:410,e440:250"     | "5c1e 91bd" |
      | "5c1e:801,91bd:9,e440:250"       | "5c1e 91bd" |
      | " 5C1E : 800 , 91BD:410,e440:1"  | "5c1e 91bd" |
      | "5c1e,91bd,e440"                 | "5c1e 91bd" |
      | "5c1e:800,5c1e:800,e440:250"     | "5c1e"      |
      | "e440:250"                       | ""          |
      | ""                               | ""          |
      | ",,:,;:7,"                       | ";"         |

  Scenario: A header with thousands of parts is bounded
    Then a prompt stated with 5000 parts shares 16 parts
