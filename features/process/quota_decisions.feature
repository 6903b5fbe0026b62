Feature: Decisions on quotas
  Guards against grants that are forgotten while a VM may still use them, and against shares that
  outlive their lease or their limit.

  # Guards against a grant whose response is lost, and that is granted again.
  Scenario: A grant that no VM has confirmed is reserved until its next renewal
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "a" and "b" have reported that they hold 0
    When "a" has a demand of 500, and the response is lost
    Then "b" with a demand of 50 gets at most 1
    When "a" reports that it holds 0, with no demand
    Then "b" with a demand of 50 gets at least 50

  # Guards against use in the last window that is granted to another VM.
  Scenario: What a VM has used is reserved after a reduction
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "b" has reported that it holds 0
    When "a" reports that it holds 2 and has used 100 in the last window
    Then "b" with a demand of 50 gets at most 15

  # Guards against a new leader that grants what the former one has granted.
  Scenario: A new leader increases nothing before all VMs have reported
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    When "b" reports that it holds 10, with a demand of 100
    Then its share is 10
    When 0.9 s pass
    And "b" reports that it holds 10, with a demand of 100
    Then its share is 10
    When "a" reports that it holds 60, with a demand of 10
    And "b" reports that it holds 10, with a demand of 100
    Then its share is 55

  # Guards against a new leader that grants what a VM holds that it hasn't heard from, or what it
  # keeps after its lease.
  Scenario: A new leader counts all that nobody reported for a lease, then a quarter for an hour
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    When "b" reports that it holds 10, with a demand of 200
    And 1.1 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at most 10
    When 33 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at most 10
    When 3 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at most 89
    And it gets at least 85
    When 3600 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at most 89
    When 5 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at least 110

  # Guards against a new leader that forgets VMs which were cut off long before its term, or that
  # counts more for them than they can have kept.
  Scenario Outline: A new leader counts what VMs may keep that were silent before its term
    Given a leader with a usable total of 115, which "b" polls and "a" polled <silence> s ago
    When "b" reports that it holds <held>, with a demand of 200
    Then it gets at most <most>
    And it gets at least <least>

    Examples:
      | silence | held | most | least |
      | 60      | 10   | 87   | 84    |
      | 60      | 100  | 100  | 98    |
      | 3600    | 10   | 87   | 84    |
      | 3650    | 10   | 115  | 110   |

  # Guards against a reserve for a VM that can't hold a share any more.
  Scenario Outline: A VM that has reported, restarted or stopped holds no reserve
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    When "b" reports that it holds 10, with a demand of 200
    And 40 s pass
    And "a" <event>
    And 6 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at least 110

    Examples:
      | event                                   |
      | starts anew and reports nothing         |
      | reports that it holds 0, with no demand |
      | stops as planned                        |

  # Guards against what a VM has just sent that is granted again when it stops.
  Scenario: A VM that stops before a new leader has heard it is counted for a window
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    When "b" reports that it holds 10, with a demand of 200
    And 1.1 s pass
    And "a" stops as planned
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at most 10
    When 6 s pass
    And "b" reports that it holds 10, with a demand of 200
    Then it gets at least 110

  # Guards against a new limit that can't be used because of VMs that had contact before it existed.
  Scenario: Nothing is reserved of a limit that was added after the last contact
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    When "b" reports that it holds 10, with a demand of 200
    And 1.1 s pass
    And another organisation gets the same limit
    Then "b" with a demand of 200 for it gets at least 110

  # Guards against a restarted VM that sends again what its former process has just sent.
  Scenario: A former process is counted until its last window has passed
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "b" has reported that it holds 0
    When "a" reports that it holds 100, with a demand of 100
    And "a" starts anew
    Then "a" with a demand of 100 gets at most 15
    When 2.5 s pass
    Then "a" with a demand of 100 gets at most 40
    When 5 s pass
    Then "a" with a demand of 100 gets at least 100

  # Guards against a delayed renewal that undoes a newer one.
  Scenario: Renewals out of order are ignored
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "b" has reported that it holds 0
    When "a" reports that it holds 0, with a demand of 100
    Then an earlier renewal of "a" gets no response
    And a renewal of the former process of "a" gets no response

  # Guards against a VM lost for good that keeps its share for ever, or loses it while it may run.
  Scenario: A silent VM keeps its share for the lease, then a quarter for an hour
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "b" has reported that it holds 0
    When "a" reports that it holds 100, with a demand of 100
    And 34 s pass
    Then "b" with a demand of 200 gets at most 15
    When 3 s pass
    Then "b" with a demand of 200 gets at most 90
    When 3700 s pass
    Then "b" with a demand of 200 gets at least 110

  # Guards against a share that a VM uses longer than the leader counts it.
  Scenario: A VM that hears of no leader keeps its share for the lease, then a quarter for an hour
    Given an entry VM with a share of 40 of a usable total of 115
    Then it may send 40 requests in a window after 29 s
    And it may send 10 requests in a window after 31 s
    And it may send 10 requests in a window after 3600 s
    And it may send 0 requests in a window after 3640 s

  # Guards against a limit that is exceeded until the leader responds.
  Scenario: A VM reduces its share at once with the limit, and doesn't increase it by itself
    Given an entry VM with a share of 40 of a usable total of 115
    When the limit of 20 requests a second becomes 10, 20 and 1
    Then it may send 40, 24, 24 and 7 requests in a window

  # Guards against a raised limit that reduces shares until the VM has the new configuration.
  Scenario: A grant under a newer configuration isn't reduced to the limit of an older one
    Given an entry VM with a share of 40 of a usable total of 115
    When it gets a share of 60 of a usable total of 325 under a newer configuration
    Then it may send 60 requests in a window after 1 s

  # Guards against an organisation whose part at a VM is one request, and that gets none.
  Scenario: With a share of one a request is possible once a window, and a refund at once
    Given an entry VM with a share of 1 of a usable total of 20, which is saturated
    Then one request every 5.2 s is admitted for 60 s
    And a request whose predecessor didn't run is admitted at once

  # Guards against repeated sends that come on top of the limit.
  Scenario: A request that was sent twice counts twice
    Given an entry VM with a share of 40 of a usable total of 115
    Then 15 requests that were sent twice leave room for 10 more

  # Guards against metrics that grow with the number of organisations.
  Scenario: Only the organisations with the most requests have labels of their own
    Given 150 organisations, each with one request more than the one before
    Then the metrics have labels for the last 100 of them, and the sum of the others

  # Guards against an error, or a refusal over a limit that is no more, for a request that waits for
  # its turn while the configuration changes.
  @fixture.virtual_loop
  Scenario Outline: A request whose limit changes while it waits follows the new configuration
    Given an entry VM with a share of 1 of a usable total of 20, which is saturated
    And a request that waits for its turn
    When <change>
    Then the waiting request is <result>

    Examples:
      | change                                                  | result    |
      | the limit is removed                                    | admitted  |
      | the limit is removed while another request is in flight | admitted  |
      | the organisation is removed                             | admitted  |
      | the organisation is removed and added with a limit      | undecided |

  # Guards against a refusal at a VM that gets no larger share, since it has no contact, though an
  # earlier send leaves the window soon.
  @fixture.virtual_loop
  Scenario: A request at a VM without contact waits for its turn
    Given an entry VM with a share of 1 of a usable total of 20
    And a request that waits for its turn
    Then the waiting request is admitted

  # Guards against requests that wait at another VM and are sent after they have left the window here.
  @fixture.virtual_loop
  Scenario Outline: A forwarded request counts at the end of the forward
    Given a request of a limited organisation that was forwarded 5.5 s ago
    When <end>
    Then it counts as sent 5.5 s after the forward

    Examples:
      | end                       |
      | the response is lost      |
      | the caller disconnects    |

  # Guards against demand of a VM that has stopped, which takes its part of the limit for the whole
  # term of the leader.
  Scenario: A renewal after the return of all shares changes nothing
    Given a leader with a usable total of 115, which the VMs "a" and "b" poll
    And "b" has reported that it holds 0
    When "a" reports that it holds 50, with a demand of 200
    And "a" returns its shares
    Then a renewal of "a" with a demand of 200 gets no response
    When 20 s pass
    And "b" reports that it holds 0, with a demand of 200
    Then "b" with a demand of 200 gets at least 110

  # Guards against a refusal until a send leaves the window where the next token is due soon.
  Scenario: A request whose share has room waits for the next token only
    Given an entry VM with a share of 40 of a usable total of 556, which is saturated
    When it sends as many requests as it may send together
    Then it has sent 18, and the next one may be sent after 0.115 s

  # Guards against one malformed grant that makes a VM lose the shares of all organisations.
  Scenario: A malformed grant leaves the others in force
    Given a response to a renewal with one malformed grant and one valid one
    Then the valid grant is applied

  # Guards against a request that waits for longer than two windows and is sent on top of the limit,
  # and against a long run that holds its part of the limit.
  Scenario: A charge counts until its request is sent, and then for two windows
    Given an entry VM with a share of 40 of a usable total of 115
    When 30 requests are charged, 10 of which are sent at once
    Then it may send 10 requests in a window after 9 s
    And it may send 20 requests in a window after 11 s
