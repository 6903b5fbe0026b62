Feature: Traces, decision records, metrics and reports of requests
  Guards against requests whose placement can't be explained afterwards, against metrics and
  reports that count an incomplete or late response as good, and against unbounded trace files.

  @fixture.session
  Scenario: A request produces a timed span for each hop, a decision record and metrics
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.5 seconds pass
    When a traced caller sends GET "/s/status-svc/applications/17"
    And a traced caller sends GET "/s/tides-svc/"
    Then the spans of "status-svc" are these
      | name           | parent         | duration_ms |
      | backend_server | request        | 2           |
      | request        | caller         | 2           |
    And the backend server's span is the parent that the backend server received
    And the decision record of the traced request names endpoint "sofia-a-status-svc-1"
    And the metrics page has these lines
      | line                                                                                    |
      | camphorspread_requests_total{service="status-svc",kind="read",weight="light"} 1         |
      | camphorspread_good_total{service="status-svc",kind="read",weight="light"} 1             |
      | camphorspread_errors_total{service="(unknown)",error="unknown_service"} 1               |
      | camphorspread_refusal_reasons_total{service="(unknown)",reason="refused"} 1             |
      | camphorspread_in_flight{service="status-svc"} 0                                         |
      | camphorspread_request_seconds_count{service="status-svc",kind="read",hop="caller"} 1    |
    And the operators' listener refuses a request without the access key

  Scenario: The trace file is renamed once it is full and keeps one older file
    When 100 lines of 100 bytes are written to a trace file with a limit of 1000 bytes
    Then the data folder holds 2 files of at most 1000 bytes with the newest line

  Scenario: The ring of decision records is bounded
    When 5000 decision records are added
    Then the ring holds the newest 2000

  Scenario: The report of fixed records is the same on every run
    When the reports of two VMs with fixed records are merged
    Then the report matches "report.txt"

  @fixture.session
  Scenario: The load generator counts a request from its planned instant
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.0 seconds pass
    When 40 requests at 1000 a second are sent with 1 in flight
    Then all 40 requests were served
    And the slowest request waited for those before it
