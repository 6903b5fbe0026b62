Feature: Failures in whole deployments under load
  Each session runs a deployment at its own size and delays under load and injects a failure. It
  guards against guarantees that hold for each component and break when all of them interact.

  Scenario: An entry VM dies in the middle of payments
    Given the deployment "vodna-vrazka" with requests of 1000 ms
    When callers send 60 percent of the slot capacity of "filing-svc, status-svc"
    And 3 seconds of the session pass
    And the entry VM "plovdiv-a-1" dies
    And 10 seconds of the session pass
    Then the service guarantees held
    And every caller of another VM than "plovdiv-a-1" was served
    And the session matches the golden file "lost_entry_vm.txt"

  # The VM that dies also leads the control VMs, so that leased shares lapse from 2 to 4 s after its
  # death. Guards against requests that are refused meanwhile: 38 and 46 were, with these seeds.
  Scenario Outline: An entry VM dies in the middle of payments, with other arrivals
    Given the deployment "vodna-vrazka" with requests of 1000 ms and the seed <seed>
    When callers send 60 percent of the slot capacity of "filing-svc, status-svc"
    And 3 seconds of the session pass
    And the entry VM "plovdiv-a-1" dies
    And 10 seconds of the session pass
    Then the service guarantees held
    And every caller of another VM than "plovdiv-a-1" was served

    Examples:
      | seed |
      | 3    |
      | 8    |

    # A slot is released when the connection is reset, before the server has noticed it.
    @known_red
    Examples: Slots exceeded at the instant of the death
      | seed |
      | 2    |
      | 18   |

  Scenario: An availability zone is cut off for 10 minutes and returns
    Given the deployment "le-goff" with only "commandes" on 6 endpoints, with requests of 500 ms
    When the availability zone "londres-b" is cut off
    And callers inside "londres-b" and outside send 1 request a second each for 600 seconds
    And the cut ends
    And 10 seconds of the session pass
    Then the service guarantees held
    And the session matches the golden file "cut_off_zone.txt"

  Scenario Outline: A region is lost at 70 percent load
    Given the deployment "<deployment>" with requests of 1000 ms
    When callers send 70 percent of the slot capacity of "<services>"
    And 3 seconds of the session pass
    And the region "<region>" is lost
    And 10 seconds of the session pass
    Then the service guarantees held
    And the session matches the golden file "lost_region_<deployment>.txt"

    Examples:
      | deployment   | services                        | region        |
      | vodna-vrazka | filing-svc, docs-svc, gis-svc   | varna         |
      | le-goff      | commandes, croquis, nuancier    | ile-de-france |

  Scenario: An availability zone is drained under load
    Given the deployment "vodna-vrazka" with requests of 1000 ms
    When callers send 40 percent of the slot capacity of "filing-svc, gis-svc"
    And 3 seconds of the session pass
    And the operator drains the availability zone "sofia-b"
    And 15 seconds of the session pass
    Then the service guarantees held
    And no request failed
    And the session matches the golden file "drained_zone.txt"

  Scenario: Half of the endpoints refuse connections
    Given the deployment "le-goff" with requests of 1000 ms
    When callers send 40 percent of the slot capacity of "vitrine"
    And 3 seconds of the session pass
    And every second endpoint of "vitrine" refuses connections
    And 10 seconds of the session pass
    Then the service guarantees held
    And the session matches the golden file "half_refuse.txt"
