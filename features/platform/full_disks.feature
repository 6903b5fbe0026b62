Feature: Disks of control VMs that are full in turn
  Guards against changes that are refused or stay unanswered after the disks have room again.

  # Guards against a replica that doesn't return, or an old leader that blocks the group.
  @fixture.platform_fleet
  Scenario Outline: The disks of all control VMs are full for some seconds, one after another
    Given a fleet with an endpoint of each service in each zone
    And <more> more control VMs have joined
    And configuration 1 is in force
    When the disk of each control VM is full for <seconds> s, <order>, while changes of <size> characters are sent
    Then a change is acknowledged within 2 s
    And all control VMs hold it as voters within 10 s
    And no process has ended, and each has logged that its disk was full

    Examples:
      | more | seconds | order                      | size   |
      | 0    | 4       | in the order of their zone | 100    |
      | 0    | 4       | each time the leader       | 100    |
      | 3    | 4       | each time the leader       | 100    |
      | 0    | 2       | each time the leader       | 100    |
      | 0    | 4       | each time the leader       | 900000 |
      | 0    | 4       | in the order of their zone | 900000 |

  # Guards against a process that can't start while its disk is full, and doesn't return after it.
  @fixture.platform_fleet
  Scenario: Control VMs are restarted in turn while their disks are full
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When each control VM is restarted with a full disk that has room again 3 s later
    Then a change is acknowledged within 2 s
    And all control VMs hold it as voters within 10 s
    And no process has ended, and each has logged that its disk was full
