Feature: Endpoints that ask for a pause when they reject a request
  An endpoint that rejects a request may state for how long it wants no requests of the entry VM
  that sent it.

  # Guards against a load that ends a task, or changes an estimate, because it can't be read.
  Scenario Outline: What a response states about the load
    Given a response with the load header "<header>"
    Then its load is read as <meaning>

    Examples:
      | header          | meaning               |
      | 3,0,8           | 3 0 8 without a speed |
      | 3, 1 ,8         | 3 1 8 without a speed |
      | 3,0,many        | 3 0 0 without a speed |
      | 3,0,8,100       | 3 0 8 with speed 1    |
      | 3,0,8, 250      | 3 0 8 with speed 2.5  |
      | 3,0,8,62.5      | 3 0 8 with speed 0.625 |
      | 3,0,8,0         | 3 0 8 with speed 0    |
      | 3,0,8,250,x,y   | 3 0 8 with speed 2.5  |
      | 3,0             | unreadable            |
      | 3,0,8,          | unreadable            |
      | 3,0,8,fast      | unreadable            |
      | 3,0,8,-250      | unreadable            |
      | 3,0,8,nan       | unreadable            |
      | 3,0,8,1e9       | unreadable            |
      | -3,0,8,100      | unreadable            |
      | 3.5,0,8,100     | unreadable            |
      | 9999999999,0,8  | unreadable            |
      | busy            | unreadable            |

  # Guards against a pause that no rejection states, and against one without a sensible end.
  Scenario Outline: What a response states about a pause
    Given a response <status> <run> with the retry headers "<headers>"
    Then its pause is read as <meaning>

    Examples:
      | status | run     | headers                       | meaning |
      | 503    | not run | 1.5                           | 1.5 s   |
      | 503    | not run | .25                           | 0.25 s  |
      | 503    | not run | 1 / 3                         | 3 s     |
      | 503    | not run | 61.5                          | 61.5 s  |
      | 503    | not run | 3600                          | 3600 s  |
      | 503    | not run | 99999999999999999999          | 3600 s  |
      | 503    | not run | 0                             | none    |
      | 503    | not run | -1                            | none    |
      | 503    | not run | nan                           | none    |
      | 503    | not run | Mon, 01 Jan 2029 00:00:00 GMT | none    |
      | 503    | run     | 1.5                           | none    |
      | 429    | not run | 1.5                           | none    |
      | 200    | not run | 1.5                           | none    |
      | 421    | not run | 1.5                           | none    |

  # Guards against a pause that an announcement or a loan ends, that outlasts the server, or that
  # takes the server from other VMs.
  Scenario: A pause applies to one VM and one start of a server
    Given a VM that owns a server and borrows another one
    When both ask for a pause of 3 s
    And both announce themselves and are lent once more
    Then the VM may use none of them, and still lends the one it owns
    When both ask for a pause of 1 s
    Then the VM may use none of them 2.9 s later
    And the VM may use both of them 3.5 s later
    When both are started anew
    Then both may be used

  # Guards against a long pause that is forgotten while the server is away, and statements of servers
  # that are kept for ever.
  Scenario: The statements of a server that is away are kept until the end of its pause
    Given the statements of a server that is away, with a pause of 600 s
    Then they are kept after 599 s and dropped after 602 s

  # Guards against all VMs that send at their full rate as soon as a pause ends.
  Scenario: After a pause the requests become gradually more
    Given a server of 9 slots that asked for a pause of 2 s
    When a request of 0.01 s is started whenever it is possible
    Then none is started in the pause
    And 1, 3, 7 and 15 are started within 0.25, 0.5, 0.75 and 1 s of its end
    And more are started afterwards

  # Guards against a request that waits for a server in a pause while another one is free.
  Scenario: A queued request uses the freed slot of another server
    Given a queued request that waits for a server that asked for a pause of 2 s
    Then it starts at another server that has a freed slot

  # Guards against requests that were chosen, queued or granted before the pause and sent in it.
  @fixture.platform_fleet
  Scenario Outline: Many concurrent requests on kept connections
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And clients of each zone have sent 40 "read" requests a second for 2 s
    When the "status" endpoints of "<zones>" reject all with a pause of <pause> s for 5 s
    And clients of each zone send 40 "read" requests a second for 9 s
    Then each entry VM sent at most 2 requests from 0.5 s after a rejection to the end of its pause
    And at least <served> percent of these requests got 200
    And each of them ran requests after the end of the pauses
    And the entry VMs have logged and counted the pauses

    Examples:
      | zones                     | pause | served |
      | sofia-a                   | 1.5   | 97     |
      | sofia-a,varna-a,plovdiv-b | 2.5   | 90     |

  # Guards against requests that stay queued, some of which are looked at in each review only.
  Scenario: Queued requests are refused once all servers have asked for a pause
    Given 20 requests that wait for the only server, which asked for a pause of 2 s
    When the queue is reviewed once
    Then all of them are refused, with times to return from 2 to 2.75 s that differ

  # Guards against callers that wait in the queue for servers that want no requests, and against
  # retries that are refused again.
  @fixture.platform_fleet
  Scenario: All endpoints of a service ask for a pause
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And clients of each zone have sent 4 "read" requests a second for 2 s
    When the "status" endpoints of "all" reject all with a pause of 4 s for 2 s
    And clients of each zone send 4 "read" requests a second for 3 s
    Then the later ones of these requests get 503 within 0.4 s
    And their times to return are at most 0.8 s after the end of the first pause, and differ
    And the entry VMs haven't taken the rejections for runs

  # Guards against a VM that takes a server out of use because another VM got the rejection.
  @fixture.platform_fleet
  Scenario: A pause that is stated through a forward stays with the VM that sent the request
    Given a fleet with an endpoint of "status" in "varna-a" only
    And configuration 1 is in force
    When the "status" endpoints of "varna-a" reject all with a pause of 3 s for 0.3 s
    And a client of "sofia-a" sends a request, and 0.6 s later one of "varna-b"
    Then only the VM that sent the first request has paused the endpoint
    And the endpoint got the second request

  # Guards against a bad value that takes an endpoint out of use.
  @fixture.platform_fleet
  Scenario: An unreadable load changes nothing
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And the "status" endpoints state the load "3,0,8,fast"
    When clients of each zone send 2 "read" requests a second for 2 s
    Then all of these requests get 200
    And the entry VMs have logged and counted unreadable loads
