Feature: A connection is reused for consecutive requests
  Guards against a server that closes a connection after a response without `Connection: close`: the
  next request on the connection would get no response.

  @fixture.session
  Scenario: Lookups and refused requests leave the connection open
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.0 seconds pass
    When a caller sends these requests on one connection
      | target                         | status |
      | /v1/lookup?service=status-svc  | 200    |
      | /v1/lookup?service=absent      | 404    |
      | /s/absent/                     | 404    |
      | /s/status-svc/applications/1   | 200    |
      | /v1/lookup?service=status-svc  | 200    |
