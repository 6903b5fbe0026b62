Feature: Status lines that HTTP doesn't know
  Guards against a response that a client takes for an answer although its status isn't one of HTTP,
  such as 000: the client must get a 502 or, without a final response, a 504.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force

  @fixture.platform_fleet
  Scenario Outline: An endpoint sends a status that isn't valid
    Given the status "<text>" is sent <place> by the endpoints of "filing"
    When a client of "sofia-a" sends a body of <size> bytes to "filing"
    Then it gets <status> without a signature

    Examples:
      | text | place            | size   | status |
      | 000  | at once          | 10     | 502    |
      | 001  | at once          | 10     | 502    |
      | 099  | at once          | 10     | 502    |
      | 0000 | at once          | 10     | 502    |
      | 20   | at once          | 10     | 502    |
      | -01  | at once          | 10     | 502    |
      | 101  | at once          | 10     | 502    |
      | 199  | at once          | 10     | 504    |
      | 600  | at once          | 10     | 502    |
      | 999  | at once          | 10     | 502    |
      | 000  | after status 100 | 10     | 502    |
      | 600  | after status 100 | 10     | 502    |
      | 000  | before the body  | 200000 | 502    |
      | 600  | before the body  | 200000 | 502    |

  @fixture.platform_fleet
  Scenario Outline: A status that isn't valid arrives through another entry VM
    Given the status "<text>" is sent <place> by the endpoints of "filing"
    And those of "filing" in "sofia" have ended
    When a client of "sofia-a" sends a body of <size> bytes to "filing"
    Then it gets 502 without a signature
    And the request was forwarded

    Examples:
      | text | place            | size   |
      | 000  | at once          | 10     |
      | 600  | at once          | 10     |
      | 000  | after status 100 | 10     |
      | 600  | after status 100 | 10     |
      | 000  | before the body  | 200000 |
      | 600  | before the body  | 200000 |

  @fixture.platform_fleet
  Scenario Outline: An idempotent request is repeated after a status that isn't valid
    Given 10 s go by on the platform
    And the status "<text>" is sent at once by the endpoint "status-sofia-a"
    When a client of "sofia-a" sends 6 "read" requests about different objects
    Then all of them get 200

    Examples:
      | text |
      | 000  |
      | 600  |
