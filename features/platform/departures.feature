Feature: Departures of endpoints while other processes fail or are restarted
  Guards against requests that reach an endpoint after its departure was acknowledged.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force

  # Guards against an owner in another region that isn't told of an acknowledged departure.
  @fixture.platform_fleet
  Scenario Outline: An endpoint leaves while the entry VMs of its region are restarted in turn
    Given 10 s go by on the platform
    And the entry VM of "varna-a" has been restarted and ready for <ready> s
    And the entry VM of "varna-b" has been stopping for 0.3 s
    When the endpoint "status-varna-b" says that it is draining to the entry VM of "<told>"
    Then its call is acknowledged
    And no request of a client runs at it from 0.1 s to 5 s later

    Examples:
      | ready | told    |
      | 0.5   | varna-b |
      | 1.5   | varna-b |
      | 0.5   | varna-a |
      | 1.5   | varna-a |
      | 3     | varna-b |

  # Guards against an entry VM of the endpoint's region that isn't told by one of another region.
  @fixture.platform_fleet
  Scenario: An endpoint leaves through an owner in another region while its own region returns
    Given 10 s go by on the platform
    And the entry VM of "varna-a" is killed
    And the entry VM of "varna-b" is killed
    And 8 s go by on the platform
    And the entry VM of "varna-b" starts
    And 0.5 s go by on the platform
    And the entry VM of "varna-b" has got the announcement of "status-varna-b"
    When the endpoint "status-varna-b" says that it is draining to its owner in another region
    Then its call is acknowledged
    And no request of a client runs at it from 0.1 s to 5 s later

  # Guards against a late announcement that brings an endpoint back at VMs that don't know that it
  # has left, because an owner in another region has confirmed that (review/6).
  @fixture.platform_fleet
  Scenario: A late announcement follows a departure that an owner in another region confirmed
    Given 10 s go by on the platform
    And the entry VM of "varna-a" is killed
    And the entry VM of "varna-b" is killed
    And 8 s go by on the platform
    And the entry VM of "varna-b" starts
    And 1 s go by on the platform
    And the endpoint "status-varna-b" sends an announcement that is held up
    When the endpoint "status-varna-b" says that it is draining to its present owner
    Then its call is acknowledged
    When the announcement arrives 0.5 s later at the control VM of "sofia-a"
    Then no request of a client runs at it from 0 s to 5 s later

  # Guards against a VM that takes an endpoint back whose departure was confirmed while the VM was
  # silent, because an earlier announcement is still in its socket (review/7).
  @fixture.platform_fleet
  Scenario: A VM that was cut off reads an announcement from before a departure
    Given 10 s go by on the platform
    And the entry VM of "varna-b" is cut off
    And 4.6 s go by on the platform
    When the endpoint "status-varna-b" deregisters without a body at the control VM of "sofia-a"
    Then its call is acknowledged
    When the entry VM of "varna-b" is reachable again
    And it reads an earlier announcement of "status-varna-b" that was forwarded to it
    Then no request of a client runs at it from 0.5 s to 5 s later

  # Guards against a departure that is forgotten when the processes that confirmed and recorded it
  # are killed and started again (review/9).
  @fixture.platform_fleet
  Scenario Outline: A late announcement follows a restart of the processes that know of a departure
    Given 10 s go by on the platform
    And the endpoint "status-varna-b" sends an announcement that is held up
    When the endpoint "status-varna-b" says that it is draining to its present owner
    Then its call is acknowledged
    When <first> killed and started again 0.3 s later
    And <second> killed and started again 0.3 s later
    And the announcement arrives 0.5 s later at the <receiver>
    Then no request of a client runs at it from 0.5 s to 5 s later

    Examples:
      | first                        | second                       | receiver                    |
      | no process is                | the entry VM of "varna-b" is | control VM of "sofia-a"     |
      | no process is                | the entry VM of "varna-b" is | entry VM of "varna-b"       |
      | the entry VM of "varna-a" is | the entry VM of "varna-b" is | entry VM of "varna-a"       |
      | all control VMs are          | the entry VM of "varna-b" is | control VM of "sofia-a"     |
      | the entry VM of "varna-b" is | all control VMs are          | control VM of "sofia-a"     |

  # Guards against a new control VM that confirms a departure and tells nobody, because the entry
  # VMs haven't heard of it (review/8).
  @fixture.platform_fleet
  Scenario Outline: An endpoint leaves at the second of two new control VMs
    Given 10 s go by on the platform
    And the control VM of "plovdiv-b" is replaced by a new one after 1 s
    And <gap> s go by on the platform
    And the control VM of "varna-b" is replaced by a new one after 1 s
    And <wait> s go by on the platform
    When the endpoint "status-varna-b" deregisters without a body at the new control VM of "varna-b"
    Then its call is acknowledged
    And no request of a client runs at it from 2.5 s to 6 s later

    Examples:
      | gap | wait |
      | 3   | 5    |
      | 5   | 5    |
      | 6   | 5    |
      | 7   | 5    |
      | 6   | 1    |
      | 6   | 3    |

  # Guards against a late notice of an earlier start that removes the present one at another VM.
  @fixture.platform_fleet
  Scenario: The entry VM that owns the next start of an endpoint gets a notice of the earlier one
    Given 10 s go by on the platform
    And the endpoint "status-varna-b" ends and starts again under its identifier
    And 3 s go by on the platform
    When a notice of the earlier start arrives at the entry VM of "varna-b"
    Then a request of a client of "varna-b" runs at it within 1 s

  # Guards against a server that is refused after its next start, because of its departure.
  @fixture.platform_fleet
  Scenario Outline: An endpoint starts again under its identifier
    Given 10 s go by on the platform
    When the endpoint "status-varna-b" <departure>
    Then its call is acknowledged
    When <restart> killed and started again 0.3 s later
    And it ends and starts again under its identifier
    Then a request of a client of "varna-b" runs at it within 1 s

    Examples:
      | departure                                                  | restart                      |
      | says that it is draining to its present owner              | no process is                |
      | says that it is draining to its present owner              | the entry VM of "varna-b" is |
      | says that it is draining to its present owner              | all control VMs are          |
      | deregisters without a body at the control VM of "sofia-a"  | no process is                |
      | deregisters without a body at the control VM of "sofia-a"  | the entry VM of "varna-b" is |
