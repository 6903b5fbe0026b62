Feature: Shifts between regions
  Guards against a shift that counts the same excess twice or treats missing data as an idle region,
  and so moves too much traffic back and forth. Callers use lookup responses for 5 seconds, and
  summaries arrive 2 seconds late.

  Scenario Outline: The response to a load step has no overshoot and doesn't change sign
    Given a home region with 100 slots and load for <load> slots
    And another region with <room> slots and load for 0 slots
    And a shift cap of <cap> requests a second at 4 requests a second for each slot
    When the shift controller runs for 200 seconds
    Then the moved fraction never falls
    And the moved fraction ends between <low> and <high>
    And the load of the other region never exceeds its target
    And the shifted requests never exceed the cap

    Examples:
      | load | room | cap  | low  | high |
      | 80   | 200  | 1000 | 0.00 | 0.00 |
      | 90   | 200  | 1000 | 0.17 | 0.23 |
      | 120  | 200  | 1000 | 0.36 | 0.42 |
      | 200  | 400  | 1000 | 0.60 | 0.66 |
      | 200  | 100  | 1000 | 0.28 | 0.35 |
      | 200  | 400  | 100  | 0.10 | 0.13 |
      | 120  | 200  | 0    | 0.00 | 0.00 |

  Scenario: Without measurements the last decision is held, then reverted step by step
    Given a home region with 100 slots and load for 120 slots
    And another region with 200 slots and load for 0 slots
    And a shift cap of 1000 requests a second at 4 requests a second for each slot
    When the shift controller runs for 100 seconds
    And measurements stop for 9 seconds
    Then the moved fraction hasn't changed
    When measurements stop for 100 more seconds
    Then the moved fraction fell by at most 0.1 in each step and is 0

  Scenario: A lost region is served by the others at once and returns step by step
    Given a home region with 100 slots and load for 60 slots
    And another region with 200 slots and load for 0 slots
    And a shift cap of 1000 requests a second at 4 requests a second for each slot
    When the shift controller runs for 10 seconds
    And the home region is lost for 30 seconds
    Then the moved fraction is 1
    When the home region returns and the shift controller runs for 100 seconds
    Then the moved fraction fell by at most 0.1 in each step and is 0

  Scenario: The traffic of a drained region is shifted away step by step
    Given a home region with 100 slots and load for 60 slots
    And another region with 200 slots and load for 0 slots
    And a shift cap of 1000 requests a second at 4 requests a second for each slot
    When the home region is drained and the shift controller runs for 120 seconds
    Then the moved fraction never falls
    And the moved fraction ends between 0.99 and 1.00

  Scenario: Without a catalogue lease no shift increases
    Given a home region with 100 slots and load for 120 slots
    And another region with 200 slots and load for 0 slots
    And a shift cap of 1000 requests a second at 4 requests a second for each slot
    And the catalogue lease has ended
    When the shift controller runs for 100 seconds
    Then the moved fraction ends between 0.00 and 0.00

  Scenario: An isolated VM doesn't treat the regions that it can't reach as lost
    Given a home region with 100 slots and load for 60 slots
    And another region with 200 slots and load for 0 slots
    And a shift cap of 1000 requests a second at 4 requests a second for each slot
    And the catalogue lease has ended
    When the home region is lost for 30 seconds
    Then the moved fraction ends between 0.00 and 0.00
