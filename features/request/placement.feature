Feature: Placement of requests
  Guards against the loads of the busiest days: few objects on servers that are several times faster
  for objects that they handled recently, more arrivals than slots, servers that slow down or reject,
  and cold servers that fail at their usual request rate.

  Scenario: Requests about an object go to the servers that are warm for it
    Given a simulated VM with 4 servers of 6 slots, 81 objects, 0.36 s cold and 0.108 s warm runs
    When 55 requests per second arrive for 20 s
    Then at least 85 percent are on time with placement by expected time
    And placement by least load has fewer on time

  Scenario: At twice the capacity, the excess is refused early and the rest is on time
    Given a simulated VM with 2 servers of 6 slots, 60 objects, 0.36 s cold and 0.108 s warm runs
    When 220 requests per second arrive for 20 s
    Then at least 35 percent are on time with placement by expected time
    And the median refusal comes at most 0.05 s after arrival
    And no server has more requests in flight than slots

  Scenario: A slow server gets only probes
    Given a simulated VM with 4 servers of 6 slots, 40 objects, 0.36 s cold and 0.108 s warm runs
    And one server takes 8 times as long from second 5 on
    When 55 requests per second arrive for 20 s
    Then the slow server gets less than 8 percent of the requests after second 8

  Scenario: Servers that all reject some requests are still sent requests
    Given 4 servers that all have the failure rate 0.45
    Then a request starts at one of them

  Scenario: A cold server gets less than half of the fleet's rate limit from one VM
    Given 1 cold server with a rate limit of 24.5 requests per second
    When 100 requests are to be placed within a second
    Then at most 12 of them start

  Scenario: A new server gets its first request soon
    Given a server that is warm for the object and a server without any request so far
    Then a request starts at the server without any request

  Scenario: Urgent requests go first, and late ones last
    Given a full server and waiting requests of rank 2, 0 and 1, and one that is already late
    When a slot is free four times
    Then they start in the order 0, 1, 2, late

  Scenario: A request that can't meet its deadline is refused immediately
    Given a full server and 40 waiting requests
    When a request arrives whose deadline is 0.2 s away
    Then it is refused with a delay after which to retry

  Scenario: A forwarded request keeps its home regions
    Given a VM of "sofia" that owns a server of "varna" only
    When a request that may run only in "sofia" is forwarded to it
    Then it gets no placement
