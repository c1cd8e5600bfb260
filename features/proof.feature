Feature: Invariants hold under simulated failures

  Scenario Outline: Fuzzing the <kind> machine finds nothing
    When the <kind> machine runs <examples> examples of <steps> steps
    Then no invariant was violated

    Examples:
      | kind    | examples | steps |
      | request | 100      | 50    |
      | control | 150      | 50    |

  Scenario Outline: Every directed history of the <kind> machine holds
    When each directed history of the <kind> machine runs
    Then no history failed

    Examples:
      | kind    |
      | request |
      | control |

  Scenario Outline: Every deliberate defect of the <kind> path is caught
    When each deliberate defect of the <kind> path is injected in turn
    Then at least <count> were injected and each was caught

    Examples:
      | kind    | count |
      | request | 20    |
      | control | 20    |
