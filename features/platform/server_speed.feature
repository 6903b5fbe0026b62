Feature: Endpoints that report the speed of their machines
  Guards against reports that don't reach the choice of an endpoint, and against metrics that show
  nothing of what was learned.

  # Guards against starts of runs that are kept after their end, and against reports that are lost.
  @fixture.platform_fleet
  Scenario: Speeds are learned and exposed
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And the "status" endpoints state the load "1,0,4,100"
    When clients of each zone send 10 "read" requests a second for 6 s
    Then all of these requests get 200
    And each entry VM has learned the run times of "status" and no others
    And no entry VM keeps the start of a run
    And the metrics of each entry VM show the mean, the percentiles and the age of the reports
    And no service has admission under scarce capacity

  # Guards against a setting that is read and used by nothing.
  @fixture.platform_fleet
  Scenario: The settings enable admission under scarce capacity
    Given settings that name "status" as a scarce service
    And a fleet with an endpoint of each service in each zone
    Then only "status" has admission under scarce capacity

  # Guards against work and metrics for deployments whose endpoints report no speed.
  @fixture.platform_fleet
  Scenario: Nothing is learned without a reported speed
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And the "status" endpoints state the load "1,0,4"
    When clients of each zone send 10 "read" requests a second for 2 s
    Then all of these requests get 200
    And no entry VM has learned run times
