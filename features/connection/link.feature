Feature: Messages between the project's own processes
  Guards against a process whose malformed response ends the task that called it, such as the poll
  of a control VM.

  @fixture.virtual_loop
  Scenario Outline: Another process sends something other than a response
    Given a process that <behaviour>
    When a message is sent to it
    Then the call fails with a link error within 1.1 s

    Examples:
      | behaviour                                    |
      | sends bytes before the request               |
      | sends a body that isn't JSON                 |
      | sends a body with 200000 nested brackets     |
      | sends a head without end                     |
      | sends status 100 without end                 |
      | closes the connection without a response     |
      | never responds                               |

  # Guards against a log line that names states of a library instead of what happened.
  @fixture.virtual_loop
  Scenario Outline: Another process closes the connection
    Given a process that closes the connection <when>
    When a message is sent to it
    Then the error says that the connection was closed before the end of the response

    Examples:
      | when               |
      | without a response |
      | within a response  |

  @fixture.virtual_loop
  Scenario: A message arrives in one piece
    Given a process that counts the pieces of a message
    When a message is sent to it
    Then it has received 1 piece

  # Guards against a log line that doesn't say what happened.
  @fixture.virtual_loop
  Scenario: Another process is silent
    Given a slow process that sends a response in 8 parts every 0.4 s, and stops after 0 parts
    When a message is sent to it with a limit of 10 s, and of 0.5 s without a byte
    Then the error says that there was no response

  # Guards against a limit on the whole response that a slow link can't keep, and against a long wait
  # for a process that has stopped sending.
  @fixture.virtual_loop
  Scenario Outline: A response is read for as long as it makes progress
    Given a slow process that sends a response in 8 parts every <interval> s, and stops after <parts> parts
    When a message is sent to it with a limit of 10 s, and of 0.5 s without a byte
    Then the call <result> within <seconds> s

    Examples:
      | interval | parts | result                    | seconds |
      | 0.4      | 8     | succeeds                  | 3.3     |
      | 0.4      | 4     | fails with a link error   | 2.2     |
      | 0.4      | 0     | fails with a link error   | 0.6     |
