Feature: Only one owner sends to an endpoint, and load reports are only hints
  Guards against two owners that together use more slots than an endpoint has, against cold
  endpoints that get full load, and against reports that attract traffic to a failing endpoint.

  @fixture.entry_fleet
  Scenario: The former owner keeps sending while the next one takes over
    Given an endpoint with 3 slots and requests of 3 s owned by the first VM of "sofia-a"
    And a steady load of requests through both VMs of "sofia-a"
    When responses to its renewals are lost from now on
    Then after 20 s the endpoint has a new owner that serves requests
    And the endpoint never ran more requests than it has slots

  @fixture.entry_fleet
  Scenario: The owner is killed
    Given an endpoint with 3 slots and requests of 3 s owned by the first VM of "sofia-a"
    And a steady load of requests through both VMs of "sofia-a"
    When the owner of the endpoint is killed
    Then after 20 s the endpoint has a new owner that serves requests
    And the endpoint never ran more requests than it has slots

  @fixture.entry_fleet
  Scenario: A request that is cut off at its deadline also ends at the backend server
    Given an endpoint with 1 slots and requests of 8 s owned by the first VM of "sofia-a"
    And a steady load of requests through both VMs of "sofia-a"
    Then within 30 s requests are cut at their deadline and never 2 run at once

  @fixture.entry_fleet
  Scenario: A handover needs no quarantine
    Given an endpoint with 3 slots and requests of 0.1 s owned by the first VM of "sofia-a"
    When the owner of the endpoint drains
    Then after 6.5 s the endpoint has a new owner without reserved slots

  @fixture.entry_fleet
  Scenario: A fresh start of the fleet ramps up in seconds
    Given an endpoint with 6 slots and requests of 0.1 s owned by the first VM of "sofia-a"
    And a steady load of requests through both VMs of "sofia-a"
    Then its usable slots after each 0.75 s are "2, 4, 5, 6, 6"

  Scenario: The owner stops sending when its lease has ended
    Then an endpoint renewed at 1 s is sendable at 2.9 s and not at 3 s

  Scenario Outline: An announcement of <case>
    Then the announcement of "<case>" is <decision>

    Examples:
      | case                              | decision   |
      | a new endpoint at its owner       | accepted   |
      | a new endpoint at the next VM     | redirected |
      | a failed owner at the next VM     | accepted   |
      | a failed owner in another region  | redirected |
      | a handed-over endpoint            | accepted   |
      | a renewal after the owner's return| accepted   |
      | a lost owner at the next VM       | accepted   |
      | any endpoint at a leaving VM      | redirected |

  Scenario Outline: Slots reserved after <case>
    Then <reserved> of 4 slots are reserved until <until> s after "<case>"

    Examples:
      | case                             | reserved | until |
      | a fresh start                    | 0        | 0     |
      | a takeover                       | 4        | 12    |
      | a takeover with a token of 2     | 2        | 10    |
      | a takeover with a handover of 1  | 1        | 10    |
      | a restart of the same VM         | 4        | 12    |

  Scenario Outline: Weight of <case>
    Then the weight of "<case>" is <weight>

    Examples:
      | case                        | weight |
      | a fresh report              | 1      |
      | a report from the past      | 0.5    |
      | a report frozen 9 times     | 1      |
      | a report frozen 10 times    | 0      |
      | zero load under errors      | 0      |
      | zero load long after errors | 1      |
      | load under errors           | 1      |

  Scenario: A false report of zero load attracts no traffic
    Then an endpoint with 3 of 4 slots in use ranks the same whether it reports 0 or 1 busy slots
    And an endpoint that reports 4 busy slots ranks below one with 1 of 4 slots in use

  Scenario: A backend server fails over 2.5 s after the last response and drops an old token
    Then a silent owner is left at 2.5 s, not at 2.4 s, and counts as a former owner
    And a token is void once the VM that should take it was silent
