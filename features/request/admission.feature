Feature: Admission at the owner of endpoints
  Guards against more requests in flight than announced slots or than the region's share, against
  low classes that take the place of high ones under overload, and against slots spent on requests
  whose deadline can't be met.

  Scenario: A full queue refuses the newest request of the lowest class
    Given an owner with 1 slot and a queue of 2
    When requests of the classes "interactive deferrable deferrable upload critical deferrable" ask for a slot
    Then the admission gave "1 granted; 3 shed_by_class; 2 shed_by_class; 6 queue_full" in this order
    And the released slot goes to requests "5 4"

  Scenario: Waiting requests get released slots in the order of their classes
    Given an owner with 1 slot and a queue of 8
    When requests of the classes "interactive deferrable interactive upload critical critical" ask for a slot
    Then the released slot goes to requests "5 6 4 3 2"

  Scenario: A short region share goes to the highest class over all services
    Given an owner with 4 slots for each of two services and a region share of 2
    When requests of the services "low low low low high high" ask for a slot
    Then the admission gave "1 granted; 2 granted; 4 shed_by_class; 3 shed_by_class" in this order
    And the released slot goes to requests "5 6"

  Scenario: A deadline that can't be met is refused before a slot is taken
    Given an owner with 1 slot and a queue of 8
    And its requests take 200 ms as measured
    When requests with the deadlines "1000 150 390 500 590" ms ask for a slot
    Then the admission gave "1 granted; 2 deadline; 3 deadline; 5 deadline" in this order

  Scenario Outline: Any mix of arrivals, releases and withdrawals keeps slots, shares and tickets
    Then <steps> random steps keep the limits of the owner for each of 40 seeds

    Examples:
      | steps |
      | 300   |

  Scenario: No second holds more shifted requests than the share
    Then random arrivals over 20 seconds never pass a share of 7 in any second for 50 seeds

  Scenario: A load report can only lower the rank and a stale one has no weight
    Given two idle endpoints of which "a" reports 3 of 4 slots busy
    Then the endpoint "b" is chosen
    When "a" has sent the same report 10 more times
    Then the endpoint "a" is chosen
    When "a" has just failed
    Then the endpoint "b" is chosen

  Scenario: A load report from the past doesn't replace the newest one
    Given two idle endpoints of which "a" reports 8 of 8 slots busy
    When an older report of "a" with 0 busy slots arrives late
    Then the endpoint "b" is chosen
