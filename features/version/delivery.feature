Feature: Entry VMs get the newest catalogue and know when they don't
  Guards against a VM that goes back to an older version, that starts on a stale replica, that
  takes an old catalogue for current while it is cut off, and against a change that is reported
  as in effect while a VM still runs an older version.

  Scenario Outline: What a poll gets
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

  Scenario Outline: Who gives a lease
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

  Scenario: A held append and a held response make nothing current
    Given a group of 3 replicas with an accepted change
    When an append to a follower is held for 10 seconds and the later ones are lost
    Then the follower gives no lease when it arrives, and gives one again within 0.5 seconds
    And the follower's lease at rest is 150 to 300 ms old, or 450 ms after a lost heartbeat
    And responses that arrive 0.4 seconds late don't extend the leader's lease

  Scenario: Versions never decrease and deltas end at the same catalogue as the whole
    Then 30 seeds of polls to replicas that lag differently never lower a version

  Scenario: The nearest replica is polled and another one after a failure
    Then the choice of replicas follows distance, avoidance and the named leader

  Scenario: VMs spread their polls over replicas at the same distance
    Then of 720 VMs at most 130 poll the same one of 7 equally distant replicas first

  @fixture.session
  Scenario: An isolated VM knows it and the operator sees it
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 3 seconds pass
    Then plovdiv-a-1 is listed as current
    When plovdiv-a-1 is cut off from the control process
    And 0.4 seconds pass
    Then its catalogue lease is running
    When 1.3 seconds pass
    Then its catalogue lease has ended and its log says so 1 time
    And plovdiv-a-1 is listed as isolated
    When the operator adds the entry "docs-svc"
    And the network is whole again
    And 2.0 seconds pass
    Then its catalogue lease is running
    And it runs version 3 and its log says that the lease returned
    When a delayed response brings it version 2
    Then it runs version 3 and its log says that the lease returned
    And plovdiv-a-1 is listed as current

  @fixture.session
  Scenario: Shares reach the VMs and come back at a planned stop
    Given the operator adds the entry "status-svc"
    And 5 seconds pass
    Then the entry VMs hold the shift cap of "status-svc" together
    When sofia-a-1 drains until it has ended
    And 1.2 seconds pass
    Then the other entry VMs hold the shift cap of "status-svc" together

  @fixture.session
  Scenario: Admission uses the permanent part and the leased share of the region's limit
    Given the operator limits sofia with its 2 VMs to 21 requests in flight
    And 4.5 seconds pass
    Then admission on the VMs of sofia may run 21 requests together and 5 each without a lease
