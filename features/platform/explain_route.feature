Feature: The metrics listener of an entry VM explains where a request would go
  Guards against explanations that are right in themselves, but aren't those of the requests that the
  VM serves.

  # Guards against an explanation from other inputs than those that a caller's request has.
  @fixture.platform_fleet
  Scenario: Requests go where the command said
    Given a fleet with an endpoint of each service in each zone
    And the organisations "acme" with a limit of 50 requests a second and "cork" in "varna" are in force
    When each of 40 requests is explained by the command and then sent
    Then each was served by the explained server, or through the explained VM
    And the explanations name the share of "acme" and no key

  # Guards against an explanation that promises service to a request that is refused.
  @fixture.platform_fleet
  Scenario Outline: A refusal is explained as its caller would see it
    Given a fleet with an endpoint of each service in each zone
    And the organisations "acme" with a limit of 50 requests a second and "cork" in "varna" are in force
    When a request to "<path>" of the organisation "<organisation>" is explained and then sent
    Then both end with status <status> and the retry time "<retry>"

    Examples:
      | path    | organisation | status | retry |
      | /read/x | none         | 401    | none  |
      | /near/x | cork         | 503    | 1.00  |

  # Guards against a wrong call that looks like an explanation, or that fails in the handler.
  @fixture.platform_fleet
  Scenario Outline: What can't be explained gets an error text and exit code 1
    Given a fleet with an endpoint of each service in each zone
    And the organisations "acme" with a limit of 50 requests a second and "cork" in "varna" are in force
    When "<method> <target>" is sent to the metrics listener
    Then it gets status <status> and the text "<text>"

    Examples:
      | method | target                                                     | status | text                            |
      | GET    | /explain?host=water.example&path=/other/x                  | 404    | no route has this host and path |
      | GET    | /explain?host=water.example&path=/read/x&organisation=none | 404    | no organisation has this name   |
      | GET    | /explain?host=water.example                                | 400    | allowed: GET with host, path    |
      | GET    | /explain                                                   | 400    | allowed: GET with host, path    |
      | GET    | /explain?a&b&c&d&e&f&g&h&i&host=x&path=y                   | 400    | allowed: GET with host, path    |
      | POST   | /explain?host=water.example&path=/read/x                   | 400    | allowed: GET with host, path    |
      | GET    | /explained                                                 | 404    | there is nothing at this path   |
