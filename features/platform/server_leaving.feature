Feature: Endpoints that state in their responses that they leave
  Guards against requests that are sent to an endpoint after one of its responses said that it
  leaves, whether or not its announcements arrive.

  # Guards against a value that ends a task, or takes an endpoint out, because it can't be read.
  Scenario Outline: What a response states
    Given a response with the leaving headers "<headers>"
    Then it states <meaning>

    Examples:
      | headers         | meaning    |
      |                 | nothing    |
      | 1               | leaving    |
      | 1 / 1           | leaving    |
      | 0               | unreadable |
      | true            | unreadable |
      | -1              | unreadable |
      | nan             | unreadable |
      | 1, 1            | unreadable |
      | 1 / 0           | unreadable |
      | 999999999999999 | unreadable |
      | empty           | unreadable |

  # Guards against a statement that an announcement or a loan revokes, or that outlasts the server.
  Scenario: A statement applies to one start of a server, and not for ever
    Given a VM that owns a server and borrows another one
    When both state that they leave
    Then neither may be used, and the owned one isn't lent
    When both announce themselves and are lent once more
    Then neither may be used, and the owned one isn't lent
    And both may be used 60 s later, if they are still announced
    When both are started anew
    Then both may be used

  # Guards against a late response of a former start that withdraws the present one.
  Scenario: A response of a former start doesn't affect the present one
    Given a VM that owns a server and borrows another one
    When both are started anew
    And responses of their former starts state that they leave
    Then both may be used

  # Guards against an entry VM that knows of a departure from announcements only.
  @fixture.platform_fleet
  Scenario Outline: An endpoint whose announcements don't arrive leaves
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And the announcements of "status-sofia-a" don't arrive any more
    When "status-sofia-a" <says> in its responses
    And clients of each zone send 2 "read" requests a second for 4 s
    Then each entry VM has sent it nothing after a response of it
    And <result>

    Examples:
      | says                                     | result                               |
      | says that it leaves                      | all of these requests get 200        |
      | says that it leaves, and refuses all     | all of these requests get 200        |

  @fixture.platform_fleet
  Scenario: All endpoints of a service leave
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And all "status" endpoints say in their responses that they leave
    When clients of each zone send 2 "read" requests a second for 4 s
    Then each entry VM has sent nothing to an endpoint after a response of it
    And the later ones of these requests get 503 within 0.1 s

  # Guards against a bad value that takes an endpoint out of use.
  @fixture.platform_fleet
  Scenario: An unreadable statement changes nothing
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And all "status" endpoints state "perhaps" on their departure
    When clients of each zone send 2 "read" requests a second for 4 s
    Then all of these requests get 200
    And the entry VMs have logged and counted unreadable statements
