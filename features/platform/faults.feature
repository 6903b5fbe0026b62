Feature: Responses to clients, endpoints and operators stay correct when something fails
  Guards against requests that run twice, false refusals, responses that are truncated or belong to
  another request, and requests to endpoints that have departed.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force

  @fixture.platform_fleet
  Scenario Outline: One request while all endpoints of its service fail
    Given the endpoints of "<service>" <fault>
    When a client of "sofia-a" sends one "<kind>" request
    Then it gets <status> and the request ran <runs>

    Examples:
      | service | fault                               | kind | status | runs          |
      | filing  | reset connections after the run     | file | 502    | once          |
      | status  | reset connections after the run     | read | 502    | at most twice |
      | filing  | cut answers short                   | file | 502    | once          |
      | status  | cut answers short                   | read | 502    | at most twice |
      | filing  | reject everything                   | file | 503    | never         |
      | status  | reject everything                   | read | 503    | never         |
      | filing  | send another answer before each one | file | 200    | once          |
      | filing  | never answer                        | file | 504    | once          |
      | filing  | write an earlier refusal first      | file | 200    | once          |
      | filing  | write an unnamed refusal first      | file | 200    | once          |
      | filing  | write an unnamed success first      | file | 200    | once          |

  @fixture.platform_fleet
  Scenario Outline: Bytes without a named request on a connection that is used again
    Given a client of "sofia-a" sends 6 "file" requests about different objects
    And the endpoints of "filing" <fault>
    When a client of "sofia-a" sends 6 "file" requests about different objects
    Then all of them get the response of their own run

    Examples:
      | fault                          |
      | write an unnamed refusal first |
      | write an unnamed success first |
      | write an earlier refusal first |

  @fixture.platform_fleet
  Scenario Outline: An endpoint sends bytes without end
    Given the endpoints of "filing" send <bytes> without end
    When a client of "sofia-a" sends one "file" request
    Then it gets 502 and the request ran once
    And its endpoint could write at most 256 KiB
    And all of 6 "read" requests of "sofia-a" get 200 within 0.4 s

    Examples:
      | bytes                       |
      | one header                  |
      | headers                     |
      | status 100                  |
      | status 103                  |
      | a chunk size                |
      | the body of another request |
      | other responses             |
      | no HTTP                     |

  @fixture.platform_fleet
  Scenario: The body of a response doesn't end
    Given the endpoints of "filing" send a body without end
    When a client of "sofia-a" sends one "file" request and reads its response
    Then it gets no complete response
    And its endpoint can write nothing more after 2.3 s

  # Guards against a head that ends early and is passed on as a complete response.
  @fixture.platform_fleet
  Scenario Outline: An endpoint stops in the middle of the head of its response
    Given each endpoint of "filing" closes the connection after each number of bytes of a head with <framing>
    When a client of "<zone>" sends one "file" request for each of these numbers
    Then none of them gets a success, and each of them gets 502

    Examples:
      | zone    | framing                    |
      | sofia-a | no framing                 |
      | sofia-a | Content-Length: 0          |
      | sofia-a | Content-Length: 120        |
      | sofia-a | Transfer-Encoding: chunked |

  # Entry VMs have their whole part of the retry budget only after its first window, which is 10 s.
  @fixture.platform_fleet
  Scenario: An idempotent request whose endpoint fails is served by another one
    Given 10 s go by on the platform
    And the endpoint "status-sofia-a" resets connections after the run
    When a client of "sofia-a" sends 6 "read" requests about different objects
    Then all of them get 200

  @fixture.platform_fleet
  Scenario: A request that may run only once isn't retried after it may have run
    Given the endpoint "filing-sofia-a" resets connections after the run
    When a client of "sofia-a" sends 6 "file" requests about different objects
    Then each of them ran once at most, and those without 200 got 502

  @fixture.platform_fleet
  Scenario: A request that no entry VM can admit is forwarded only a limited number of times
    Given the endpoints of "status" never answer
    When a client of "sofia-a" sends 80 "read" requests about different objects
    Then some of them got 503
    And none of them was forwarded to more than 2 other VMs
    And the log states the use of the slots on which each placement was based

  @fixture.platform_fleet
  Scenario: A failed download is repeated at another endpoint
    Given the operator submits a configuration in which "read" has the kind "download"
    And the endpoint "status-sofia-a" resets connections after the run
    When a client of "sofia-a" sends 6 "read" requests about different objects
    Then all of them get 200

  @fixture.platform_fleet
  Scenario: A request is cancelled at the endpoint when its client disconnects
    Given the endpoints of "status" never answer
    When a client of "sofia-a" sends one "read" request and disconnects after 0.3 s
    Then no endpoint runs it 0.5 s later

  @fixture.platform_fleet
  Scenario: The queue is reviewed only while requests are queued
    When 2 s go by on the platform
    Then no entry VM reviews its queue within 2 s
    When a client of "sofia-a" sends 60 "read" requests about different objects
    Then some of them got 200
    And no entry VM reviews its queue within 2 s

  @fixture.platform_fleet
  Scenario: A draining endpoint gets no more requests once its heartbeat is acknowledged
    When the endpoint "status-sofia-a" says that it is draining
    Then its call is acknowledged
    And none of 12 "read" requests of "sofia-a" runs at this endpoint

  @fixture.platform_fleet
  Scenario: An endpoint that leaves while connections to it are being opened gets no request
    Given connections to "status-sofia-a" take 0.3 s to open
    When it says that it is draining 0.1 s after a client of "sofia-a" sent 12 "read" requests
    Then all of them get 200
    And none of them ran at "status-sofia-a"

  @fixture.platform_fleet
  Scenario: An entry VM that is suspended past a deadline doesn't send the request afterwards
    Given connections to "status-sofia-a" take 0.3 s to open
    And no other "status" endpoint accepts connections
    When the entry VM of "sofia-a" is suspended for 5 s, 0.1 s after a client sent a "read" request
    Then the client gets 503
    And none of them ran at "status-sofia-a"

  @fixture.platform_fleet
  Scenario: A departure that a control VM receives takes effect at the owner
    When the endpoint "status-sofia-a" departs through the control VM of "varna-a"
    Then its call is acknowledged
    And none of 12 "read" requests of "sofia-a" runs at this endpoint

  @fixture.platform_fleet
  Scenario: A departure takes effect at an owner in another region
    When the entry VM of "varna-a" is killed
    And the entry VM of "varna-b" is killed
    And 8 s go by on the platform
    And the endpoint "status-varna-a" departs through the control VM of "varna-a"
    Then its call is acknowledged
    And none of 24 "read" requests of "sofia-a" runs at this endpoint
    And none of 24 "read" requests of "plovdiv-a" runs at this endpoint

  @fixture.platform_fleet
  Scenario: A cut-off control VM doesn't acknowledge a departure
    Given the control VM of "varna-a" is cut off from the others
    And 3 s go by on the platform
    When the endpoint "status-sofia-a" departs through the control VM of "varna-a"
    Then its call isn't acknowledged

  # Guards against a group without a leader whose logs don't tell why.
  @fixture.platform_fleet
  Scenario: A control VM without a leader logs what it has heard
    Given the control VM of "varna-a" is cut off from the others
    And 6 s go by on the platform
    Then it has logged once that it hears from no leader, and that it received nothing
    And the other control VMs haven't logged this

  @fixture.platform_fleet
  Scenario: The endpoints of a killed entry VM get another owner
    When the entry VM of "sofia-a" is killed
    And 6 s go by on the platform
    And a client of "sofia-b" sends 12 "read" requests about different objects
    Then all of them get 200
    And "status-sofia-a" has another owner

  @fixture.platform_fleet
  Scenario: A stopping entry VM responds to every request that it has received
    When a client of "sofia-a" sends 6 "read" requests while its entry VM stops
    Then all of them get 200
    And the process ends within 5 s
    And the lookup response doesn't contain its address

  # Guards against requests that are taken late in a planned stop and cut when the process exits.
  @fixture.platform_fleet
  Scenario: A stopping entry VM takes only requests that can end before it exits
    Given configuration 2 with a time limit of 3500 ms, and endpoints that take 3.2 s
    When a client of "sofia-a" sends a "file" request each 0.2 s on open connections while its entry VM stops
    Then each of them gets 200, or 503 at once with a time to return
    And those with 503 never ran
    And some of them got 200, and some of them 503

  # Guards against requests that wait for a slot when the process is told to stop, are sent although
  # they may not end before its exit, and are cut there (review/10).
  @fixture.platform_fleet
  Scenario Outline: A stopping entry VM refuses requests that wait and might not end in time
    Given configuration 2 with a time limit of 8000 ms in "sofia", and endpoints that take 6.5 s
    And 8 "read" requests of "sofia-a" and then 3 of "<zone>" have been sent 0.3 s ago
    When the entry VM of "sofia-a" stops
    Then those of the last 3 that no endpoint ran by then get <status> within <seconds> s

    Examples:
      | zone    | status     | seconds |
      | sofia-a | 503        | 0.2     |
      | varna-a | 503 or 200 | 7       |

  @fixture.platform_fleet
  Scenario: An evacuated zone gets no requests until the evacuation ends
    When the operator evacuates "sofia-a"
    And 3 s go by on the platform
    Then none of 12 "read" requests of "sofia-a" runs at "status-sofia-a"
    When the operator ends the evacuation of "sofia-a"
    And 3 s go by on the platform
    Then some of 12 "read" requests of "sofia-a" run at "status-sofia-a"

  @fixture.platform_fleet
  Scenario: Requests with home regions run only there
    When the operator submits a configuration in which "read" may run only in "varna"
    Then all of 12 "read" requests of "sofia-a" run in "varna"

  @fixture.platform_fleet
  Scenario Outline: Configurations that change nothing
    When the operator tries to submit <configuration>
    Then the answer is <status> and configuration 1 is read back

    Examples:
      | configuration                      | status |
      | configuration 1 again              | 200    |
      | configuration 1 with other content | 200    |
      | configuration 0                    | 200    |
      | an invalid configuration 9         | 400    |
      | half a configuration               | 400    |

  @fixture.platform_fleet
  Scenario Outline: Invalid input
    When the input <input> reaches the <listener> listener
    Then the answer is <status> or the connection is closed
    And a client of "sofia-a" is still served

    Examples:
      | input                         | listener | status |
      | a head with two lengths       | front    | 400    |
      | a broken chunk size           | front    | 400    |
      | a head over the limit         | front    | 431    |
      | bytes that aren't HTTP        | front    | 400    |
      | 200000 brackets as heartbeat  | control  | 400    |
      | 200000 brackets as heartbeat  | inner    | 400    |
      | bytes that aren't HTTP        | control  | 400    |
      | bytes that aren't HTTP        | lookup   | 400    |
      | a path that doesn't exist     | control  | 404    |
      | a head that stops             | front    | 408    |
      | a head that stops             | control  | 408    |
      | a head in single bytes        | inner    | 408    |

  @fixture.platform_fleet
  Scenario: An entry VM that owns endpoints of a lost region doesn't use them for requests with other home regions
    When the entry VM of "varna-a" is killed
    And the entry VM of "varna-b" is killed
    And 6 s go by on the platform
    And the operator submits a configuration in which "read" may run only in "sofia"
    Then all of 6 "read" requests of "plovdiv-a" run in "sofia"
    And all of 6 "read" requests of "sofia-a" run in "sofia"
