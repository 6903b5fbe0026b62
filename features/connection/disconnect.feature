Feature: Work for a client that may disconnect
  Guards against work that goes on for a client that has left, and against a connection whose next
  request is lost because the watch for its end has read it.

  @fixture.virtual_loop
  Scenario Outline: The work is done, or it is cancelled
    Given work that takes <work> s for a client
    When the client <action> after <seconds> s and the time limit is <limit> s
    Then the result after <end> s is "<result>"
    And the work was <fate>

    Examples:
      | work | action      | seconds | limit | end  | result       | fate      |
      | 0.5  | only waits  | 0       | 2     | 0.5  | Finished     | done      |
      | 5    | only waits  | 0       | 2     | 2    | TimedOut     | cancelled |
      | 5    | disconnects | 0.3     | 2     | 0.31 | Disconnected | cancelled |
      | 5    | resets      | 0.3     | 2     | 0.31 | Disconnected | cancelled |
      | 5    | disconnects | 0       | 2     | 0.01 | Disconnected | cancelled |
      | 0.5  | disconnects | 1       | 2     | 0.5  | Finished     | done      |

  @fixture.virtual_loop
  Scenario: Bytes that arrive meanwhile are left for the next exchange
    Given work that takes 0.5 s for a client
    When the client sends bytes after 0.1 s and the time limit is 2 s
    Then the result after 0.5 s is "Finished"
    And the bytes can still be read

  @fixture.virtual_loop
  Scenario: An error of the work is raised
    Given work that fails after 0.5 s for a client
    When the client only waits after 0 s and the time limit is 2 s
    Then the result after 0.5 s is "ValueError"

  # Guards against errors in the log that nobody can act on, when a VM ends its connections while a
  # client leaves.
  @fixture.virtual_loop
  Scenario: The work fails while the connection is being ended
    Given work for a client that fails while it is being cancelled from outside
    When the client only waits after 0 s and the time limit is 2 s
    Then no error is reported as never retrieved
