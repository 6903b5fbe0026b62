Feature: Limit on requests that move to another region
  Guards against a small region whose load exceeds its servers for seconds: a third of its requests
  runs in another region and returns two seconds later, each time on servers that are cold for them.
  The agreed limit is 15 percent of the requests from one window of 2 s to the next.

  Scenario Outline: The fraction of requests that runs in another region changes slowly
    Given a simulated VM with 2 servers of 6 slots, 120 objects, 0.36 s cold and 0.108 s warm runs
    And a VM of another region with free slots and a round trip of 0.11 s
    When the load is <load>
    Then at most 15 percent of the requests change their region from one window to the next
    And without the limit more than 15 percent do
    And at most 15 percent fewer requests are on time than without the limit

    Examples:
      | load                                                         |
      | 70 requests per second from the start, with all servers cold |
      | a burst from 20 to 200 requests per second and back          |
      | 160 requests per second until two servers are added          |
      | 20 requests per second until callers of another zone arrive  |

  Scenario: A region that loses servers sends its requests away immediately
    Given a simulated VM with 2 servers of 6 slots, 120 objects, 0.36 s cold and 0.108 s warm runs
    And a VM of another region with free slots and a round trip of 0.11 s
    When one of its servers is lost while it gets 75 requests per second
    Then at least 90 percent of the requests are on time

  Scenario: A VM without other regions isn't limited
    Given requests in one region only
    Then the limit allows any number more of them

  Scenario: One request after a pause may run in any region
    Given requests in one region only
    When no request arrives for 5 s
    Then the limit allows a request in another region
