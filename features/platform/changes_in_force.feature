Feature: Changes that are acknowledged to the operator
  Guards against an acknowledged change that isn't in force at the entry VMs.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force

  # Guards against a new route that entry VMs answer with 404 after all control VMs were lost.
  @fixture.platform_fleet
  Scenario Outline: All control VMs are killed when a change is acknowledged
    Given 5 s go by on the platform
    When <change> is acknowledged, and all control VMs are killed at that moment
    Then each entry VM <result>

    Examples:
      | change                              | result                                      |
      | configuration 2 with a new route    | serves a request on the new route           |
      | configuration 2 without the route   | answers 404 on the dropped route            |
      | the evacuation of "sofia-a"         | sends nothing to the endpoints of "sofia-a" |

  # Guards against an operator that waits for an entry VM that doesn't respond.
  @fixture.platform_fleet
  Scenario: An entry VM is cut off
    Given 5 s go by on the platform
    And the entry VM of "varna-b" is cut off from the control VMs
    When the operator sends configuration 2 with a new route
    Then it is acknowledged within 0.9 s
    And a control VM has logged that "front-varna-b-2" hasn't confirmed it

  # Guards against a wait that blocks the process once an entry VM is lost.
  @fixture.platform_fleet
  Scenario Outline: An entry VM is killed while another one is waited for
    Given 5 s go by on the platform
    And the entry VM of "varna-b" is cut off from the control VMs
    And the entry VM of "<killed>" is killed <seconds> s later
    When the operator sends configuration 2 with a new route
    Then it is acknowledged within 0.9 s

    Examples:
      | killed    | seconds |
      | varna-a   | 0.3     |
      | varna-a   | 0.45    |
      | varna-a   | 0.55    |
      | sofia-a   | 0.45    |
      | plovdiv-a | 0.45    |

  # Guards against a wait that lasts until its limit although all entry VMs have the change.
  @fixture.platform_fleet
  Scenario: All entry VMs respond
    Given 5 s go by on the platform
    When the operator sends configuration 2 with a new route
    Then it is acknowledged within 0.9 s
    And no control VM has logged that an entry VM hasn't confirmed it
