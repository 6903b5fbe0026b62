Feature: Division of the fleet's retry budget among entry VMs
  Guards against repeats that exceed the budget of the fleet because the entry VMs differ in how many
  of them they take to be alive.

  # Guards against VMs that each take the whole slack while no control VM responds, or after a start.
  Scenario Outline: The VMs together keep to the budget
    Given <vms> entry VMs and <controls> control VMs that have run for 30 s
    When each VM repeats as often as it may, and <event>
    Then in no 10 s the fleet repeats more than the budget allows
    And in the first 10 s the fleet uses at least half of the slack

    Examples:
      | vms | controls | event                                                      |
      | 22  | 9        | nothing else happens                                       |
      | 22  | 9        | all control VMs are away for 0.5 s                         |
      | 22  | 9        | all control VMs are away for 2.4 s                         |
      | 22  | 9        | all control VMs are away for 9 s                           |
      | 22  | 9        | all control VMs are away for 25 s                          |
      | 7   | 3        | all control VMs are away for 9 s                           |
      | 7   | 1        | all control VMs are away for 9 s                           |
      | 22  | 9        | all entry VMs are started anew                             |
      | 22  | 9        | half of the entry VMs are killed                           |
      | 22  | 9        | all entry VMs are started anew, and all control VMs        |
      | 22  | 9        | one entry VM can't reach the control VMs for 9 s           |

  # Guards against VMs that are gone for good, but keep their parts.
  Scenario: VMs that are gone lose their parts once the window has passed
    Given 22 entry VMs and 9 control VMs that have run for 30 s
    When 11 of the entry VMs are killed
    Then the others divide the slack by 22 for 10 s, and by 11 after 13 s
