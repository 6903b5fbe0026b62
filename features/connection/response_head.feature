Feature: Head of a relayed response
  Guards against a head that is held back until its body arrives, because the two are joined in one
  write where they arrive together.

  @fixture.session
  Scenario Outline: The head doesn't wait for a body that comes later
    Given a backend server that sends "<first>" and 1000 ms later "<rest>"
    When a caller reads the response until its end
    Then the caller got the head within 100 ms and the body "<body>" after 1000 ms

    Examples:
      | first                                                | rest             | body                  |
      | HTTP/1.1 200 OK;content-length: 5;;                  | 12345            | 12345                 |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;         | 5;12345;0;;      | 5;12345;0;;           |
      | HTTP/1.1 200 OK;transfer-encoding: chunked;;5        | ;12345;0;;       | 5;12345;0;;           |
