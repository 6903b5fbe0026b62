Feature: Announcements of backend servers
  Guards against requests to a backend server that has left, that has lost its address to another
  one or that is cold again, when announcements arrive late, twice or from an earlier start.

  Scenario Outline: Effects of an announcement
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state   |
      | i-1      | 10:1    | 100     | 5        | ready   |
      | i-2      | 10:2    | 200     | 1        | ready   |
      | i-3      | 10:3    | 100     | 8        | leaving |
    When the announcement <announcement> arrives
    Then it is <outcome> and the known servers are <known>

    Examples:
      | announcement               | outcome  | known       |
      | i-1 10:1 100 6 ready       | renewed  | i-1 i-2     |
      | i-1 10:1 100 4 ready       | outdated | i-1 i-2     |
      | i-1 10:1 100 7 leaving     | left     | i-2         |
      | i-1 10:1 150 1 ready       | added    | i-1 i-2     |
      | i-1 10:1 50 9 ready        | outdated | i-1 i-2     |
      | i-4 10:2 300 1 ready       | added    | i-1 i-4     |
      | i-4 10:2 150 1 ready       | outdated | i-1 i-2     |
      | i-3 10:3 100 7 ready       | outdated | i-1 i-2     |
      | i-3 10:3 100 8 ready       | outdated | i-1 i-2     |
      | i-3 10:3 100 9 ready       | outdated | i-1 i-2     |
      | i-3 10:3 400 1 ready       | added    | i-1 i-2 i-3 |

  Scenario: A departure overrides late announcements, but not the next start
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    When "i-1" departs
    Then the announcement i-1 10:1 100 99 ready is outdated
    And the announcement i-1 10:1 101 1 ready is added

  Scenario: The departure of a server that nobody knows overrides late announcements for a while
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    When "i-9", whose start nobody knows, departs at 500
    Then the announcement i-9 10:9 100 4 ready is outdated
    And the announcement i-9 10:9 500 1 ready is outdated
    And 10 s later the announcement i-9 10:9 500 2 ready is added

  # Guards against a server that is refused for 10 s after its next start.
  Scenario: A server that left while nobody knew it may start again at once
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    When "i-9", whose start nobody knows, departs at 500
    Then the announcement i-9 10:9 501 1 ready is added

  # Guards against a departure that arrives late and removes the next start of the server.
  Scenario: The departure of an earlier start doesn't concern the present one
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 200     | 5        | ready |
    When the start 100 of "i-1" departs
    Then the announcement i-1 10:1 100 99 ready is outdated
    And the announcement i-1 10:1 200 6 ready is renewed

  Scenario: A backend server is used only during the lease of its announcement
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    Then "i-1" may be used 4.4 s later
    And "i-1" may not be used 4.5 s later
    And "i-1" may not be used while its availability zone is evacuated

  Scenario: A refused connection suspends a backend server until it announces itself again
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    When a connection to "i-1" is refused
    Then "i-1" may not be used 0.1 s later
    When the announcement i-1 10:1 100 6 ready arrives
    Then "i-1" may be used 0.1 s later

  Scenario: After an evacuation a backend server counts as cold until its next announcement
    Given an entry VM that knows these announcements
      | instance | address | started | sequence | state |
      | i-1      | 10:1    | 100     | 5        | ready |
    When the evacuation of its availability zone ends
    Then "i-1" is cold
    When the announcement i-1 10:1 100 6 ready arrives
    Then "i-1" isn't cold
