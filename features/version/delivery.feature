Feature: Entry VMs get the newest catalogue and detect when they are cut off
  Guards against an entry VM that reverts to an older version, starts from a stale replica or
  treats an old catalogue as current while it is cut off, and against a change that is reported
  as in effect while an entry VM still uses an older version.

  Scenario Outline: Response to a poll
    Given a replica with the history of versions 4 to 9 that is <role>
    When an entry VM polls with version <version>
    Then the poll gets <result>

    Examples:
      | role                                   | version | result              |
      | a leader                               | 9       | nothing             |
      | a leader                               | 12      | nothing             |
      | a leader                               | 6       | versions 7 to 9     |
      | a leader                               | 3       | versions 4 to 9     |
      | a leader                               | 2       | the whole catalogue |
      | a leader                               | -1      | the whole catalogue |
      | a leader whose lease ended             | -1      | no leader           |
      | a leader without an entry of its term  | -1      | no leader           |
      | a follower                             | -1      | the leader varna-1  |
      | a follower                             | 6       | versions 7 to 9     |

  Scenario Outline: Which replicas grant a catalogue lease
    Given a replica with the history of versions 4 to 9 that is <role>
    Then its responses carry <lease>

    Examples:
      | role                             | lease    |
      | a leader                         | a lease  |
      | a leader whose lease ended       | no lease |
      | a leader without an entry of its term | no lease |
      | a follower                       | a lease  |
      | a follower that heard 0.7 s ago  | no lease |
      | a follower that never heard      | no lease |

  Scenario: Delayed messages extend neither a follower's nor the leader's lease
    Given a group of 3 replicas with an accepted change
    When an append request to a follower is delayed for 10 seconds and the later ones are lost
    Then the follower grants no lease when it arrives, and grants one again within 0.5 seconds
    And the follower is normally current as of 150 to 300 ms ago, or 450 ms after a lost heartbeat
    And responses that arrive 0.4 seconds late don't extend the leader's lease

  Scenario: Versions never decrease and deltas lead to the same catalogue as a whole one
    Then with 30 seeds, polls to replicas with different lag never lower a version

  Scenario: The nearest replica is polled, and another one after a failure
    Then replicas are chosen by distance, recent failures and the named leader

  Scenario: VMs spread their polls over replicas at the same distance
    Then of 720 VMs at most 130 poll the same one of 7 equally distant replicas first

  @fixture.session
  Scenario: An isolated VM loses its lease and is listed as isolated
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 3 seconds pass
    Then plovdiv-a-1 is listed as current
    When plovdiv-a-1 is cut off from the control process
    And 0.4 seconds pass
    Then its catalogue lease is running
    When 1.3 seconds pass
    Then its catalogue lease has ended, which was logged 1 time
    And plovdiv-a-1 is listed as isolated
    When the operator adds the entry "docs-svc"
    And the network partition ends
    And 2.0 seconds pass
    Then its catalogue lease is running
    And it uses version 3 and the return of the lease was logged
    When a delayed response with version 2 arrives
    Then it uses version 3 and the return of the lease was logged
    And plovdiv-a-1 is listed as current

  @fixture.session
  Scenario: Shares are granted to VMs and returned at a planned stop
    Given the operator adds the entry "status-svc"
    And 5 seconds pass
    Then the entry VMs hold the shift cap of "status-svc" together
    When sofia-a-1 drains until it has ended
    And 1.2 seconds pass
    Then the other entry VMs hold the shift cap of "status-svc" together

  @fixture.session
  Scenario: Admission uses the permanent and the leased share of the region limit
    Given the operator limits sofia with its 2 VMs to 21 requests in flight
    And 4.5 seconds pass
    Then admission on the VMs of sofia allows 21 requests together and 5 each without a lease
