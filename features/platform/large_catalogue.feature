Feature: Large configurations over slow links
  Guards against a configuration with many routes that fills the links of entry VMs, and against
  entry VMs that deny routes because the configuration hasn't arrived yet.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And the links of the entry VMs carry 2.25 Mbit/s each way

  # Guards against a configuration that never arrives, since each copy of it is dropped half-way and
  # sent again from its beginning.
  @fixture.platform_fleet
  Scenario: Many routes are added
    When clients use each entry VM while configuration 2 with 1400 more routes is sent
    Then it is in force at each entry VM within 3 s of its acknowledgement
    And each request of the clients was served
    And no request on a new route was answered 404

  # Guards against a change that costs as much as the whole configuration.
  @fixture.platform_fleet
  Scenario: A weight is changed in a large configuration
    Given configuration 2 with 1400 more routes is in force at each entry VM
    When configuration 3 changes the weights of one route
    Then it is in force at each entry VM within 3 s of its acknowledgement
    And each entry VM has received at most 20 KB more than in the same time without a change

  # Guards against a transfer that begins again from nothing, or waits for a process that is gone.
  @fixture.platform_fleet
  Scenario Outline: Control VMs are lost during the transfer
    When configuration 2 with 1400 more routes is sent, and the control VMs of "<zones>" <fail> at the acknowledgement
    Then it is in force at each entry VM within 3 s of its acknowledgement

    Examples:
      | zones            | fail        |
      | sofia-a          | are killed  |
      | sofia-a, varna-b | are killed  |
      | sofia-a          | are cut off |
      | sofia-a, varna-b | are cut off |

  # Guards against entry VMs that start at the same time and fill their links with copies of their
  # first configuration.
  @fixture.platform_fleet
  Scenario: All entry VMs start again
    Given configuration 2 with 1400 more routes is in force at each entry VM
    When all entry VMs are killed and started again
    Then configuration 2 is in force at each entry VM within 3 s
    And each entry VM has received at most 250 KB in that time

  # Guards against a route that is denied by a VM that can't know whether it has been added.
  @fixture.platform_fleet
  Scenario Outline: An entry VM without contact gets a request on a new route
    When the entry VM of "varna-b" is cut off from the control VMs for <seconds> s
    And configuration 2 with a new route is acknowledged
    Then the entry VM of "varna-b" refuses a request on the new route with 503 and a retry time
    And its log names the cause "no_contact"

    Examples:
      | seconds |
      | 1.5     |
      | 5       |

  # Guards against an entry VM that leaves each control VM before its bytes arrive.
  @fixture.platform_fleet
  Scenario: Other bytes delay each message to the entry VMs
    When each message to the entry VMs waits 0.9 s behind other bytes
    And configuration 2 with 1400 more routes is sent
    Then it is in force at each entry VM within 10 s of its acknowledgement

  # Guards against an entry VM that waits for its nearest control VM as long as changes follow.
  @fixture.platform_fleet
  Scenario: Changes follow each other while the nearest control VM is behind
    When newer versions are announced every 0.1 s for 0.5 s, but not by the nearest control VM
    Then another control VM is the source

  # Guards against an entry VM that counts as dead because it confirms a version.
  @fixture.platform_fleet
  Scenario: A confirmation arrives while a poll is held
    When an entry VM whose poll is held confirms its version, and an older message arrives after that
    Then the control VM counts the entry VM as alive for as long as the poll is held
    And it knows the newer version

  # Guards against a route that is denied on the word of control VMs that may lack changes.
  @fixture.platform_fleet
  Scenario: An entry VM hears only control VMs that have no leader
    When the control VMs are cut off from each other for 8 s
    Then the entry VM of "varna-b" refuses a request on the new route with 503 and a retry time
    And its log names the cause "no_contact"

  # Guards against a route that is denied while the configuration that has it is on its way.
  @fixture.platform_fleet
  Scenario: An entry VM that is behind gets a request on a new route
    When the entry VM of "varna-b" knows of a newer configuration that it doesn't have
    Then the entry VM of "varna-b" refuses a request on the new route with 503 and a retry time
    And its log names the cause "outdated_routes"

  # Guards against an unknown path that callers are told to try again for ever.
  @fixture.platform_fleet
  Scenario: An entry VM in contact gets a request without a route
    Then the entry VM of "varna-b" answers 404 on a path without a route
