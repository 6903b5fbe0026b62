Feature: Polls of control VMs
  Guards against polls that take much of the processor time of a fleet with many control VMs, and
  against an entry VM that counts as dead because its polls are held for longer.

  Scenario Outline: A VM sends few polls a second, whatever the number of control VMs
    Then a VM that polls <controls> control VMs sends at most <polls> polls a second to all of them

    Examples:
      | controls | polls |
      | 3        | 3.4   |
      | 6        | 5     |
      | 9        | 5     |
      | 18       | 9     |

  Scenario: A poll is held for less time than a VM is taken for alive
    Then with 1 to 18 control VMs a poll is held at least 0.4 s less than a listed VM stays alive
