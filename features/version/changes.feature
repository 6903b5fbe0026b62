Feature: Only one of several conflicting changes is accepted, and refusals give the reason
  Guards against two operators who overwrite each other's changes, and against an entry that is
  accepted with an invalid field.

  Scenario: Conflicting changes that expect the same version
    Given a group of 3 replicas with an accepted change
    When five changes that expect version 1 reach the leader in one order and then in another
    Then each time one is accepted and the others are refused with the current version

  @fixture.control_group
  Scenario Outline: A refused change names field, value and limit
    Given three control processes with a leader
    When an operator sends a change with <fault>
    Then the response names the field "<field>", the value "<value>" and the limit "<limit>"

    Examples:
      | fault                            | field                             | value   | limit            |
      | an unknown field                 | change.change.entry.colour        | 'red'   | a known field    |
      | a negative cap                   | entry.shift_cap_per_second        | -5      | 0 to 10000000    |
      | a missing owner                  | entry.owner                       | '  '    | a text           |
      | a limit over a region's capacity | entry.region_limit                | 101     | 0 to 100         |
      | a fraction in place of a number  | change.change.entry.region_limit  | 1.5     | a whole number   |
      | a text in place of a number      | change.change.entry.region_limit  | 'many'  | a whole number   |
