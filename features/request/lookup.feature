Feature: Lookups
  A lookup that lists a leaving or lost VM costs the caller a connect timeout. An order that changes
  with every minor event moves callers to cold caches.

  Background:
    Given 7 entry VMs in 3 regions of two availability zones each, with 12 slots each

  Scenario: The nearest VMs come first
    When a caller in "plovdiv-b" looks up the service
    Then the first target is in availability zone "plovdiv-b" because "same_availability_zone"
    And the second target is in region "plovdiv" because "same_region"
    And the other targets are in other regions because "other_region"

  Scenario Outline: Unavailable VMs are never listed
    Given the VM "sofia-a-1" is <state>
    When callers of 1000 blocks in "sofia-a" look up the service
    Then no response lists "sofia-a-1"

    Examples:
      | state     |
      | leaving   |
      | suspected |
      | lost      |
      | drained   |

  Scenario: VMs of a drained availability zone are never listed
    Given the availability zone "sofia-a" is drained
    When callers of 1000 blocks in "sofia-a" look up the service
    Then no response lists "sofia-a-1"
    And no response lists "sofia-a-2"

  Scenario: The loss of a VM moves only the callers that used it
    When callers of 1000 blocks in "sofia-a" look up the service
    And the VM "sofia-a-1" is lost and they look it up again
    Then only callers whose first target was "sofia-a-1" have another first target

  Scenario: A shift moves its fraction of the callers, and a larger shift moves a superset
    When 30 percent of the callers in "sofia" are shifted to "varna"
    And callers of 1000 blocks in "sofia-a" look up the service
    Then between 27 and 33 percent of them go to "varna" because "shifted_for_load"
    When 40 percent of the callers in "sofia" are shifted to "varna"
    Then every caller that was shifted before is still shifted

  Scenario: Callers of a lost region are spread over the others in proportion to their slots
    Given the region "sofia" is lost
    And the VMs of "varna" have 36 slots each
    When callers of 1000 blocks in "sofia-a" look up the service
    Then between 70 and 80 percent of them go to "varna" because "shifted_for_loss"
