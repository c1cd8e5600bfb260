Feature: A test fleet counts as started once every entry knows all members

  The entry that starts last learns all routes and endpoints from its first
  heartbeat. The other entries learn of it from their next heartbeat, up to one
  heartbeat interval later, and return too few addresses to callers until then.

  Scenario Outline: Of 2 entries and 3 endpoints <case>
    Given a fleet of 2 entries and 3 endpoints as its entries see it
    When "entry-0" knows <members> entries and <endpoints> endpoints
    And "entry-1" answers its health check with <health>
    Then the fleet counts as <state>

    Examples:
      | case                                 | members | endpoints | health | state    |
      | everything is known everywhere       | 2       | 3         | 200    | started  |
      | one entry knows nothing of the other | 1       | 3         | 200    | starting |
      | one entry misses an endpoint         | 2       | 2         | 200    | starting |
      | one entry has no configuration       | 2       | 3         | 503    | starting |
      | one entry does not answer            | 2       | 3         | none   | starting |
