Feature: What may be attempted again once a part of a body has been read
  Guards against a second attempt with a part of a body, and against small requests or requests
  whose rest is still unread that are given up although they can be sent again.

  # Guards against senders that decide differently on the same progress of a body.
  Scenario Outline: The decision depends only on what was read after the buffered part
    Given a body that is <buffered>
    When chunks of <sizes> bytes after the buffered part are read
    Then the request <decision> be attempted again

    Examples:
      | buffered             | sizes        | decision |
      | buffered completely  | no           | may      |
      | buffered completely  | 0            | may      |
      | not buffered         | no           | may      |
      | not buffered         | 1            | may not  |
      | buffered in part     | no           | may      |
      | buffered in part     | 0            | may      |
      | buffered in part     | 1            | may not  |
      | buffered in part     | 16384, 0     | may not  |
      | buffered in part     | 1, 16384, 0  | may not  |

  # Guards against a framing that is read beyond the end of a body.
  Scenario: No byte can follow a body that is buffered completely
    Given a body that is buffered completely
    Then reading 1 byte after it is an error

  # Guards against a sender that sends the rest of a body without its first chunk.
  @fixture.virtual_loop
  Scenario: A body whose rest was read isn't sent, whoever asks for it
    Given a request with a body of which 1 byte after the buffered part was read
    When it is sent
    Then the send is refused before a connection is opened

  # Guards against a sender with a rule of its own for bodies that were read.
  Scenario: Each sender that attempts a request again asks this decision
    Then these modules use "may_resend" or pass the progress of a body to it
      | module                | name       |
      | route_steering.py     | may_resend |
      | send.py               | may_resend |
      | retry.py              | may_resend |
      | catalogue_steering.py | note_read  |
