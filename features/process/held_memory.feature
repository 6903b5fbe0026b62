Feature: Decisions on the bytes that an entry VM holds for others
  Guards against a process that is killed for its own memory use, against refusals of urgent requests
  for what less urgent ones hold, and against counts that don't return to zero.

  # Guards against thresholds that are off, and against a bound without a memory limit.
  Scenario Outline: What <held> held bytes of rank 1 mean with a bound of <bound>
    Given a bound of <bound> bytes
    When <held> bytes are held for a request of rank 1
    Then bodies are <reading>
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
    And a new request of rank 1 is <second>
    And a new request of rank 2 is <second>

    Examples:
      | urgent | usual | first    | second   |
      | 10     | 700   | accepted | accepted |
      | 10     | 800   | accepted | refused  |
      | 740    | 20    | accepted | refused  |
      | 760    | 20    | refused  | refused  |
      | 10     | 989   | accepted | refused  |
      | 10     | 990   | refused  | refused  |

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
