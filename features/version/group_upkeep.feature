Feature: The group of control VMs repairs its membership
  Guards against the loss or reversal of an accepted change when disks are lost and VMs are
  replaced, cut off or killed together, without an operator who repairs the group.

  Scenario Outline: Six control VMs under random faults
    When a group of 6 control VMs that tolerates 2 lost disks runs under random faults with seed <seed>
    Then no accepted change is lost, and all VMs are voters again

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario: A change is accepted only once it is on more disks than may be lost
    Given a group of 6 control VMs that tolerates 2 lost disks
    When four of its VMs are down
    Then a change isn't accepted
    When two of them are back
    Then a change is accepted and durable on 4 disks

  Scenario: A new VM at another address replaces one that is lost permanently
    Given a group of 6 control VMs that tolerates 2 lost disks
    When one VM is lost permanently and another one with a blank disk joins
    Then the group has 6 voters, all alive
