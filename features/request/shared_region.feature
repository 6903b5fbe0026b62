Feature: Many entry VMs that send to the same servers
  Load pattern: a region with few servers and dozens of VMs, where each VM sends to a single server
  only now and then. Guards against VMs that take servers for free because each of them counts only
  its own requests: the servers' queues grow until requests are cut at their time limit, although
  another region has free servers.

  Scenario Outline: Requests leave a region short of servers before they are late
    Given <vms> VMs that share <servers> servers with <cached> of <objects> objects each
    And runs of <cold> s cold and <warm> s warm, promised in <promised> s with a time limit of <limit> s
    When the VMs get <rate> requests per second for 20 s
    Then more of them are on time than if each VM counted its own requests only
    And fewer are cut

    Examples:
      | vms | servers | cached | objects | cold | warm | promised | limit | rate |
      | 26  | 26      | 10     | 292     | 2.32 | 0.7  | 1.5      | 3     | 126  |
      | 24  | 17      | 8      | 140     | 3    | 0.9  | 2        | 4     | 61   |

  Scenario: Without another region, requests are refused rather than cut
    Given 26 VMs that share 26 servers with 10 of 292 objects each
    And runs of 2.32 s cold and 0.7 s warm, promised in 1.5 s with a time limit of 3 s
    And no other region
    When the VMs get 150 requests per second for 20 s
    Then more of them are on time than if each VM counted its own requests only
    And fewer are cut
    And refused requests wait for at most 1 s on average

  Scenario: A queued request isn't started where it would be cut
    Given a queued request with 0.5 s left, and a freed slot at a server that must run it for 0.9 s
    Then it isn't started there
    But a server that runs it for 0.3 s would start it

  Scenario: The slot of a run that ends at a server that has left isn't granted
    Given a queued request with 2 s left, and a freed slot at a server that must run it for 0.9 s
    When that server leaves before its run ends
    Then the freed slot is granted to no request

  Scenario: A request isn't forwarded to an entry VM that is stopping
    Given a VM without servers of its own, and a VM of another region with free slots
    Then a request may be forwarded to it
    But not once it is leaving
