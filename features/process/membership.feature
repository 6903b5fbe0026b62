Feature: Each VM knows which VMs are alive
  Guards against an old incarnation that replaces a newer one, a lost VM that is still named in
  lookups, a returned VM that stays lost, two sides of a partition that never reconnect, a lost
  summary that leaves a wrong view, and traffic that grows with the number of VMs.

  Scenario Outline: Views become correct again after faults
    Then after <seeds> seeds of faults in <zones> availability zones of <vms> VMs all views are correct

    Examples:
      | seeds | zones | vms |
      | 12    | 3     | 2   |
      | 6     | 3     | 8   |

  Scenario Outline: A lost VM, even a delegate, is detected, and no other VM is suspected
    Then for <seeds> seeds <vm> of <vms> VMs is detected as lost within 3.55 seconds in its availability zone and 4.1 elsewhere

    Examples:
      | seeds | vms | vm       |
      | 20    | 2   | zone0-01 |
      | 10    | 2   | zone0-02 |
      | 2     | 8   | zone0-01 |
      | 2     | 8   | zone0-02 |
      | 2     | 8   | zone0-07 |

  Scenario: Each side of a partition sees the other one as lost and itself as alive
    Given 3 availability zones of 3 VMs that know each other
    When availability zone zone0 is cut off from the others
    And 3.7 seconds of membership pass
    Then zone0 and the others see each other lost and their own alive
    When the partition of the membership ends
    And 5.0 seconds of membership pass
    Then all views are correct

  Scenario: A gap in the summaries is repaired
    Given 3 availability zones of 3 VMs that know each other
    When zone0-03 runs version 7 and the next summary of zone0 to zone1 is lost
    And 2.2 seconds of membership pass
    Then all views are correct

  Scenario: VMs that the settings don't name are discovered
    Given 3 availability zones of 3 VMs of which the settings name the first 4
    When 5.0 seconds of membership pass
    Then all VMs of the availability zones with a VM in the settings are known

  Scenario: All VMs learn that a VM is leaving
    Given 3 availability zones of 3 VMs that know each other
    When zone1-02 begins to leave
    And 1.2 seconds of membership pass
    Then all views are correct

  Scenario: A late record of an old incarnation changes nothing
    Then neither a late heartbeat nor a late summary brings back an old incarnation

  Scenario: A VM that was cut off from all others reconnects
    Given 3 availability zones of 3 VMs that know each other
    When zone0-01 can't reach any other VM
    And 8.0 seconds of membership pass
    Then zone0-01 and the other VMs see each other lost
    When the partition of the membership ends
    And 5.0 seconds of membership pass
    Then all views are correct

  Scenario: A late heartbeat doesn't bring back an older catalogue version
    Then a heartbeat that was sent before another one is ignored after it

  Scenario: Changes from one delegate don't continue the summaries of another one
    Then a summary of changes is a gap after the summary of another delegate

  Scenario: Traffic of an ordinary VM doesn't grow with its availability zone
    Then an ordinary VM sends and receives no more with 16 VMs in its availability zone than with 8

  Scenario: A record as observed by another VM keeps all fields that aren't observed
    Then only state, uptime and time of measurement of a record differ as seen from another VM
