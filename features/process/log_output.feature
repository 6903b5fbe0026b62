Feature: The log is bounded and never stalls a process
  Guards against a loop that waits for whoever reads the log, and against lines that use up the
  processor while many requests end badly.

  Scenario: Nobody reads the pipe
    Given a log that writes to a pipe which nobody reads
    When 20000 lines are written
    Then all writes return, and lines are dropped and counted
    When the pipe is read to its end and one more line is written
    Then each line that was read is whole, and the last one is the newest

  Scenario: A burst of one event leaves room for others
    Given a log with a budget of 40 lines a second for each event
    When 1000 requests are refused and one process starts within a second
    Then 40 refusals and the start are written
    When a request is refused 1.1 s later
    Then a line tells that 960 refusals were left out
