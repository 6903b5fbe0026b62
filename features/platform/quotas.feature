Feature: Quotas on the whole path
  Guards against entry VMs and control VMs whose decisions on quotas are right, but which don't apply
  them to the requests of callers.

  # Guards against a limit that isn't kept, and against callers that aren't told when to retry.
  @fixture.platform_fleet
  Scenario Outline: An organisation gets its limit, and a 429 with a retry time beyond it
    Given a fleet whose callers belong to an organisation with a limit of 20 requests a second
    And a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When its callers send 100 requests a second for 16 s, and after 8 s <event>
    Then in no window more of them run than the bound allows, and at least nine tenths of the limit
    And all others get 429 with a retry time, and are counted and logged for the organisation

    Examples:
      | event                                |
      | nothing happens                      |
      | the leader of the control VMs is killed |

  # Guards against shares of a stopped VM that nobody can use until their lease ends.
  @fixture.platform_fleet
  Scenario: A VM that stops returns its shares
    Given a fleet whose callers belong to an organisation with a limit of 20 requests a second
    And a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When its callers send 100 requests a second for 6 s, and after 3 s nothing happens
    And the entry VM of "sofia-a" is stopped
    Then the leader has nothing reserved for it one window later

  # Guards against timers, messages and log lines in deployments without limits.
  @fixture.platform_fleet
  Scenario: Without a limit nothing is renewed
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When 5 seconds pass
    Then no control VM has received a renewal of shares
