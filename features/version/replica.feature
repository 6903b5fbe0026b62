Feature: Replicas keep every accepted change
  Guards against an accepted change that is lost, reverted or accepted twice, and against two
  leaders, when replicas crash, lose disks or messages, or are cut off from each other.

  Scenario Outline: Random faults break no rule
    When <count> replicas run through random faults with the seeds <first> to <last>
    Then none of these runs broke a rule

    Examples:
      | count | first | last |
      | 3     | 1     | 15   |
      | 5     | 1     | 15   |

  Scenario: A second disk is lost just after the first was replaced
    Given a group of 3 replicas with an accepted change
    When the disk of a follower is replaced and its replacement becomes a member
    And the disk of the other follower is lost
    Then the accepted change is still there and a new one is accepted

  Scenario: A leader counts its own entry only once it is synced
    Given a group of 3 replicas with an accepted change
    When one follower is down and the disk of the leader takes 400 ms to sync
    Then a change is accepted only after that time

  Scenario: Two of three blank replicas form no group
    Given 3 blank replicas of which one doesn't run
    When 20 seconds pass in the group
    Then the group has no leader

  Scenario: A blank replacement forms no majority with one old replica
    Given a group of 3 replicas with an accepted change
    When two replicas stop and one of them comes back with a blank disk
    And 20 seconds pass in the group
    Then the group has no leader

  Scenario: A data folder that is created later forms no group of its own
    Given a group of 3 replicas with an accepted change
    When the replica with the lowest name comes back with a blank disk and is cut off
    And 20 seconds pass in the group
    Then the blank replica has no members and leads nothing

  Scenario: Members change one at a time and only when they have caught up
    Given a group of 3 replicas with an accepted change
    Then a learner that is cut off isn't promoted and a second change has to wait

  Scenario Outline: A resent change gets its first outcome
    Given a group of 3 replicas with an accepted change
    When in the group, <event> happens
    Then the accepted and the refused change get their first outcomes when sent again

    Examples:
      | event             |
      | nothing           |
      | a leader change   |
      | a snapshot        |
      | a restart of all  |
