Feature: An explanation states what would happen to a request, without effect
  Guards against explanations that differ from what requests get, and against explanations that
  change what later requests get.

  # Guards against an explanation that changes a counter, a cache, a queue or a quota.
  Scenario: Nothing in the state of a VM changes
    When one request is explained in each of 200 seeded states
    Then a deep snapshot of each state is the same before and after

  # Guards against a decision that is explained by other rules than those that requests follow.
  Scenario: The request that follows gets the explained decision
    When one request is explained in each of 200 seeded states
    And in each state the real decision on that request follows
    Then each real decision is the explained one, with the same cost and retry time
    And each kind of decision was explained at least 3 times

  # Guards against candidates that are shown as possible but aren't, and against ruled-out ones
  # whose cause isn't stated.
  Scenario: The candidates agree with the decision
    When one request is explained in each of 200 seeded states
    Then candidates without a cost have an obstacle, and the first one with a cost explains the decision
    And each of these obstacles was stated
      | obstacle              |
      | home_region           |
      | evacuated_zone        |
      | leaving               |
      | pause                 |
      | expired               |
      | no_response           |
      | cold_limit            |
      | outlier               |
      | low_preference        |
      | no_free_slot          |
      | stated_rate           |
      | ramp_up               |
      | vm_share              |
      | no_servers            |
      | old_summary           |
      | lender                |
      | shift_limit           |
      | object_kept_elsewhere |

  # Guards against keys in explanations, which anyone who reads metrics could use.
  Scenario: No explanation contains a key
    When one request is explained in each of 200 seeded states
    Then no explanation contains a key

  # Guards against a made-up decision for a request that the VM knows too little about.
  Scenario Outline: Without <missing> the explanation is an error text
    When a request without <missing> is explained
    Then the explanation is "<text>"

    Examples:
      | missing              | text                            |
      | routes               | this VM has no routes yet       |
      | a matching route     | no route has this host and path |
      | a known organisation | no organisation has this name   |
