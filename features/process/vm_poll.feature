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

  Scenario Outline: Changes of the list are reported together, the longer the more VMs there are
    Then with <vms> entry VMs changes are reported within <delay> s

    Examples:
      | vms | delay |
      | 7   | 0.035 |
      | 73  | 0.365 |
      | 720 | 0.5   |

  Scenario: A poll is held for less time than a VM is taken for alive
    Then with 1 to 18 control VMs a poll is held at least 0.4 s less than a listed VM stays alive

  # Guards against a fleet of which many VMs are restarted in turn: the whole list of 73 VMs, sent to
  # each of them by each control VM at each change, filled their links.
  @fixture.platform_fleet
  Scenario: A change of one entry VM is sent without the others
    Given a fleet with an endpoint of each service in each zone
    When the responses to polls are counted while the entry VM of "varna-a" is killed and started
    Then every entry VM knows the new process of "varna-a"
    And no response to a running VM listed more than 1 VM

  # Guards against whole lists that follow each lost poll on a slow link.
  @fixture.platform_fleet
  Scenario: An entry VM that loses polls gets the changes of the list only
    Given a fleet with an endpoint of each service in each zone
    When the entry VM of "varna-a" is cut off from the control VMs for 4 s and the lists are counted
    Then every entry VM knows that of "varna-a"
    And no response listed all entry VMs

  @fixture.platform_fleet
  Scenario: An entry VM of an earlier version gets the whole list
    Given a fleet with an endpoint of each service in each zone
    When an entry VM that takes no changes polls with an outdated list
    Then the response lists all 6 entry VMs

  # Guards against entry VMs that don't poll a new control VM, because it joined the group and
  # another one left between two polls.
  @fixture.platform_fleet
  Scenario: The replacement of a control VM between two polls is reported
    Given a fleet with an endpoint of each service in each zone
    When a control VM leaves the group and another one joins it between two polls of an entry VM
    Then the response lists the new control VM

  # Guards against entry VMs without routes while one VM after the other gets a new version.
  @fixture.platform_fleet
  Scenario: An entry VM of an earlier version gets the whole document
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When an entry VM that fetches no updates polls without a catalogue
    Then the response has the document of configuration 1

  # Guards against entry VMs without routes while the control VMs still run an earlier version.
  @fixture.platform_fleet
  Scenario: A control VM of an earlier version sends the whole document
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When a control VM of an earlier version sends configuration 2 in its response to a poll
    Then configuration 2 is in force at the entry VM
    And a later configuration 3 is in force on every entry VM
