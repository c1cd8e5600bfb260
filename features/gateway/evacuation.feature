Feature: Gateways send nothing to the endpoints of evacuated zones

  # Guards against a way to send a request that does not observe an order. In each
  # case zone za is evacuated; zb has endpoints that could serve the request.
  Scenario Outline: <send>, <order>
    When zones za and zb see <send>, <order>
    Then no endpoint of zone za receives anything after the order
    And the caller gets 200 and the response is complete
    And no endpoint of zone za counts as failed, and no send there is charged

    Examples:
      | send                              | order                                      |
      | a first send                      | the order known before                     |
      | a first send                      | the order arriving while it connects       |
      | a first send to zone za only      | withdrawn before                           |
      | a send to one zone after another  | the orders arriving while it connects      |
      | a retry                           | the order arriving during the first send   |
      | a resumed stream                  | the order arriving during the first send   |
      | a send with a helper              | the order arriving while it connects       |
      | a send held at startup            | the order arriving with the routes         |
      | a send of another gateway         | the order known before                     |
      | a send of another gateway         | the order arriving while it connects       |
      | a stream that runs in zone za     | the order arriving during the first send   |

  # Guards against reservations that bypass the checks of a send.
  Scenario Outline: Memory is reserved in zones za and zb, <order>
    When memory is reserved in zones za and zb, <order>
    Then no endpoint of zone za receives anything after the order
    And the reservation is <granted>

    Examples:
      | order                                | granted     |
      | the order known before               | not granted |
      | the order arriving while it connects | not granted |
      | the order arriving before a renewal  | granted     |

  # Guards against a gateway that lost control while it connected: it may not know
  # of an order.
  Scenario: The proof expires while a request connects
    When zones za and zb see a first send, the proof expiring while it connects
    Then no endpoint receives anything
    And the caller is refused as not run

  # Guards against holding a request that no endpoint may serve.
  Scenario Outline: Only evacuated zones serve the service, and <case>
    When only evacuated zones serve the service, and <case>
    Then no endpoint receives anything
    And the caller is refused with zones_evacuated without a pause
    And it may retry after a third of its remaining time

    Examples:
      | case                              |
      | a request arrives                 |
      | another gateway forwards one      |
      | its service counts as partitioned |

  # Guards against claiming "not run" where the request may have run.
  Scenario: The last zone is evacuated after a send that may have run
    When zones za and zb see a retry, the order for all zones arriving during the first send
    Then the caller gets 502 and the response is complete

  # Guards against a relay that lags behind and sends its complete state: it must
  # not end an order while the gateway holds a proof of another relay.
  Scenario Outline: A gateway that knows <known> receives <changes>
    When a gateway that knows <known> receives <changes>
    Then it sends nothing to <zones>

    Examples:
      | known | changes            | zones |
      | -     | evacuated za       | za    |
      | za    | evacuated zb       | za zb |
      | za zb | restored za        | zb    |
      | za    | nothing            | za    |
      | za    | restored zb        | za    |
      | za zb | whole evacuated zb | zb    |
      | za    | whole              | -     |
      | za    | older whole        | za    |
      | za    | older whole evacuated zb | za zb |
      | za    | older whole, then older restored zb | za |
      | za    | older whole, then nothing | - |
      | za    | older whole, then evacuated za | za |
      | za    | older whole, then restored za | - |

  Scenario: The state dump and the metrics show orders and stopped sends
    When zones za and zb see a first send, the order arriving while it connects
    Then the dump shows zone za, and 1 send that was stopped
    And the metrics show the same
