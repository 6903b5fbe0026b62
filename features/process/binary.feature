Feature: The program is one file that runs as one process with one thread
  Guards against a launcher that keeps a parent process, and against libraries that start threads.

  Scenario: The built file runs the local fleet, an entry process and a control process
    Given the program is built into one file
    When the built file runs the local fleet with 100 requests
    Then it ended with code 0 and was one process with one thread all the time
    When the built file runs a control process and an entry process
    Then each of them is one process with one thread
    And the entry process runs catalogue version 7 once the built file has applied the example
    And the built file explains the service "status-svc" and prints the report
    And a second process at the same addresses ends with code 1 and no traceback
    And each of them ends with code 0 after SIGTERM
    And the program was extracted below the working directory only
