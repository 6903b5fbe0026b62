Feature: The group of control VMs keeps itself whole
  Guards against an accepted change that is lost or shown older when disks are lost, VMs are replaced,
  cut off or killed together, and no operator repairs the group.

  Scenario Outline: Six control VMs through random faults
    When a group of 6 control VMs that bears 2 lost disks goes through random faults with seed <seed>
    Then nothing accepted is lost, and all VMs are voters again

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A change is accepted only once it is on one disk more than may be lost
    Given a group of 6 control VMs that bears 2 lost disks
    When four of its VMs are down
    Then a change isn't accepted
    When two of them are back
    Then a change is accepted and durable on 4 disks

  Scenario: A replaced VM at another address takes the place of one that is gone for good
    Given a group of 6 control VMs that bears 2 lost disks
    When one VM is gone for good and another one with a blank disk joins
    Then the group has 6 voters, all alive
