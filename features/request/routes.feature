Feature: Routes, their traffic split, and the fleet's retry budget
  Guards against requests that are sent to a service without a matching route, against a traffic
  split that drifts from its weights, and against retries that multiply an overload.

  Scenario Outline: The longest prefix of the host selects the route
    Given routes for "/a/" and "/a/b/" of "x.example" and "/" of "y.example"
    Then "<target>" of "<host>" goes to <route>

    Examples:
      | host           | target     | route    |
      | x.example      | /a/1       | x/a/     |
      | x.example      | /a/b/1     | x/a/b/   |
      | x.example      | /a/b?c=/   | x/a/     |
      | X.Example:8641 | /a/b/?q=1  | x/a/b/   |
      | x.example      | /b/        | no route |
      | y.example      | /a/b/1     | y/       |
      | z.example      | /a/        | no route |

  Scenario Outline: Any run of requests is split by the weights
    Given a route whose services have the weights <weights>
    When 300 requests are split among them
    Then the fraction of each service is within 0.02 of its weight

    Examples:
      | weights  |
      | 90,10    |
      | 50,30,20 |
      | 1,0      |

  Scenario: Half of all sends are rejected
    Given 7 VMs whose fleet may retry 0.2 of the requests and 60 more in 10 s
    When each VM gets 50 requests per second for 30 s and tries to retry half of them
    Then the fleet exceeds the retry budget in no 10 s
    And it uses at least half of the retry budget
