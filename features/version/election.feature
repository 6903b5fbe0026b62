Feature: Leaders step down in time and elections stay rare
  Guards against two leaders at the same instant and against a replica that disturbs a healthy
  group when it returns.

  Scenario: A leader that is cut off steps down before another one can be chosen
    Given a group of 3 replicas with an accepted change
    When the leader is cut off from the others
    Then it stops leading before another one leads

  Scenario: A replica that returns forces no election
    Given a group of 3 replicas with an accepted change
    When a follower is cut off for 10 seconds and returns
    Then leader and term are those from before

  Scenario: A leader whose disk is full steps down and refuses changes
    Given a group of 3 replicas with an accepted change
    When the disk of the leader is full
    Then another replica leads and the one with the full disk refuses changes by name of the cause
