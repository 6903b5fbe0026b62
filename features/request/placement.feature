Feature: Where a request starts, waits, or is refused
  Guards against the loads that decide the heavy days: few objects on servers that are several times
  faster for objects that they know, more arrivals than slots, servers that slow down or reject, and
  cold servers that break when they get their usual rate.

  Scenario: Objects meet again at the servers that know them
    Given a simulated VM with 4 servers of 6 slots, 81 objects, 0.36 s cold and 0.108 s known runs
    When 55 requests a second arrive for 20 s
    Then at least 85 percent are on time by expected time
    And least load puts fewer on time

  Scenario: Twice the load that fits is refused early, and the rest is on time
    Given a simulated VM with 2 servers of 6 slots, 60 objects, 0.36 s cold and 0.108 s known runs
    When 220 requests a second arrive for 20 s
    Then at least 35 percent are on time by expected time
    And no refusal comes later than 0.05 s after arrival at the median
    And no server has more requests than slots

  Scenario: A slow server gets only probes
    Given a simulated VM with 4 servers of 6 slots, 40 objects, 0.36 s cold and 0.108 s known runs
    And one server takes 8 times as long from second 5 on
    When 55 requests a second arrive for 20 s
    Then the slow server gets less than 8 percent of the requests after second 8

  Scenario: Servers that all reject some requests go on getting requests
    Given 4 servers whose failures are all 0.45
    Then a request starts at one of them

  Scenario: A cold server gets less than half of the fleet's bound a second
    Given 1 cold server whose bound is 24.5 requests a second
    When 100 requests ask for a place within a second
    Then at most 12 of them start

  Scenario: A new server gets its first request soon
    Given a server that knows the object and a server that has had no request
    Then a request starts at the server that has had none

  Scenario: Urgent requests go first, and late ones last
    Given a full server and waiting requests of rank 2, 0 and 1, and one that is already late
    When a slot is free four times
    Then they start in the order 0, 1, 2, late

  Scenario: A request that can't be served in time is refused at once
    Given a full server and 40 waiting requests
    When a request arrives whose deadline is 0.2 s away
    Then it is refused with a time to return

  Scenario: A passed request keeps its home regions
    Given a VM of "sofia" that owns a server of "varna" only
    When a request that may run only in "sofia" is passed to it
    Then it finds no place
