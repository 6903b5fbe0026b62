Feature: Responses that are sent before the request body
  Guards against a client that sees its connection reset in place of a response, because the server
  closed it while the body still arrived.

  # Runs on real sockets, since only the kernel resets a connection that has unread bytes.
  Scenario: A server refuses an upload at once
    Given a TCP server that refuses a request before its body and then discards it
    When a client sends a body of 2000000 bytes and then reads the response
    Then it reads the whole response and the end of the connection
