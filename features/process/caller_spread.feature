Feature: Choice of entry VMs for callers
  Guards against a zone with many callers that overloads its few entry VMs while VMs of other zones
  have spare capacity, and against needless traffic between zones.

  Scenario: Three zones with equal load and 2, 3 and 2 entry VMs
    Given zones of one region with 2, 3 and 2 entry VMs whose callers send 186 requests a second each
    When callers repeat their lookups for 60 s
    Then no entry VM gets more than 1.1 times the mean of the region after 20 s
    And without spreading one would get 1.16 times the mean

  Scenario: Callers stay in their zone if all VMs get about the same rate
    Given zones of one region with 2, 2 and 2 entry VMs whose callers send 100 requests a second each
    When callers repeat their lookups for 30 s
    Then every caller is sent to its own zone

  Scenario Outline: Zones and regions without an entry VM
    Given zones of one region with 1, 1 and 1 entry VMs whose callers send 5 requests a second each
    When the VMs of <lost> are lost
    Then callers of zone 1 are sent to <names>

    Examples:
      | lost          | names             |
      | zone 1        | vm-2-1 vm-3-1     |
      | zones 1 to 3  | far-1             |
