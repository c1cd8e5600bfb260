Feature: The gateway that a request is forwarded to

  # Guards against forwarding to gateways that stop, that have just refused a request,
  # or that could not take this one.
  Scenario Outline: Of g1 <g1>, g2 <g2> and g3 <g3>, <chosen> is chosen
    Then of g1 <g1>, g2 <g2> and g3 <g3> gateway g0 chooses <chosen>

    Examples:
      | g1                    | g2                 | g3                  | chosen |
      | in its zone           | in another zone    | in another zone     | g1     |
      | leaving               | in another zone    | leaving             | g2     |
      | leaving               | leaving            | leaving             | none   |
      | tried                 | in its zone        | tried               | g2     |
      | tried                 | tried              | tried               | none   |
      | backed off            | in another zone    | backed off          | g2     |
      | backed off            | leaving            | tried               | g1     |
      | backed off 2 s ago    | in another zone    | in another zone     | g1     |
      | with 9 in flight      | in another zone    | leaving             | g2     |
      | with 7 in flight      | in another zone    | leaving             | g1     |
