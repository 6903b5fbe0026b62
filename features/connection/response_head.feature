Feature: Head of a relayed response
  Guards against a response head that is delayed until its body arrives. The relay sends head and
  body in one write if they arrive together.

  @fixture.session
  Scenario Outline: The head is relayed before a body that arrives later
    Given a backend server that sends "<first>" and 1000 ms later "<rest>"
    When a caller reads the response until its end
    Then the caller received the head within 100 ms and the body "<body>" after 1000 ms

    Examples:
      | first                                                | rest             | body                  |
      | HTTP/1.1 200 OK;content-length: 5;;                  | 12345            | 12345                 |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;         | 5;12345;0;;      | 5;12345;0;;           |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;5        | ;12345;0;;       | 5;12345;0;;           |
