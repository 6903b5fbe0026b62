Feature: Entry VMs that exchange summaries
  Guards against control work that grows with the square of the fleet: with 24 VMs in each of three
  regions, each VM exchanged summaries with 72 others.

  Scenario Outline: Each pair of VMs in small regions, or in one region, exchanges summaries once
    Given regions with <sizes> VMs
    Then exactly one VM of each pair in <pairs> begins exchanges with the other

    Examples:
      | sizes      | pairs           |
      | 3, 2, 2    | all regions     |
      | 12, 12, 12 | all regions     |
      | 24, 24, 25 | the same region |

  Scenario Outline: VMs of large regions have few partners in other regions
    Given regions with <sizes> VMs
    Then each VM begins exchanges with 3 VMs of each other region
    And on average a VM has at most <partners> partners in other regions

    Examples:
      | sizes         | partners |
      | 24, 24, 25    | 12       |
      | 240, 240, 240 | 12       |
      | 13, 13        | 6        |

  Scenario: A small region beside a large one
    Given regions with 2, 2, 20 VMs
    Then each VM knows a VM of each other region

  Scenario: The loss of partners moves the exchanges to other VMs
    Given regions with 24, 24, 25 VMs
    When the partners of one VM in another region are lost
    Then it begins exchanges with 3 others there

  Scenario: A VM of a large region reports its part of the servers of the region
    Given a VM that owns 1 server with 1 of 6 slots in use and borrows 11, in a region of 24 VMs
    Then it reports 12 slots with 8 free to another region
    And it reports 6 slots with 4 free within its region
    When 1 slot of the borrowed servers is taken
    Then it reports 12 slots with 8 free to another region
    And it reports 12 slots with 4 free to another region 0.2 s later

  Scenario: A VM of a small region reports its own servers to all others
    Given a VM that owns 1 server with 2 of 6 slots in use and borrows 11, in a region of 8 VMs
    Then it reports 6 slots with 4 free to another region
    And it reports 6 slots with 4 free within its region

  Scenario: A region stays large while its VMs restart
    Given regions with 24, 24, 25 VMs
    When only 4 VMs of a region are alive
    Then they begin exchanges with 3 VMs of each other region

  # Guards against round trips that a faulty VM states, which would turn forwards to it on or off.
  Scenario Outline: A stated round-trip time out of range is ignored
    Given a summary that states a round-trip time of <stated> ms
    Then the VM reads a round-trip time of <read> s

    Examples:
      | stated | read   |
      | 110.5  | 0.1105 |
      | 0      | none   |
      | -5     | none   |
      | 1000.5 | none   |
      | nan    | none   |
      | inf    | none   |
      | no     | none   |

  # Guards against a first value that is averaged with one that the other VM stated.
  Scenario: The first measured round trip replaces a stated one
    Given a VM whose partner stated a round trip of 0.9 s
    When it measures round trips of 0.1 and 0.2 s
    Then its round-trip time is 0.13 s
