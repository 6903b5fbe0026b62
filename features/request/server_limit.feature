Feature: Servers that take a limited rate of requests
  Load pattern: a part of the servers of a region, which several VMs share, states in its responses
  the requests a second that it takes from all VMs together, while callers ask for more.

  # Guards against servers in need that get the rate of healthy ones, or their limit from each VM.
  Scenario Outline: The VMs together keep to the limits
    Given <vms> VMs that share <servers> servers with 24 of 120 objects each
    And runs of 0.48 s cold and 0.144 s warm, promised in 0.4 s with a time limit of 2.5 s
    And no other region
    And <limited> of the servers take <limit> requests a second each from second 4 to second 16
    When the VMs get <rate> requests per second for 28 s
    Then each of them gets at most one and a half times its limit and 5 requests in any 4 s
    And at least 60 percent of the requests that they take are sent to them
    And at least <served> percent of the requests are served
    And they get at least 75 percent of an equal share of the requests after second 23

    Examples:
      | vms | servers | limited | limit | rate | served |
      | 1   | 6       | 4       | 7     | 80   | 75     |
      | 3   | 6       | 4       | 7     | 80   | 75     |
      | 8   | 12      | 9       | 7     | 150  | 75     |
      | 8   | 12      | 9       | 2     | 110  | 75     |
      | 24  | 26      | 23      | 4     | 190  | 75     |
