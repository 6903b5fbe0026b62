Feature: Routes, their parts, and the fleet's budget of repeated sends
  Guards against a request that goes to a service to which no route sends it, against parts that
  drift from their weights, and against repeated sends that multiply an overload.

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

  Scenario Outline: Any run of requests keeps the weights
    Given a route whose parts weigh <weights>
    When 300 requests are divided among them
    Then each part is within 0.02 of its weight

    Examples:
      | weights  |
      | 90,10    |
      | 50,30,20 |
      | 1,0      |

  Scenario: Half of all sends are rejected
    Given 7 VMs whose fleet may repeat 0.2 of the requests and 60 more in 10 s
    When each VM gets 50 requests a second for 30 s and wants to repeat half of them
    Then in no 10 s the fleet repeats more than the budget
    And it repeats at least half of the budget
