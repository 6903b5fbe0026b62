Feature: A fleet on the platform serves requests from its first start
  Guards against a control group that doesn't form, announcements that reach no entry VM, and
  requests that don't reach the right endpoint.

  @fixture.platform_fleet
  Scenario: All VMs start at the same time, and requests of all kinds are served
    Given a fleet with an endpoint of each service in each zone
    When the operator sends configuration 1
    And clients of each zone send 4 requests of each kind
    Then all are answered by an endpoint of the right service with status 200
    And each request ran once
    And each control VM is a voter

  @fixture.platform_fleet
  Scenario Outline: The control group forms in every order of start
    When the control VMs start in the order <order> with <pause> s between them
    Then each control VM becomes a voter of one group
    And a configuration is accepted

    Examples:
      | order       | pause |
      | 0,1,2,3,4,5 | 0.1   |
      | 5,4,3,2,1,0 | 0.3   |
      | 3,0,4,1,5,2 | 1.0   |
      | 2,1,0,5,4,3 | 2.5   |

  @fixture.platform_fleet
  Scenario: A seed that is partitioned at its first start joins once it is reachable
    Given the control VM of "varna-a" is cut off from the others
    When all control VMs start
    And 5 s go by on the platform
    And the control VMs reach each other again
    Then each control VM becomes a voter of one group

  @fixture.platform_fleet
  Scenario: A control VM with a lost disk is replaced without an operator
    Given a fleet with an endpoint of each service in each zone
    When the operator sends configuration 1
    And the control VM of "sofia-a" comes back with an empty disk
    Then each control VM becomes a voter of one group
    And the configuration is read back as configuration 1

  @fixture.platform_fleet
  Scenario: Two control VMs lose their disks while all control processes are killed
    Given a fleet with an endpoint of each service in each zone
    When the operator sends configuration 1
    And all control VMs are killed at once and two come back with empty disks
    Then the configuration is read back as configuration 1
    And each control VM becomes a voter of one group

  @fixture.platform_fleet
  Scenario: A partitioned control VM refuses to return the configuration
    Given a fleet with an endpoint of each service in each zone
    When the operator sends configuration 1
    And the control VM of "sofia-a" is cut off from the others
    And 3 s go by on the platform
    Then it answers a read of the configuration with 503

  @fixture.platform_fleet
  Scenario: A transcript of all calls equals the golden file
    Given a fleet with an endpoint of each service in each zone
    When the operator, a client, the platform and an endpoint make each call once
    Then the session equals the golden file "platform_session.txt"

  @fixture.platform_fleet
  Scenario: A change is sent to each entry VM by one control VM
    Given a fleet with an endpoint of each service in each zone
    And 2 s go by on the platform
    When configuration 1 is put while catalogues are counted
    And configuration 2 is put while catalogues are counted
    Then configuration 2 is in force on every entry VM
    And each entry VM was sent 2 catalogues at most for it

  @fixture.platform_fleet
  Scenario Outline: A change arrives although the control VM that would send it is partitioned
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When the control VM of "<zone>" is cut off from all entry VMs
    And configuration 2 is put while catalogues are counted
    Then configuration 2 is in force on every entry VM

    Examples:
      | zone      |
      | sofia-a   |
      | plovdiv-b |

  # Guards against forwards that seem to take no time on the way: only the VM that begins the
  # exchanges of a pair measures the round trip.
  @fixture.platform_fleet
  Scenario: Both VMs of each pair know the round-trip time between them
    Given a fleet with an endpoint of each service in each zone
    When 4 s go by on the platform
    Then each entry VM knows the round-trip time to each other one
