Feature: Relay of requests and responses
  Guards against truncated or mismatched responses that look complete, against uploads that exhaust
  the memory or block the slots of other requests, and against requests that keep running after
  their caller has disconnected.

  @fixture.session
  Scenario Outline: A truncated or invalid response is never relayed as complete
    Given a backend server that sends "<response>" and then <end> the connection
    When a caller of HTTP/<version> requests it
    Then the caller received <seen> and no complete response

    Examples:
      | response                                                  | end    | version | seen        |
      | HTTP/1.1 200 OK;content-length: 10;;12345                 | closes | 1.1     | a reset     |
      | HTTP/1.1 200 OK;content-length: 10;;12345                 | resets | 1.0     | a reset     |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;5;12345;      | closes | 1.1     | a reset     |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;5;12345;      | closes | 1.0     | a reset     |
      | HTTP/1.1 200 OK;;12345                                    | closes | 1.1     | status 502  |
      | HTTP/1.1 200 OK;content-le                                | closes | 1.1     | status 502  |
      | HTTP/1.1 000 OK;content-length: 5;;12345                  | closes | 1.1     | status 502  |
      | HTTP/1.1 600 OK;content-length: 5;;12345                  | closes | 1.1     | status 502  |

  @fixture.session
  Scenario Outline: A late or duplicate response is never taken for the response to another request
    Given a backend server whose connections give <fault>
    When a caller sends 6 requests in sequence with 100 ms each
    Then each response that the caller received contains the path of its own request
    And at least <served> requests were served on <connections> connections or more

    Examples:
      | fault                     | served | connections |
      | each second response late | 3      | 3           |
      | each response twice       | 5      | 5           |

  @fixture.session
  Scenario: A stalled upload is refused at the progress limit and delays no other request
    Given a stub backend server with 2 slots
    When an upload of 100000 bytes stalls after 20000 bytes while 20 other requests are sent
    Then the other requests got status 200 within 100 ms each
    And the stalled upload got status 408 and "unknown", and no slot is in use

  @fixture.session
  Scenario: An upload is aborted at the progress limit if the backend server stops reading
    Given a backend server that reads only the head
    When a caller uploads 1000000 bytes to it
    Then the caller received status 502 after 10 seconds and no slot is in use

  @fixture.session
  Scenario: Back-pressure slows a large upload to a slow backend server
    Given a backend server that reads 16384 bytes each 5 ms
    When a caller uploads 4000000 bytes to it
    # Two in-memory stream buffers of 65536 bytes, and one part on each side of the relay.
    Then at most 163840 bytes were in transit between the caller and the backend server
    And the backend server received 4000000 bytes

  @fixture.session
  Scenario Outline: A request that its caller gives up is cancelled at the backend server
    Given a stub backend server with 2 slots
    And its requests take 5000 ms
    When a caller of entry VM <vm> <action>
    Then the backend server runs no request 300 ms later and no slot is in use

    Examples:
      | vm | action                                       |
      | 0  | closes its connection after 200 ms           |
      | 1  | closes its connection after 200 ms           |
      | 0  | sends a deadline of 200 ms and gets unknown  |
      | 1  | sends a deadline of 200 ms and gets unknown  |

  @fixture.session
  Scenario: Pipelined requests are answered in order
    Given a stub backend server with 2 slots
    When a caller sends 40 requests of 1000 bytes each without waiting
    Then it received 40 responses of status 200 on one connection

  @fixture.virtual_loop
  Scenario Outline: An exception in a handler gets an internal error response and the server keeps running
    Given a server whose handler <fault>
    When a caller sends a request and then another one
    Then both got status 500 with "internal" and "unknown" and 2 faults were reported

    Examples:
      | fault                                |
      | raises an unexpected exception       |
      | sends a head that isn't valid HTTP   |
      | ends a response that hasn't begun    |

  @fixture.virtual_loop
  Scenario: A connection stays open after responses whose handler reads no body
    Then a server answers 3 requests without a body on one connection, and closes it when a body stays unread

  Scenario: A TCP reset isn't taken for a normal close
    Then a reset TCP stream raises an error at the other end, and at most 16384 bytes are unread

  # Guards against responses that are taken for sent although they stay in the process.
  Scenario: The end of a response waits for the kernel
    Then a TCP stream waits until the kernel has accepted all bytes, or raises an error at a reset
