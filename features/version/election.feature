Feature: Leaders step down in time and elections stay rare
  Guards against two leaders at the same instant and against a replica that disturbs a healthy
  group when it returns.

  Scenario: A leader that is cut off steps down before another one can be elected
    Given a group of 3 replicas with an accepted change
    When the leader is cut off from the others
    Then it stops leading before another one leads

  Scenario: A new leader doesn't mistake instants of the former leader's clock for contact
    Then with the seeds 1 to 8 a second leader steps down in time as well

  Scenario: A replica that returns forces no election
    Given a group of 3 replicas with an accepted change
    When a follower is cut off for 10 seconds and returns
    Then leader and term are unchanged

  Scenario: A follower that reaches only the other follower forces no election
    Given a group of 3 replicas with an accepted change
    When a follower can't reach the leader for 10 seconds
    Then leader and term are unchanged

  Scenario: An entry of an earlier term is committed only with one of the leader's own term
    Given a group of 3 replicas with an accepted change
    When the leader restarts with an entry that the others lack and leads again
    Then acknowledgements of that entry alone commit nothing

  Scenario: A restarted replica grants no vote while its former leader may still have a lease
    Given a group of 3 replicas with an accepted change
    When a follower restarts while the leader is cut off from the other follower
    Then leader and term are unchanged

  # The limit: the longest election timeout, 1.1 s, on a clock that is 5 % slow, minus the 0.4 s
  # that the process took to start, plus pre-vote, vote and first entry at 110 ms each, and two
  # syncs.
  Scenario: The start time of a process counts towards its first election timeout
    Then with the seeds 1 to 50 a group of 5 that restarts within 0.4 s has a leader within 1150 ms

  Scenario: A leader whose disk is full steps down and refuses changes
    Given a group of 3 replicas with an accepted change
    When the disk of the leader is full
    Then another replica leads and the one with the full disk refuses changes and gives the cause

  # The limit: the longest election timeout, 1.1 s, on a clock that is 5 % slow, the last heartbeat,
  # pre-vote, vote and first entry at 110 ms each, and two syncs. Without split votes the longest
  # case takes 1.57 s.
  Scenario Outline: A lost leader is replaced without split votes
    Then with the seeds 1 to 100 <count> replicas have a new leader within 1600 ms of its loss

    Examples:
      | count |
      | 3     |
      | 5     |

  Scenario: A replica that requests votes often but reaches too few voters doesn't block the others
    Then with the seeds 1 to 20 a group of 5 with such a replica gets a new leader within 3000 ms
