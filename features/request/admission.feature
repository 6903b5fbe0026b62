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

  # Guards against a queue that is refused although the endpoints gain slots while it is served.
  Scenario Outline: The estimate of a queue counts the slots that a ramp-up will add
    Given an owner with 12 slots of which 6 are admitted, and a queue of 64
    And the measured service time is 1000 ms
    And 6 requests run and 54 wait
    When a request with a deadline of <seconds> s asks for a slot
    Then admission decides that it is <decision>

    # The slots grow by one every 0.5 s up to 12, so that 55 requests take 5.5 s, and a run takes 1 s.
    Examples:
      | seconds | decision                 |
      | 10      | queued                   |
      | 6       | refused for its deadline |

  # Guards against requests that are refused in the queue at a change of the leader, although the
  # leased part of the region's limit returns before their deadlines.
  Scenario: A share that has lapsed for a moment doesn't shorten the queue
    Given an owner with 4 slots for each of two services and a region share of 2 that has lapsed
    When requests of the services "low low low low high high" ask for a slot
    Then the decisions are "1 granted; 2 granted" in this order
    And released slots are granted to requests "5 6 3 4"

  # Guards against the same refusal of requests from other regions, and against a shift cap that is
  # exceeded when the share returns.
  Scenario: Shifted requests wait while their share has lapsed, without blocking others
    Given an owner with 4 slots for each of two services and a shift share that has lapsed
    When 2 shifted requests and then one of this region ask for a slot
    Then the decisions are "3 granted" in this order
    When a shift share of 1 returns
    Then the decisions are "3 granted; 1 granted; 2 shift_share_used" in this order

  # Guards against a VM without contact to control VMs that keeps requests for a share which
  # doesn't return.
  Scenario: A lapsed share is awaited for 4 s only
    Then a share is awaited in these cases
      | case                    | awaited |
      | never granted           | no      |
      | its lease lasts         | no      |
      | its lease ended 1 s ago | yes     |
      | its lease ended 5 s ago | no      |

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
