Feature: Replicas that are far behind catch up
  Guards against a replica that can't catch up once its missing entries are no longer in the
  leader's log.

  Scenario: A replica catches up after 1,000 missed changes
    Given a group of 3 replicas with an accepted change
    When a follower misses 1300 changes and returns
    Then it catches up from a snapshot and the log within 3 seconds

  Scenario: The history stays readable after a snapshot
    Given a replica that put and removed one entry of each kind, and was refused one change
    When a snapshot replaces its log and the replica starts again from it
    Then the history lists what each accepted change did
