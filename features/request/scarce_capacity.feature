Feature: Admission under scarce capacity
  Load pattern: organisations of different priority and size whose callers ask for twice the
  capacity. Guards against urgent requests that are refused because of less urgent ones, against
  organisations that are never served, and against refused callers that return to be refused again.

  # Guards against a change of the decisions of deployments that state nothing about scarce capacity.
  Scenario: Without organisations and stated speeds, the decisions are as before
    When seeded runs of one VM and of a region get more requests than they have capacity for
    Then their decisions are the recorded ones
