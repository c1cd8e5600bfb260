Feature: The fleet's retry budget over restarts, losses and cuts of gateways

  # Guards against retries beyond the fleet's budget: a restarted gateway held a whole
  # share of the slack, and shares grew as members were lost, within one window.
  Scenario Outline: No window holds more retries than the fleet may send where <history>
    Given gateways whose endpoints all fail
    When <history> meanwhile
    Then no window holds more retries than the fleet may send

    Examples:
      | history                         |
      | no gateway is lost              |
      | all restart twice               |
      | each restarts in turn           |
      | five of nine are lost           |
      | five of nine are cut off        |
      | members become known one by one |
      | four gateways become twelve     |
      | all restart between two bursts  |
      | callers move between two bursts |

  Scenario Outline: No window of drawn histories <first> to <last> holds too many retries
    Then histories <first> to <last> keep to the fleet's retry budget

    Examples:
      | first | last |
      | 0     | 19   |
      | 20    | 39   |
