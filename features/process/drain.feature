Feature: A graceful shutdown interrupts nothing
  Guards against new requests to a backend server that is leaving, and against requests, once keys
  and slots that are lost while an entry VM drains.

  @fixture.entry_fleet
  Scenario Outline: A leaving backend server gets no new requests and completes those in flight
    Given two drain-test backends with 3 slots and requests of 3 s beside "sofia-b-1"
    And a steady load of drain-test requests through "<vm>"
    When the first drain-test backend says that it is leaving
    Then it gets no request after 2 s and completes those in flight
    And no drain-test request has ended with an error other than "overloaded"

    Examples: Queue of the owner, and forwarding to it
      | vm        |
      | sofia-b-1 |
      | sofia-a-1 |

  @fixture.entry_fleet
  Scenario: A backend server that leaves while a connection opens gets no request
    Given two drain-test backends with 3 slots and requests of 0.1 s beside "sofia-b-1"
    When a request chooses the first drain-test backend, which leaves before the connection is open
    Then the request is served by the second drain-test backend

  @fixture.entry_fleet
  Scenario: A leaving entry VM under load interrupts no request and hands over
    Given drain-test backends at each VM of "sofia-a"
    And callers of "sofia-a-1" that follow lookups and cache them for 2 s
    When "sofia-a-1" gets SIGTERM
    Then it exits with code 0 and its callers saw no error
    And repeats of their keyed requests through "sofia-b-1" get the recorded responses
    And the backend servers have new owners without reserved slots
    And each key of the drain has run once

  @fixture.entry_fleet
  Scenario: Lookups don't name a VM with a drain entry, but it serves, until the entry is removed
    Given drain-test backends at each VM of "sofia-a"
    When a drain entry names "sofia-a-1"
    Then lookups no longer name "sofia-a-1"
    And "sofia-a-1" still serves payments after 20 seconds
    When the drain entry is taken back
    Then lookups name "sofia-a-1" again

  @fixture.entry_fleet
  Scenario: A second SIGTERM reports what a third one would interrupt
    Given two drain-test backends with 3 slots and requests of 3 s beside "sofia-b-1"
    And a steady load of drain-test requests through "sofia-b-1"
    When "sofia-b-1" gets SIGTERM
    And "sofia-b-1" gets SIGTERM
    Then the log of "sofia-b-1" says how many requests would be interrupted
    When "sofia-b-1" gets SIGTERM
    Then it exits with code 3

  Scenario Outline: A drain with <state>
    Then a drain with "<state>" <step>

    Examples:
      | state                                   | step     |
      | a lookup response 1.9 s ago             | waits    |
      | a lookup response 2 s ago               | proceeds |
      | a request in flight                     | waits    |
      | a leaving state not yet spread          | waits    |
      | no catalogue                            | proceeds |

  Scenario: A handover of many large records is split into messages
    Then 60 records of 64 KiB are handed over in parts below 1 MiB and read back unchanged

  Scenario: A real entry process exits with code 0 after SIGTERM
    Then a real entry process on loopback exits with code 0 after SIGTERM
