Feature: Steering of requests between entry VMs
  Guards against retries that multiply an overload, against slots exceeded when several entry VMs send
  to one owner, and against a "not run" for a request that ran.

  @fixture.session
  Scenario: Several entry VMs send to one owner at once
    Given the owner has the endpoint "gis-1" with 3 slots and a queue of 30 for "gis-svc"
    When each entry VM gets 20 requests for "gis-svc" at once
    Then the endpoint never ran more than 3 requests at once and ran some from each entry VM
    And exactly the requests that got status 200 were run
    And all other requests were refused as not run

  @fixture.session
  Scenario: A region other than the caller's serves no more than the shift share
    Given the owner has the endpoint "gis-1" with 20 slots and a queue of 8 for "gis-svc"
    And the owner's shift share of "gis-svc" is 5
    When each entry VM gets 20 requests for "gis-svc" at once
    Then entry VM 2 served 5 requests and refused the rest with "shift_cap"

  @fixture.session
  Scenario Outline: Half of the endpoints refuse connections
    Given the owner has the endpoints "1 2" that serve and "3 4" that refuse connections
    When callers send 400 requests of <time> ms for "gis-svc" over 20 seconds
    Then the attempts stay within 110 percent of the requests
    And exactly the requests that got status 200 were run
    And all other requests were refused as not run

    # At 400 ms the requests need all slots of the endpoints that serve.
    Examples:
      | time |
      | 300  |
      | 400  |

  @fixture.session
  Scenario: Half of the endpoints refuse and the others have free slots
    Given the owner has the endpoints "1 2" that serve and "3 4" that refuse connections
    When callers send 400 requests of 300 ms for "gis-svc" over 20 seconds
    Then at least 95 percent of the requests got status 200

  @fixture.session
  Scenario Outline: Only requests that can be repeated safely are retried
    Given endpoints of "gis-svc" that break the connection after the request, <lease> catalogue lease
    When a caller sends <method> "/s/gis-svc/maps/1" to the owner
    Then the request was sent <times> times
    And the caller got "backend_failed", "unknown" and the reason "<reason>"

    Examples:
      | method | lease   | times | reason                |
      | GET    | with a  | 2     | refused               |
      | POST   | with a  | 1     | refused               |
      | GET    | without | 1     | catalogue_lease_ended |

  @fixture.session
  Scenario: A refused retry doesn't turn an unknown outcome into "not run"
    Given endpoints of "gis-svc" that break the connection after the request, with a catalogue lease
    And entry VM 1 is listed with slots of "gis-svc" but has none
    When a caller sends GET "/s/gis-svc/maps/1" to the owner
    Then the request was sent 1 times
    And the caller got "backend_failed", "unknown" and the reason "no_live_endpoint"

  @fixture.session
  Scenario: A request whose deadline passes in the queue is removed from it
    Given the owner has the endpoint "gis-1" with 1 slots and a queue of 8 for "gis-svc"
    When a caller with 30 ms left waits behind a request of 500 ms for "gis-svc"
    Then the caller got "deadline_passed_in_queue", "not_run" and the reason "deadline"
    And the queue is empty and only the first request was run

  @fixture.session
  Scenario: A forwarded upload sends no body byte before it is admitted
    Given the owner refuses uploads for "gis-svc" as its only slot is in use
    When a caller of entry VM 1 uploads 50000 bytes for "gis-svc"
    Then the upload was refused as "overloaded" and entry VM 1 read no byte of it

  @fixture.session
  Scenario: Callers and endpoints can't forge internal headers
    Given the owner has an endpoint of "gis-svc" that returns the headers it got
    When a caller of entry VM 1 sends the header "camphorspread-caller-region" and a traceparent
    Then the endpoint got the traceparent, the time left and no other internal header
    And the endpoint's own "camphorspread-outcome" header did not reach the caller
