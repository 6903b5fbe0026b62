Feature: The source tree keeps to the rules of the design page
  Guards against threads, executors and child processes in the program, against files synced by
  entry processes, and against log events that the operators' page doesn't list.

  Scenario: The program starts no thread, executor or process
    When the source tree is searched
    Then no module imports one of these
      | module             |
      | threading          |
      | _thread            |
      | concurrent.futures |
      | multiprocessing    |
      | subprocess         |
      | queue              |
      | socketserver       |
    And no module uses one of these names
      | name                     |
      | run_in_executor          |
      | to_thread                |
      | create_subprocess_exec   |
      | create_subprocess_shell  |
      | fork                     |
      | popen                    |
      | posix_spawn              |
      | BatchSpanProcessor       |
      | ThreadPoolExecutor       |
    And only modules of control processes sync files

  @fixture.audit @fixture.session
  Scenario: A local fleet that serves and traces requests starts no thread and no process
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.0 seconds pass
    When a traced caller sends GET "/s/status-svc/applications/17"
    Then a span was written
    And neither a thread nor a process was started

  Scenario: The catalogue of log events lists exactly the events of the code
    Then "docs/events.md" lists each event of the code with its number, fields and what to do
