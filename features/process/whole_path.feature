Feature: End-to-end path of a request
  A backend server announces itself, an operator adds a catalogue entry, a caller looks the
  service up and sends its request through an entry VM.

  @fixture.session
  Scenario: A session is byte-for-byte the same on every run
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.5 seconds pass
    When a caller looks up "status-svc"
    And a caller sends GET "/s/status-svc/applications/17"
    And a caller sends POST "/s/filing-svc/notes" with 70000 bytes
    And a caller looks up "tides-svc"
    And a caller sends GET "/s/tides-svc/"
    And a caller sends bytes that aren't HTTP
    And a caller sends a head of 20000 bytes
    And the operator adds the entry "docs-svc"
    And 1.0 seconds pass
    And a caller sends GET "/s/docs-svc/plans/3"
    And a caller sends GET "/s/status-svc/applications/18"
    Then the session matches "whole_path.txt"
