Feature: Replicas keep every accepted change
  Guards against an accepted change that is lost, reverted or accepted twice, and against two
  leaders, when replicas crash, lose disks or messages, or are cut off from each other.

  Scenario Outline: Invariants hold under random faults
    When <count> replicas run under random faults with the seeds <first> to <last>
    Then no run violated an invariant

    Examples:
      | count | first | last |
      | 3     | 1     | 15   |
      | 5     | 1     | 15   |

  Scenario: A second disk is lost just after the first was replaced
    Given a group of 3 replicas with an accepted change
    When the disk of a follower is replaced and its replacement becomes a member
    And the disk of the other follower is lost
    Then the accepted change is preserved and a new one is accepted

  Scenario: A leader counts its own copy of an entry only once it is synced
    Given a group of 3 replicas with an accepted change
    When one follower is down and the disk of the leader takes 400 ms to sync
    Then a change is accepted only after that time

  Scenario: Two of three blank replicas don't bootstrap a group
    Given 3 blank replicas of which one doesn't run
    When 20 seconds pass in the group
    Then the group has no leader

  Scenario: A blank replacement and one old replica are no majority
    Given a group of 3 replicas with an accepted change
    When two replicas stop and one of them comes back with a blank disk
    And 20 seconds pass in the group
    Then the group has no leader

  Scenario: A replica with a new data folder doesn't bootstrap a second group
    Given a group of 3 replicas with an accepted change
    When the replica with the lowest name comes back with a blank disk and is cut off
    And 20 seconds pass in the group
    Then the blank replica has no members and isn't a leader

  Scenario: Membership changes one at a time, and only replicas that have caught up are promoted
    Given a group of 3 replicas with an accepted change
    Then a learner that is cut off isn't promoted and a second change has to wait

  Scenario Outline: A resent change gets its original outcome
    Given a group of 3 replicas with an accepted change
    When in the group, <event> happens
    Then the accepted and the refused change get their original outcomes when resent

    Examples:
      | event             |
      | nothing           |
      | a leader change   |
      | a snapshot        |
      | a restart of all  |
