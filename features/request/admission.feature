Feature: Admission at the owner of endpoints
  Guards against more requests in flight than the announced slots or the region's share, against
  low classes that displace high ones under overload, and against slots spent on requests that
  can't meet their deadline.

  Scenario: A full queue refuses the newest request of the lowest class
    Given an owner with 1 slot and a queue of 2
    When requests of the classes "interactive deferrable deferrable upload critical deferrable" ask for a slot
    Then the decisions are "1 granted; 3 shed_by_class; 2 shed_by_class; 6 queue_full" in this order
    And released slots are granted to requests "5 4"

  Scenario: Released slots are granted to queued requests in the order of their classes
    Given an owner with 1 slot and a queue of 8
    When requests of the classes "interactive deferrable interactive upload critical critical" ask for a slot
    Then released slots are granted to requests "5 6 4 3 2"

  Scenario: A scarce region share goes to the highest class over all services
    Given an owner with 4 slots for each of two services and a region share of 2
    When requests of the services "low low low low high high" ask for a slot
    Then the decisions are "1 granted; 2 granted; 4 shed_by_class; 3 shed_by_class" in this order
    And released slots are granted to requests "5 6"

  Scenario: A request that can't meet its deadline is refused before it acquires a slot
    Given an owner with 1 slot and a queue of 8
    And the measured service time is 200 ms
    When requests with the deadlines "1000 150 390 500 590" ms ask for a slot
    Then the decisions are "1 granted; 2 deadline; 3 deadline; 5 deadline" in this order

  Scenario Outline: Any mix of arrivals, releases and withdrawals keeps slots, shares and tickets
    Then <steps> random steps keep the limits of the owner for each of 40 seeds

    Examples:
      | steps |
      | 300   |

  Scenario: No interval of one second has more shifted requests than the share
    Then random arrivals over 20 seconds never exceed a share of 7 in any second for 50 seeds

  Scenario: A load report can only lower the rank, and a stale one is ignored
    Given two idle endpoints of which "a" reports 3 of 4 slots busy
    Then the endpoint "b" is chosen
    When "a" has sent the same report 10 more times
    Then the endpoint "a" is chosen
    When "a" has just failed
    Then the endpoint "b" is chosen

  Scenario: An older load report doesn't replace the newest one
    Given two idle endpoints of which "a" reports 8 of 8 slots busy
    When an older report of "a" with 0 busy slots arrives late
    Then the endpoint "b" is chosen
