Feature: A choice among engines costs the same however many there are

  Scenario: Work by endpoint is what all gateways' work adds up to
    Then drawn histories of own and others' work give the same by endpoint

  Scenario: Kept states of engines are what would be worked out anew
    Then after drawn histories kept and new states choose alike

  Scenario Outline: Of <idle> idle engines among <all> a <length> prompt compares <some>
    Given <all> engines of which <idle> are idle and <reading> read a prompt
    When engines are picked for a <length> prompt
    Then at least <some> idle ones are compared, at most <most> engines in all

    Examples:
      | all  | idle | reading | length | some | most |
      | 20   | 2    | 10      | long   | 2    | 40   |
      | 20   | 20   | 0       | short  | 1    | 24   |
      | 112  | 112  | 0       | long   | 20   | 40   |
      | 112  | 8    | 60      | long   | 8    | 40   |
      | 112  | 0    | 112     | long   | 0    | 40   |
      | 1000 | 300  | 500     | long   | 15   | 40   |
      | 1000 | 300  | 0       | short  | 4    | 24   |

  Scenario: A short prompt finds the few engines that write and read nothing
    Given 1000 engines of which 0 are idle and 700 read a prompt
    When engines are picked for a short prompt
    Then at least 8 that read nothing are compared

  Scenario: Half of a kind is near where that many are
    Given 100 engines in 5 zones, all idle
    When engines are picked for a long prompt by a gateway of one zone
    Then at least 10 of those compared are near and at least 10 far

  Scenario Outline: The longest prompt finds memory with <lost> of 200 engines gone
    Given 200 engines of which 120 are idle and 40 read a prompt
    And <lost> of them rest, signed off or fell silent
    When a prompt of 1000000 tokens is placed
    Then engines for all of its memory are found and none of those gone

    Examples:
      | lost |
      | 0    |
      | 100  |

  Scenario: Engines that come back one by one are not all chosen at once
    Given 40 engines that all write
    When 20 idle ones are announced and 60 short prompts come
    Then no engine has got more than 8 of them
