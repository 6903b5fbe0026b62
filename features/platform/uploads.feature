Feature: Uploads that are too large to be buffered
  Guards against an upload that an endpoint runs without a part of its body.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force

  # Guards against a second send of an upload whose first part only is still held.
  @fixture.platform_fleet
  Scenario Outline: A new endpoint at the address of a former one doesn't take an upload
    Given 10 s go by on the platform
    And a new endpoint has taken the address of each "filing" endpoint of "sofia"
    When a client of "<zone>" uploads 150000 bytes 6 times with <framing>
    Then no upload runs without a part of its body
    And each upload gets 200 or 503, and some of them 503 with a time to return

    Examples:
      | zone    | framing          |
      | sofia-a | chunks           |
      | sofia-a | a content length |

  # Guards against a refusal that doesn't reach the forwarding VM, so that the outcome is unknown.
  @fixture.platform_fleet
  Scenario Outline: An entry VM refuses an upload that was forwarded to it
    Given 10 s go by on the platform
    And no "filing" endpoint of "sofia" has room
    And the entry VMs of "plovdiv" refuse what is forwarded to them
    When a client of "sofia-a" uploads 150000 bytes 6 times with <framing>
    Then no upload runs without a part of its body
    And each upload gets 200 or 503, and some of them 503 with a time to return

    Examples:
      | framing          |
      | chunks           |
      | a content length |

  # Guards against a small request that is refused although it can be sent again.
  @fixture.platform_fleet
  Scenario: A buffered request is sent to another endpoint
    Given 10 s go by on the platform
    And a new endpoint has taken the address of each "filing" endpoint of "sofia-a"
    When a client of "sofia-a" uploads 60000 bytes 6 times with chunks
    Then no upload runs without a part of its body
    And all of them get 200
