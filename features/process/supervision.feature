Feature: Background tasks after an unexpected error
  Guards against a process that looks alive but no longer polls, reviews its queue or renews loans,
  because a task has ended with an error that nobody saw.

  @fixture.virtual_loop
  Scenario: A task that fails is logged and started again
    Given a background task "polls" that fails twice and then runs
    When 3.5 s go by
    Then the task was started 3 times and still runs
    And the log has 2 errors of the task "polls"

  @fixture.virtual_loop
  Scenario: A task that returns isn't started again
    Given a background task "polls" that returns
    When 3.5 s go by
    Then the task was started 1 time and has ended
    And the log has 0 errors of the task "polls"

  @fixture.platform_fleet
  Scenario: An entry VM survives an error in each of its background tasks
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When an unexpected error occurs once in each background task of the entry VM of "sofia-a"
    And 6 s go by on the platform
    Then a client of "sofia-a" gets 200 for 12 "read" requests
    And each task of that VM that reads the clock was started again
