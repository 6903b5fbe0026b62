Feature: Decisions on the bytes that an entry VM holds for others
  Guards against a process that is killed for its own memory use, against refusals of urgent requests
  for what less urgent ones hold, and against counts that don't return to zero.

  # Guards against thresholds that are off, and against a bound without a memory limit.
  Scenario Outline: What <held> held bytes of rank 1 mean with a bound of <bound>
    Given a bound of <bound> bytes
    When <held> bytes are held for a request of rank 1
    Then a body of rank 1 is <reading>
    And a new request of rank 1 is <result>

    Examples:
      | bound | held  | reading  | result   |
      | 1000  | 499   | read on  | accepted |
      | 1000  | 500   | not read | accepted |
      | 1000  | 750   | not read | accepted |
      | 1000  | 751   | not read | refused  |
      | no    | 10000 | read on  | accepted |

  # Guards against urgent requests that are refused for slow readers of less urgent responses, and
  # against any that are accepted at the bound.
  Scenario Outline: <urgent> bytes of rank 0 and <usual> of rank 1 are held
    Given a bound of 1000 bytes
    When <urgent> bytes are held for a request of rank 0
    And <usual> bytes are held for a request of rank 1
    Then a new request of rank 0 is <first>
    And a body of rank 0 is <read>
    And a new request of rank 1 is <second>
    And a body of rank 1 is not read
    And a new request of rank 2 is <second>

    Examples:
      | urgent | usual | first    | read     | second   |
      | 10     | 700   | accepted | read on  | accepted |
      | 10     | 800   | accepted | read on  | refused  |
      | 499    | 20    | accepted | read on  | accepted |
      | 500    | 20    | accepted | not read | accepted |
      | 740    | 20    | accepted | not read | refused  |
      | 760    | 20    | refused  | not read | refused  |
      | 10     | 989   | accepted | read on  | refused  |
      | 10     | 990   | refused  | not read | refused  |

  # Guards against callers that are refused together and return together.
  Scenario: Retry times are spread
    Given a bound of 1000 bytes
    Then the retry times of 20 refusals are between 0.5 and 1.5 s and at least 10 ms apart

  # Guards against bytes that are counted twice when what is held changes, or stay after a release.
  Scenario: What is held for a request replaces what was held before
    Given a bound of 1000 bytes
    When 300 bytes are held for a request of rank 1
    And it holds 100 bytes instead
    Then 100 bytes are held
    When it is released twice
    Then 0 bytes are held

  # Guards against a log line for each request at a threshold, and against a threshold that is passed
  # unseen between two looks.
  Scenario: Changes of the pressure are reported once
    Given a bound of 1000 bytes
    When 800 bytes are held for a request of rank 1
    And it is released twice
    Then the reported pressures are "refusing, none, -"

  # Guards against responses in flight that exceed the bound together, and against an average that
  # follows single responses.
  Scenario: Responses count with the average size from the send on
    Given a bound of 1000000 bytes
    Then a request that is sent counts 16384 bytes
    When 1 response of 64000 bytes was received
    Then a request that is sent counts 40192 bytes
    When 100 responses of 1000 bytes were received
    Then a request that is sent counts 1000 to 1300 bytes
    When 1 response of 64000 bytes was received
    Then a request that is sent counts 4900 to 5300 bytes

  # Guards against counts of what may never arrive where nothing is bounded.
  Scenario: Without a bound, nothing is counted before it arrives
    Given a bound of no bytes
    Then a request that is sent counts 0 bytes
