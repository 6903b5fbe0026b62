Feature: Endpoints that state the request rate that they take
  An endpoint names in its responses the requests a second that it takes from all entry VMs
  together, for as long as it says so.

  # Guards against a limit that ends a task, or takes an endpoint out, because it can't be read.
  Scenario Outline: What a response states
    Given a response with the limit headers "<headers>"
    Then its limit is read as <meaning>

    Examples:
      | headers             | meaning          |
      |                     | no limit         |
      | 6.9                 | 6.9 a second     |
      | 0                   | 0 a second       |
      | 0.25                | 0.25 a second    |
      | .5                  | 0.5 a second     |
      | 12.                 | 12 a second      |
      | 999999999           | 999999999 a second |
      | 9999999999          | unreadable       |
      | -1                  | unreadable       |
      | +1                  | unreadable       |
      | 1e3                 | unreadable       |
      | nan                 | unreadable       |
      | inf                 | unreadable       |
      | 6,9                 | unreadable       |
      | Mon, 01 Jan 2029    | unreadable       |
      | 5 a second          | unreadable       |
      | 6.9 / 6.9           | unreadable       |
      | empty               | unreadable       |

  # Guards against a limit that an unreadable value lifts, or that stays in force after its end.
  Scenario: An unreadable statement changes nothing, and the end of a statement is noticed
    Given a server that stated a limit of 6 a second to one of 3 VMs
    When it states something unreadable
    Then the VM's share is one request in 0.5 s
    When it states no limit
    Then the VM's requests to it aren't limited

  # Guards against a limit that is forgotten when a loan of the server lapses, or its owner changes.
  Scenario: A limit outlasts a loan, but not the server
    Given a server that stated a limit of 6 a second to one of 3 VMs
    When its loan ends and it is lent again
    Then the VM's share is one request in 0.5 s
    When it is started anew and lent again
    Then the VM's requests to it aren't limited

  # Guards against an entry VM that doesn't pass the statement on to the choice of an endpoint.
  @fixture.platform_fleet
  Scenario: Entry VMs of a region keep to a limit together, and refuse the rest at once
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And a stated limit of "3" at the endpoints of "status"
    When clients of each zone send 6 "read" requests a second for 12 s
    Then each "status" endpoint ran at most 23 of them in any 4 s
    And each "status" endpoint ran at least 20 of them
    And all others got 503 with a time to return, within 0.4 s on average
    And the entry VMs have logged the limit

  # Guards against a bad value that takes an endpoint out of use.
  @fixture.platform_fleet
  Scenario: An unreadable limit is logged and counted, and doesn't limit
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And a stated limit of "nan" at the endpoints of "status"
    When clients of each zone send 6 "read" requests a second for 2 s
    Then all of these requests get 200
    And the entry VMs have logged and counted unreadable limits
