Feature: Parts of a gateway that need no network

  Scenario Outline: Only complete events are forwarded: <text>
    Then bytes <text> make <whole> complete events

    Examples:
      | text                                 | whole |
      | "id: 1\ndata: a\n\n"                 | 1     |
      | "id: 1\ndata: a\n\nid: 2\ndata"      | 1     |
      | "id: 1\r\ndata: a\r\n\r\nid: 2\n\n"  | 2     |
      | "data: half"                         | 0     |

  Scenario Outline: A version with <fault> is refused
    Then a version with <fault> is refused with <words>

    Examples:
      | fault                    | words              |
      | an unknown service       | 'no' is not known  |
      | no weight                | add up to 0        |
      | a negative weight        | -1 is negative     |
      | no timeout               | timeout is 0       |
      | a prefix without slashes | prefix 'x'         |
      | a place that is taken    | another route      |
      | a shared key             | share a key        |

  Scenario: A valid version is accepted
    Then a valid version is not refused

  Scenario Outline: The longest matching prefix determines the route
    Then with prefixes <prefixes> the path <path> is routed to <wanted>

    Examples:
      | prefixes   | path   | wanted |
      | /,/a/,/a/b/ | /a/b/c | /a/b/  |
      | /,/a/,/a/b/ | /a/bc  | /a/    |
      | /,/a/       | /b     | /      |
      | /a/         | /b     | none   |

  Scenario Outline: Weights split a route's requests
    Then weights <a> and <b> give the first about <percent>%

    Examples:
      | a  | b  | percent |
      | 90 | 10 | 90      |
      | 1  | 1  | 50      |
      | 0  | 1  | 0       |

  Scenario Outline: An older version never replaces a newer one
    Then versions <given> in turn leave <wanted> in use

    Examples:
      | given | wanted |
      | 1 3 2 | 3      |
      | 4 4   | 4      |
      | 2 9   | 9      |

  Scenario Outline: The age of a proof counts from its request
    Then a proof requested <age> s ago is <state>

    Examples:
      | age | state |
      | 0   | good  |
      | 4.4 | good  |
      | 4.6 | old   |

  Scenario Outline: Gateways together stay within the fleet's retry budget
    Then <gateways> gateways with <requests> requests each retry <most>

    Examples:
      | gateways | requests | most |
      | 1        | 0        | 90   |
      | 9        | 0        | 90   |
      | 9        | 50       | 110  |
      | 96       | 5        | 58   |

  Scenario Outline: An endpoint that has left is not used again
    Then an endpoint that was <before> and then is <after> is <state>

    Examples:
      | before  | after   | state  |
      | serving | serving | used   |
      | serving | leaving | unused |
      | leaving | serving | unused |
      | gone    | serving | unused |
      | serving | expired | unused |

  Scenario Outline: Load summaries of another gateway are applied in order
    Then a summary numbered <later> after <earlier> is <taken>

    Examples:
      | later | earlier | taken   |
      | 5     | 4       | taken   |
      | 4     | 5       | dropped |
      | 4     | 4       | dropped |

  Scenario Outline: The next full summary corrects the effect of lost datagrams
    Then after the datagrams <datagrams> the known work is <known>

    Examples:
      | datagrams            | known |
      | new:1 new:2          | 1,2   |
      | new:1 end:1          | none  |
      | new:1 all:2,3        | 2,3   |
      | new:1 all:           | none  |
      | new:1 restart:7      | 7     |
      | all:1 new:2 end:1    | 2     |

  Scenario: Changes of own work are sent once
    Then own work is sent once when it changes and completely on request

  Scenario Outline: The work of a gateway that sends nothing expires
    Then a gateway that sends nothing for <seconds> s counts <count> work items

    Examples:
      | seconds | count |
      | 1.0     | 1     |
      | 3.0     | 0     |

  Scenario Outline: An endpoint is ejected if it is unreachable or loses two requests
    Then <kind> failures <count> in a row make an endpoint <state>

    Examples:
      | kind        | count | state   |
      | unreachable | 1     | ejected |
      | lost        | 1     | used    |
      | lost        | 2     | ejected |

  Scenario Outline: The state that is kept about endpoints is bounded
    Then <what> stays at or below <most>

    Examples:
      | what                                         | most |
      | the ejection time after 30 failures in a row | 5    |
      | the number of gone endpoints of 9000         | 4096 |
