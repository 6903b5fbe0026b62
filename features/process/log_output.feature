Feature: The log is rate-limited and never blocks a process
  Guards against an event loop that waits for a slow reader of the log, and against log lines that
  use up the processor while many requests fail.

  Scenario: Lines are dropped while nobody reads the pipe
    Given a log that writes to a pipe which nobody reads
    When 20000 lines are written
    Then all writes return, and dropped lines are counted
    When the pipe is read to its end and one more line is written
    Then each line that was read is complete, and the last one is the newest

  Scenario: A burst of one event doesn't suppress others
    Given a log with a budget of 40 lines a second for each event
    When 1000 requests are refused and one process starts within a second
    Then 40 refusals and the start are written
    When a request is refused 1.1 s later
    Then a line reports that 960 refusals were suppressed
