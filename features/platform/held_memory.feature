Feature: The bytes that an entry VM holds for callers and servers are bounded
  Guards against a VM that is killed for its own memory use while callers read or send slowly. The
  network's buffers accept 8 KiB of each direction; what a VM sends beyond that stays in its memory.

  # Guards against unbounded responses in memory, urgent requests that are refused for slow readers,
  # slots that wait for slow readers, truncated responses that look complete, and counts that stay.
  @fixture.platform_fleet
  Scenario Outline: 300 callers <reading> their responses of 60 KB
    Given entry VMs with 16 MB of memory and buffers of the network of 8192 bytes
    And an endpoint of each service in each zone responds with 60000 bytes
    And a configuration with usual and urgent routes is in force
    When 300 callers <reading> responses of the usual route, with urgent ones every 50 ms
    Then the held bytes stay within the bound and one buffer for each request in flight
    And at least 10 usual requests were refused with a retry time, none of them ran
    And every urgent request got its whole response
    And each usual response was whole, refused or cut by a reset
    And at least 20 usual responses were reset at the progress limit of 3 s
    And all slots were free while callers hadn't read their responses
    And nothing is held at the end
    And the log says that the thresholds were passed and left, in at most 40 lines

    Examples:
      | reading            |
      | don't read         |
      | read 4 KB a second |

  # Guards against a streamed response that is buffered without bound, that looks complete when it is
  # cut, or that keeps its connection to the server after the caller was reset.
  @fixture.platform_fleet
  Scenario: Callers don't read responses that are streamed
    Given entry VMs with 8 MB of memory and buffers of the network of 8192 bytes
    And an endpoint of each service in each zone responds with 400000 bytes
    And a configuration with usual and urgent routes is in force
    When 12 callers don't read responses of the usual route, with urgent ones every 50 ms
    Then the held bytes stay within the bound and one buffer for each request in flight
    And the entry VM of the callers held at most 114688 bytes for each of the 12 callers
    And each usual response was whole, refused or cut by a reset
    And at least 12 usual responses were reset at the progress limit of 3 s
    And no connection to an endpoint carries an unfinished response
    And nothing is held at the end

  # Guards against bodies that are read without bound, and against bodies that stop each other halfway.
  @fixture.platform_fleet
  Scenario: 300 callers send a part of their bodies and pause
    Given entry VMs with 4 MB of memory and buffers of the network of 8192 bytes
    And a configuration with usual and urgent routes is in force
    When 300 callers send 40000 of 60000 bytes and the rest after 5 s
    Then reading was paused
    And the held bytes stay within half of the bound and one body
    And callers were served, or refused with a retry time
    And nothing is held at the end

  # Guards against requests that wait for memory although it has been released.
  @fixture.platform_fleet
  Scenario: Uploads go on once memory is released
    Given entry VMs with 8 MB of memory and buffers of the network of 8192 bytes
    And a configuration with usual and urgent routes is in force
    When 60 callers send 60000 bytes at once
    Then reading was paused
    And all uploads were served
    And nothing is held at the end

  # Guards against bytes that stay counted after a request has ended in another way.
  @fixture.platform_fleet
  Scenario Outline: Nothing is held after <ending>
    Given entry VMs with 8 MB of memory and buffers of the network of 8192 bytes
    And a configuration with usual and urgent routes is in force
    When uploads of <size> bytes end by <ending>
    Then bytes were held meanwhile
    And nothing is held at the end

    Examples:
      | ending                         | size   |
      | callers that leave midway      | 60000  |
      | callers that leave later       | 60000  |
      | callers that reset             | 200000 |
      | invalid chunks                 | 60000  |
      | callers that pause too long    | 200000 |
      | their deadlines                | 60000  |
      | endpoints that reset           | 60000  |
      | endpoints that reset           | 200000 |
      | endpoints that reject          | 60000  |
      | forwards to other zones        | 60000  |
      | forwards to other zones        | 200000 |
      | refusals of zones without room | 60000  |

  # Guards against responses that differ with a memory limit, or that differ from before without one.
  @fixture.platform_fleet
  Scenario: Usual callers get the same bytes with and without a memory limit
    Given one "status" endpoint, whose responses are recorded without a memory limit
    When the same requests are sent with a memory limit of 152 MB
    Then the responses are the same byte for byte
    And nothing is held at the end

  # Guards against callers that get no refusal, urgent requests that are refused for others, and
  # metrics that don't show what is held.
  @fixture.platform_fleet
  Scenario: A refusal for memory has a retry time and is counted
    Given entry VMs with 8 MB of memory and buffers of the network of 8192 bytes
    And a configuration with usual and urgent routes is in force
    When an entry VM holds 1600000 bytes for usual requests
    Then an upload on the usual route gets 503 with a retry time, before its body is read
    And an upload on the urgent route gets 200
    When an entry VM holds 1100000 bytes for usual requests
    Then an upload on the usual route gets 503 with a retry time, after half of its time
    And a request without a body on the usual route gets 200
    And the metrics have 1100000 unsent bytes, a bound of 2000000 and these refusals: arrival 1, body 1
