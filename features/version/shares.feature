Feature: Shares never add up to more than their cap
  Guards against a cap that is exceeded when messages are lost or late, when a VM fails, is
  isolated or restarts, when the leader changes or when an operator changes a limit; and against
  a VM that lacks a share while others hold shares that they don't use.

  Scenario: No sum exceeds its cap under faults
    Then with 25 seeds of drops, delays, restarts and new leaders no sum exceeds its cap

  Scenario: The sum follows changed limits within 3 seconds
    Then with 15 seeds of changed limits the sum follows them within 3 seconds

  Scenario: Division by demand
    Then divisions with 500 seeds are exact and fair

  Scenario: Equal demand gets equal shares
    Given 5 VMs that share a shift cap of 52
    And each of them has a demand of 100
    And 5 seconds of renewals pass
    Then the held shares are 10, 10, 10, 11, 11

  Scenario: Unused shares move to the VM that needs them
    Given 5 VMs that share a shift cap of 50
    And each of them has a demand of 100
    And 5 seconds of renewals pass
    When only sofia-a-1 has a demand of 100
    And 1.7 seconds of renewals pass
    Then sofia-a-1 holds at least 50

  Scenario: The share of an isolated VM isn't granted again before its lease has ended
    Given 5 VMs that share a shift cap of 50
    And each of them has a demand of 100
    And 5 seconds of renewals pass
    When sofia-a-1 is isolated for 9 seconds
    And 1.5 seconds of renewals pass
    Then the others hold 40 or fewer together
    When 2 seconds of renewals pass
    Then the held shares are 0, 12, 12, 13, 13

  Scenario: Requests in flight above a lowered share aren't granted to another VM
    Then a region's requests in flight stay within its limit while demand moves for 15 seeds

  Scenario: A new leader grants nothing for one lease
    Given 5 VMs that share a shift cap of 50
    And each of them has a demand of 100
    And 5 seconds of renewals pass
    When another replica leads
    And 1.99 seconds of renewals pass
    Then it has granted nothing
    When 1.5 seconds of renewals pass
    Then the held shares are 10, 10, 10, 10, 10
