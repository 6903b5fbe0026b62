Feature: A request with a once key runs at most once
  Guards against a payment that runs twice, and against outcome "not run" for one that ran, when
  responses are lost, requests are repeated through other VMs, VMs fail and rules change.

  @fixture.entry_fleet
  Scenario: A request whose response is lost and its repeat through another VM run once
    Given once-key backends with 5 slots beside "sofia-b-1"
    When the caller of a new payment "fee-1" with home "sofia-b-1" at "sofia-a-1" leaves after 0.05 s
    And 1 s passes in the entry fleet
    And payment "fee-1" is sent again to "plovdiv-a-1"
    And payment "fee-1" is sent again to "sofia-b-1"
    Then the last two keyed responses are equal complete responses of the backend server
    And each once key has run 1 time

  @fixture.entry_fleet
  Scenario: A caller that is connected to the home leaves
    Given once-key backends with 5 slots beside "sofia-b-1"
    When the caller of a new payment "fee-1" with home "sofia-b-1" at "sofia-b-1" leaves after 0.05 s
    And payment "fee-1" is sent again to "sofia-b-1"
    And payment "fee-1" is sent again to "sofia-a-1"
    Then the last two keyed responses are equal complete responses of the backend server
    And each once key has run 1 time

  @fixture.entry_fleet
  Scenario: A repeat of a running request waits until its deadline
    Given once-key backends with 5 slots beside "sofia-b-1"
    When a new payment "fee-1" with home "sofia-b-1" starts at "sofia-a-1"
    And payment "fee-1" is sent with a deadline of 50 ms to "sofia-b-1"
    Then the keyed response is "once_in_progress" with outcome "unknown"
    When payment "fee-1" is sent again to "sofia-b-1"
    Then the keyed response is the same as that of the started request
    And each once key has run 1 time

  @fixture.entry_fleet
  Scenario: A repeat of a request that can't be sent gets the same refusal
    Given once-key backends with 5 slots beside "sofia-b-1"
    And the backend server refuses connections
    When a new payment "fee-1" is sent twice at once to its home "sofia-b-1"
    Then both payments are refused with outcome "not_run" after one attempt to connect

  @fixture.entry_fleet
  Scenario: After a home is killed outcomes are unknown and nothing runs again
    Given once-key backends with 5 slots beside "sofia-b-1"
    When 8 keyed payments with home "sofia-b-1" start through "sofia-a-1" one every 30 ms
    And "sofia-b-1" is killed after 0.12 s
    Then all started keyed payments end without "not_run"
    When all started keyed payments are repeated through "plovdiv-a-1"
    Then all repeats end as "once_home_unreachable" with outcome "unknown"
    When "sofia-b-1" starts again
    And 20 s passes in the entry fleet
    And all started keyed payments are repeated through "sofia-a-1"
    Then all repeats end as "once_key_expired" with outcome "unknown"
    And each once key has run 1 time

  @fixture.entry_fleet
  Scenario: Keyed requests wait for a slot and a home without endpoints forwards them to the owner
    Given once-key backends with 1 slots beside "sofia-b-1"
    And 3 s passes in the entry fleet
    When 6 keyed payments with home "plovdiv-a-1" start through "sofia-a-1" one every 5 ms
    And 0.45 s passes in the entry fleet
    And a new payment "fee-late" with home "sofia-b-1" is sent with a deadline of 60 ms to "sofia-b-1"
    Then the keyed response is refused for its deadline with outcome "not_run"
    When all started keyed payments are repeated through "sofia-a-2"
    Then all repeats are the complete responses of the started payments
    And each once key has run 1 time
    And the backend server has run 1 request at once
    When payment "fee-late" is sent again to "sofia-b-1"
    Then the keyed response is complete
    And each once key has run 1 time

  @fixture.entry_fleet
  Scenario: The rules of the catalogue change while requests are in flight
    Given a service without never-repeated rules and a backend server with 5 slots beside "sofia-b-1"
    When a new payment "fee-1" with home "sofia-b-1" starts at "sofia-a-1"
    And the rule "POST /fees" comes into force on "sofia-b-1"
    And payment "fee-1" is sent again to "plovdiv-a-1"
    Then the keyed response is the same as that of the started request
    And each once key has run 1 time
    When a payment without key goes through "sofia-b-1"
    Then the keyed response is "once_key_required" with outcome "not_run"
    And its message says how to get a once key

  @fixture.entry_fleet
  Scenario: A rule that comes into force between two attempts prevents the second one
    Given a service without never-repeated rules and a backend server with 5 slots beside "sofia-b-1"
    And a second backend that refuses connections and is chosen first
    When the rule "POST /fees" comes into force during a payment without key at "sofia-b-1"
    Then the keyed response is "once_key_required" with outcome "not_run"
    And no request has reached a backend server

  @fixture.entry_fleet
  Scenario Outline: A repeat after <ending> gets <kind>
    Given once-key backends with 5 slots beside "sofia-b-1"
    And the backend server answers with <ending>
    When a new payment "fee-1" with home "sofia-b-1" is sent to "sofia-a-1"
    And payment "fee-1" is sent again to "sofia-a-1"
    Then the keyed response is "<kind>" with outcome "<outcome>"
    And each once key has run 1 time

    Examples:
      | ending                | kind                 | outcome   |
      | 70000 bytes           | response_not_kept    | completed |
      | a cut response        | once_outcome_unknown | unknown   |

  @fixture.entry_fleet
  Scenario: A lookup for a service with rules gives a usable prefix
    Given once-key backends with 5 slots beside "sofia-b-1"
    When a caller looks up the prefix at "sofia-b-1" and pays with it through "plovdiv-a-1"
    Then the keyed response is complete
    And each once key has run 1 time

  Scenario Outline: Decision of the ledger for <case>
    Then the ledger decides "<case>" as "<kind>"

    Examples:
      | case                        | kind                 |
      | another method              | once_key_reused      |
      | another path                | once_key_reused      |
      | another body length         | once_key_reused      |
      | another incarnation         | once_key_expired     |
      | key of 15 minutes           | once_key_expired     |
      | key from the future         | malformed_request    |
      | full                        | ledger_full          |
      | full, repeat                | Running              |
      | repeat after 29 minutes     | OutcomeUnknown       |
      | repeat after 31 minutes     | once_key_expired     |
      | provably unsent             | Claimed              |
      | closed                      | leaving              |

  Scenario: Malformed once keys are refused
    Then each malformed once key is refused as "malformed_request"

  Scenario: Random sequences never run a key twice and never deny that it ran
    Then 400 seeded sequences of 120 ledger events keep both guarantees
