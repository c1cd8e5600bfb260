Feature: A gateway detects that it has lost its path to a service

  Scenario Outline: <events> with <serving> endpoints
    Given a service with <serving> endpoints
    When connections of this gateway end as "<events>"
    Then the gateway counts as partitioned: <partitioned>

    Examples: several endpoints fail without a success in between
      | events             | serving | partitioned |
      | e1-                | 16      | no       |
      | e1- e1- e1-        | 16      | no       |
      | e1- e2-            | 16      | yes      |
      | e1- e2+ e3-        | 16      | no       |
      | e1- wait-6 e2-     | 16      | no       |
      | e1- wait-4 e2-     | 16      | yes      |

    Examples: a service with a single endpoint
      | events             | serving | partitioned |
      | e1-                | 1       | yes      |
      | e1- e1+ wait-1 e1+ | 1       | no       |

    Examples: the service returns after consecutive successes only
      | events             | serving | partitioned |
      | e1- e2- e3+        | 16      | yes      |
      | e1- e2- e3+ e4+    | 16      | no       |
      | e1- e2- e3+ e4- e5+ | 16     | yes      |

    Examples: each relapse asks for more successes
      | events                                          | serving | partitioned |
      | e1- e2- e3+ e4+ e1- e2- e3+ e4+                 | 16      | yes      |
      | e1- e2- e3+ e4+ e1- e2- e3+ e4+ e5+             | 16      | no       |
      | e1- e2- e3+ e4+ wait-40 e1- e2- e3+ e4+         | 16      | no       |

  # Guards against a return to a service of which only one endpoint is reached.
  Scenario: Consecutive probes go to different endpoints
    Given a service with 16 endpoints
    When connections of this gateway end as "e1- e2- e3+"
    Then endpoint e3 is no candidate of the next probe

  Scenario: A new incarnation is probed first
    Given a service with 3 endpoints
    When connections of this gateway end as "e1- e2- e3-"
    And endpoint e2 restarts
    Then only endpoint e2 is a candidate of the next probe
