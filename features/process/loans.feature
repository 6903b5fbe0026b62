Feature: Backend servers that an entry VM lends to the others of its region
  Guards against requests to a server that has left, become cold or moved to another owner, when the
  borrower doesn't learn of it, and against lists that are late or from an earlier process.

  Scenario: A loan expires without contact with the owner
    Given a VM that has borrowed "i-1" and "i-2" from "vm-a" until second 1.2
    Then "i-1" may be used at second 1.1
    And "i-1" may not be used at second 1.2
    When contact with "vm-a" extends its loans until second 1.5
    Then "i-1" may be used at second 1.4

  Scenario: A loan ends well before a confirmed departure must be in effect
    Then a loan lasts 1.2 s if departures take effect within 2.5 s, and 0.5 s if within 1 s

  Scenario Outline: Loans in a region with many VMs allow for less frequent summaries
    Then with <sharers> VMs and departures in effect within <limit> s, a loan ends <reserve> s before and outlasts two summaries by 0.2 s

    Examples:
      | sharers | limit | reserve |
      | 8       | 2.5   | 0.9     |
      | 12      | 2.5   | 0.9     |
      | 25      | 3     | 0.9     |
      | 240     | 3     | 0.9     |
      | 25      | 1.5   | 0.75    |

  Scenario: A server that is no longer listed is no longer borrowed
    Given a VM that has borrowed "i-1" and "i-2" from "vm-a" until second 1.2
    When "vm-a" lists only "i-2"
    Then only "i-2" is known

  Scenario: A server that announced its departure to this VM isn't borrowed again
    Given a VM that has borrowed "i-1" and "i-2" from "vm-a" until second 1.2
    When "i-1" departs from this VM
    And "vm-a" lists "i-1" and "i-2"
    Then only "i-2" is known

  Scenario: An announcement to this VM takes precedence over a loan until its lease ends
    Given a VM that owns "i-1" by its announcement
    When "vm-a" lists "i-1" and "i-2"
    Then "i-1" is owned by this VM
    When the announcements of "i-1" have stopped for a lease and "vm-a" lists it
    Then "i-1" is borrowed from "vm-a"
    When "i-1" announces itself to this VM
    Then "i-1" is owned by this VM

  Scenario: A restarted server counts as a new one
    Given a VM that has borrowed "i-1" and "i-2" from "vm-a" until second 1.2
    When "vm-a" lists a later start of "i-1"
    Then the later start of "i-1" is known, without requests or warm objects
    When "vm-b" lists the earlier start of "i-1"
    Then the later start of "i-1" is known, without requests or warm objects

  Scenario: Cold, suspended, evacuated and borrowed servers aren't lent
    Given a VM that owns a warm, a cold, a suspended and an evacuated server and has borrowed one
    Then it lends only the warm one
    And its list has a new number once the cold one is warm, and the same one after that

  Scenario: A borrowed server that refused a connection gets no requests for one lease
    Given a VM that has borrowed "i-1" and "i-2" from "vm-a" until second 1.2
    When a connection to the borrowed "i-1" is refused
    And contact with "vm-a" extends its loans until second 9
    Then "i-1" may not be used at second 4.4
    And "i-1" may be used at second 4.5

  Scenario Outline: A load report expires soon and can't lower the count below this VM's requests
    Given a server of 6 slots with <own> requests of this VM that reports <reported> in all
    Then it counts as having <now> requests now and <own> after 0.3 s

    Examples:
      | own | reported | now |
      | 2   | 5        | 5   |
      | 2   | 0        | 2   |
      | 3   | 3        | 3   |
      | 0   | 6        | 6   |

  Scenario Outline: Together the VMs of a region have at most twice the slots in flight
    Then a VM may have <share> requests at a server of <slots> slots that <sharers> VMs share

    Examples:
      | slots | sharers | share |
      | 6     | 1       | 6     |
      | 6     | 2       | 6     |
      | 6     | 3       | 4     |
      | 6     | 8       | 2     |
      | 3     | 8       | 1     |
      | 3     | 0       | 3     |

  Scenario: A run that waited in the server's queue doesn't change the expected run times
    Given a server of 6 slots whose expected run times are 0.1 s and 0.3 s
    When a run of 2 s ends there while it has 9 requests
    Then the expected run times are still 0.1 s and 0.3 s
    And the object counts as warm at the server
    When a run of 2 s ends there while it has 5 requests
    Then the expected run times are updated from it

  @fixture.platform_fleet
  Scenario: An entry VM sends to the servers of another zone of its region itself
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When a client of "sofia-a" sends 24 "read" requests about different objects
    Then all of them get 200
    And some of them ran at "status-sofia-b" without forwarding within the region

  @fixture.platform_fleet
  Scenario: A VM that was cut off until its loans were removed borrows again
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When the entry VM of "sofia-a" is cut off from all other VMs
    And 12 s go by on the platform
    And the entry VMs reach each other again
    And 6 s go by on the platform
    And a client of "sofia-a" sends 24 "read" requests about different objects
    Then all of them get 200
    And some of them ran at "status-sofia-b" without forwarding within the region

  @fixture.platform_fleet
  Scenario: A departure confirmed while a borrower is cut off takes effect there in time
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When the entry VM of "sofia-a" is cut off from all other VMs
    And the endpoint "status-sofia-b" says that it is draining
    And 2.5 s go by on the platform
    Then none of 4 "read" requests of "sofia-a" runs at "status-sofia-b"
