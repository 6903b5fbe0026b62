Feature: Malformed messages
  Guards against a message that ends a background task or a whole process, because its decoder
  raises an error that its caller doesn't expect. FUZZ_CASES sets the number of messages of each
  kind.

  Scenario Outline: A decoder reports a malformed message in the way that its caller expects
    Given random changes of a valid <message>, from seed <seed>
    Then decoding each of them succeeds or <outcome>

    Examples:
      | message                    | seed | outcome                       |
      | heartbeat                  | 1    | raises InvalidHeartbeatError  |
      | departure                  | 2    | finds no report               |
      | configuration              | 3    | returns a failure             |
      | settings file              | 4    | returns a failure             |
      | client's request           | 5    | returns a failure             |
      | endpoint's response        | 6    | ignores it                    |
      | forwarded announcement     | 7    | raises ValueError             |
      | forwarded departure        | 8    | raises ValueError             |
      | list of departures         | 16   | raises ValueError             |
      | forwarded request          | 9    | raises ValueError             |
      | response to a forward      | 10   | finds no result               |
      | record of an entry VM      | 11   | finds no record               |
      | message between replicas   | 13   | raises ValueError             |
      | entry of the log           | 14   | raises ValueError             |
      | log file                   | 15   | raises LogCorruptedError      |

  @fixture.platform_fleet
  Scenario Outline: A process answers malformed messages and goes on
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When <count> random changes of a <message> are sent to <receiver>, from seed <seed>
    Then each of them gets a response or a closed connection
    And no handler and no background task failed
    And a client of "sofia-a" gets 200 for 12 "read" requests

    Examples:
      | message                | receiver                     | count | seed |
      | poll                   | the control VM of "sofia-a"  | 60    | 21   |
      | join request           | the control VM of "sofia-a"  | 60    | 22   |
      | quota renewal          | the control VM of "sofia-a"  | 60    | 27   |
      | catalogue request      | the control VM of "sofia-a"  | 60    | 28   |
      | summary                | the entry VM of "sofia-a"    | 60    | 23   |
      | forwarded announcement | the entry VM of "sofia-a"    | 60    | 24   |
      | forwarded departure    | the entry VM of "sofia-a"    | 60    | 25   |
      | list of departures     | the control VM of "sofia-a"  | 60    | 28   |
      | departure to confirm   | the control VM of "sofia-a"  | 60    | 29   |
      | heartbeat              | the entry VM of "sofia-a"    | 60    | 26   |

  @fixture.platform_fleet
  Scenario: An entry VM ignores malformed responses to its polls
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When 200 random changes of a response to a poll arrive at the entry VM of "sofia-a", from seed 31
    Then no handler and no background task failed
    And a client of "sofia-a" gets 200 for 12 "read" requests

  # Guards against an odd entry of another writer that ends a process, or that stays in force.
  @fixture.platform_fleet
  Scenario Outline: An odd announcement names no server, and the others hold
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When an announcement with <oddity> is sent to each VM
    Then each of them gets a response or a closed connection
    And no VM knows the announced server
    And no handler and no background task failed
    And a client of "sofia-a" gets 200 for 12 "read" requests

    Examples:
      | oddity                                |
      | 100000 nested arrays                  |
      | 100000 nested objects in a field      |
      | a number of 5000 digits               |
      | a sequence number of 20 digits        |
      | a start of 30 digits                  |
      | a number of slots of 20 digits        |
      | a cold time of 1e400                  |
      | a cold time of 1e300                  |
      | port 65536                            |
      | port 0                                |
      | port -1                               |
      | port 8080.5                           |
      | a port of 20 digits                   |
      | an address without a port             |

  # Guards against a server that returns after its departure with a number that follows any other.
  Scenario Outline: A number too large to follow a departure isn't read
    Given an announcement with <oddity>
    Then the platform's and the fleet's decoders report it as malformed

    Examples:
      | oddity                         |
      | a sequence number of 20 digits |
      | a start of 30 digits           |
      | no slots                       |
