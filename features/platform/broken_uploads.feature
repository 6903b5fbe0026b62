Feature: Long bodies reach an endpoint as their callers sent them, or are seen broken
  Guards against an endpoint that runs a part of a body, a body that differs from its caller's, or a
  request that no caller sent. In each scenario callers upload bodies of random bytes and random
  sizes, all of them longer than the buffered part, in chunks and by length, on a route whose
  requests may run once only and on one whose requests may be repeated. Whole digests are compared.

  Background:
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    And 10 s go by on the platform

  # Guards against a second attempt with a part of a body, and against a broken body that looks whole.
  # The network in memory doesn't reset a stream whose other end is closed, so that a sender may notice
  # a close only at its deadline.
  @fixture.platform_fleet
  Scenario Outline: Endpoints end the connection while they receive a body
    Given connections to all endpoints are kept
    And each endpoint <fault> after <bytes> bytes of a body
    When callers upload with seed <seed>
    Then the fault has occurred
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get <statuses>

    Examples:
      | guards against                                 | fault                    | bytes  | seed | statuses   |
      | a resend after the head of a stale connection  | closes a kept connection | 0      | 1    | 502 or 504 |
      | a resend after the buffered part               | closes a kept connection | 65536  | 2    | 502 or 504 |
      | a resend in the middle of the rest             | closes a kept connection | 110000 | 3    | 502 or 504 |
      | a resend after a reset at the head             | resets a kept connection | 0      | 4    | 200 or 502 |
      | a resend after a reset at the buffered part    | resets a kept connection | 65536  | 5    | 200 or 502 |
      | a resend after a reset in the rest             | resets a kept connection | 110000 | 6    | 200 or 502 |
      | a resend after a new connection ends at once   | resets a connection      | 0      | 7    | 502        |
      | a resend after a new connection ends midway    | resets a connection      | 110000 | 8    | 502        |

  # Guards against a request on a kept connection that begins within the rest of another body.
  @fixture.platform_fleet
  Scenario Outline: Endpoints respond before they have read a body, and read on later
    Given connections to all endpoints are kept
    And each endpoint responds with <status> and pauses for <pause> s after <bytes> bytes of a body
    When callers upload with seed <seed>
    Then the fault has occurred
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get <statuses>
    When callers upload 1000 bytes with seed <seed>
    Then no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong

    Examples:
      | guards against                                    | status | pause | bytes  | seed | statuses   |
      | the next head within a body whose success is known | 200   | 0.3   | 0      | 11   | 200        |
      | the same, with the rest in flight                  | 200   | 1     | 70000  | 12   | 200        |
      | the same, past the deadline                        | 200   | 3     | 0      | 13   | 200 or 504 |
      | a resend after an early refusal                    | 503   | 0.3   | 0      | 14   | 503        |
      | a resend after a refusal within the rest           | 503   | 1     | 110000 | 15   | 503        |
      | a resend after a refusal past the deadline         | 503   | 3     | 0      | 16   | 503 or 504 |

  # Guards against a response that is taken for that of another request whose body is being sent.
  @fixture.platform_fleet
  Scenario Outline: Responses to earlier requests arrive while a body is being sent
    Given connections to all endpoints are kept
    And each endpoint repeats an earlier <response> after <bytes> bytes of a body
    When callers upload with seed <seed>
    Then the fault has occurred
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get 200

    Examples:
      | guards against                                | response | bytes  | seed |
      | a success that belongs to another request     | response | 0      | 21   |
      | the same, within the rest of the body         | response | 110000 | 22   |
      | a "not run" that belongs to another request   | refusal  | 0      | 23   |
      | the same, within the rest of the body         | refusal  | 110000 | 24   |

  # Guards against a refusal of a caller's earlier try that is taken for that of the later one.
  @fixture.platform_fleet
  Scenario Outline: A second copy of a refusal arrives while the repeated body is being sent
    Given callers upload once and are refused, with seed <seed>
    And each endpoint repeats an earlier refusal after <bytes> bytes of a body
    When callers repeat their uploads with the same identifiers
    Then the fault has occurred
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get 200

    Examples:
      | guards against                          | bytes  | seed |
      | a false "not run" before the body       | 0      | 121  |
      | the same, within the rest of the body   | 110000 | 122  |

  # Guards against a body whose rest goes to a server other than the one that got its first part.
  @fixture.platform_fleet
  Scenario Outline: Servers change while bodies are received
    When <event> once the callers have sent <bytes> bytes, with seed <seed>
    Then no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get <statuses>

    Examples:
      | guards against                               | event                                       | bytes  | seed | statuses          |
      | a placement withdrawn while it is buffered   | all endpoints of sofia leave                | 40000  | 31   | 200               |
      | a placement withdrawn within the rest        | all endpoints of sofia leave                | 80000  | 32   | 200               |
      | the same, later                              | all endpoints of sofia leave                | 120000 | 33   | 200               |
      | a new server at the address, while buffered  | the endpoints of sofia are replaced         | 40000  | 34   | 200 or 503        |
      | a new server at the address, within the rest | the endpoints of sofia are replaced         | 80000  | 35   | 200 or 503        |
      | a hand-over of the owner while buffered      | the entry VM of sofia-b stops               | 40000  | 36   | 200               |
      | a hand-over of the owner within the rest     | the entry VM of sofia-b stops               | 80000  | 37   | 200               |
      | a planned stop of the caller's VM            | the entry VM of sofia-a stops               | 80000  | 48   | 200               |
      | the death of the owner within the rest       | the entry VMs of sofia-b die                | 80000  | 38   | 200               |
      | the restart of the owner within the rest     | the entry VMs of sofia-b restart            | 80000  | 39   | 200               |
      | the death of the caller's VM within the rest | the entry VMs of sofia-a die                | 80000  | 40   | nothing           |
      | the restart of the caller's VM               | the entry VMs of sofia-a restart            | 120000 | 41   | nothing           |
      | a slow endpoint, 0.1 s                       | the endpoints of sofia pause for 0.1 s      | 80000  | 42   | 200               |
      | a slow endpoint, 1 s                         | the endpoints of sofia pause for 1 s        | 80000  | 43   | 200               |
      | a slow endpoint, 3 s                         | the endpoints of sofia pause for 3 s        | 80000  | 44   | 502 or 504        |
      | a slow VM of the caller, 0.1 s               | the entry VMs of sofia-a pause for 0.1 s    | 80000  | 45   | 200               |
      | a slow VM of the caller, 1 s                 | the entry VMs of sofia-a pause for 1 s      | 120000 | 46   | 200               |
      | a slow VM of the caller, 3 s                 | the entry VMs of sofia-a pause for 3 s      | 80000  | 47   | 504               |

  # Guards against a second forward of a body, and against a broken body that a second VM completes.
  @fixture.platform_fleet
  Scenario Outline: The VM to which bodies are forwarded fails
    Given varna is farther from sofia than plovdiv is
    And no endpoint of "sofia" has room
    When <event> once the callers have sent <bytes> bytes, with seed <seed>
    Then no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get <statuses>

    Examples:
      | guards against                                   | event                                      | bytes  | seed | statuses          |
      | a forward that is refused before the rest        | the entry VMs of plovdiv refuse            | 40000  | 51   | 200 or 503        |
      | a forward that is refused within the rest        | the entry VMs of plovdiv refuse            | 80000  | 52   | 200 or 503        |
      | a forward to a VM that has died                  | the entry VMs of plovdiv die               | 40000  | 53   | 200 or 502 or 503 |
      | a forward to a VM that dies within the rest      | the entry VMs of plovdiv die               | 80000  | 54   | 200 or 502        |
      | the same, later                                  | the entry VMs of plovdiv die               | 120000 | 55   | 200 or 502        |
      | a forward to a VM that restarts                  | the entry VMs of plovdiv restart           | 40000  | 56   | 200 or 502 or 503 |
      | a forward to a VM that restarts within the rest  | the entry VMs of plovdiv restart           | 80000  | 57   | 200 or 502        |
      | a forward to a VM that is paused for 0.1 s       | the entry VMs of plovdiv pause for 0.1 s   | 80000  | 58   | 200               |
      | a forward to a VM that is paused for 1 s         | the entry VMs of plovdiv pause for 1 s     | 80000  | 59   | 200 or 504        |
      | a forward to a VM that is paused for 3 s         | the entry VMs of plovdiv pause for 3 s     | 80000  | 60   | 502 or 504        |
      | an endpoint behind it that is paused for 3 s     | the endpoints of plovdiv pause for 3 s     | 80000  | 61   | 502 or 504        |
      | a withdrawn placement at the second VM           | all endpoints of plovdiv leave             | 80000  | 62   | 200 or 503        |
      | a new server behind the second VM                | the endpoints of plovdiv are replaced      | 80000  | 63   | 200 or 503        |

  # Guards against the second forward of a body whose first forward has read its rest.
  @fixture.platform_fleet
  Scenario Outline: A second forward
    Given varna is farther from sofia than plovdiv is
    And no endpoint of "sofia" has room
    And the first VM to which requests are forwarded is unreachable
    When <event> once the callers have sent <bytes> bytes, with seed <seed>
    Then no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get <statuses>

    Examples:
      | guards against                            | event                                   | bytes  | seed | statuses          |
      | a second forward that is refused          | the entry VMs of plovdiv-b refuse       | 40000  | 71   | 200 or 503        |
      | a second forward that is refused midway   | the entry VMs of plovdiv-b refuse       | 80000  | 72   | 200 or 503        |
      | a second forward to a VM that dies        | the entry VMs of plovdiv-b die          | 80000  | 73   | 200 or 502 or 503 |

  # Guards against a repeat that the retry budget refuses, and that sends a part of a body.
  @fixture.platform_fleet
  Scenario Outline: The retry budget refuses a repeat
    Given connections to all endpoints are kept
    And the retry budget is used up
    And each endpoint resets a connection after <bytes> bytes of a body
    When callers upload with seed <seed>
    Then the fault has occurred
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And callers get 502

    Examples:
      | guards against                    | bytes  | seed |
      | a repeat with the rest unread     | 0      | 81   |
      | a repeat with a part of the rest  | 110000 | 82   |

  # Guards against an aborted body that an endpoint takes for a complete one.
  @fixture.platform_fleet
  Scenario Outline: Callers break off their bodies
    Given configuration 2 with a time limit of 20 s
    When each caller <action> after <bytes> bytes, with seed <seed>
    Then <whole> bodies arrive whole, and <broken> are seen broken
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And 0.5 s after that no work goes on

    Examples:
      | guards against                              | action                 | bytes  | seed | whole | broken |
      | a caller that leaves in the buffered part   | leaves                 | 30000  | 91   | no    | none   |
      | a caller that leaves within the rest        | leaves                 | 70000  | 92   | no    | all    |
      | the same, later                             | leaves                 | 120000 | 93   | no    | all    |
      | a caller that resets in the buffered part   | resets                 | 30000  | 94   | no    | none   |
      | a caller that resets within the rest        | resets                 | 100000 | 95   | no    | all    |
      | an invalid chunk in the buffered part       | sends an invalid chunk | 30000  | 96   | no    | none   |
      | an invalid chunk within the rest            | sends an invalid chunk | 100000 | 97   | no    | all    |
      | a pause within the progress limit           | pauses for 2.5 s       | 100000 | 98   | all   | none   |
      | a pause beyond the progress limit           | pauses for 4 s         | 100000 | 99   | no    | all    |
      | such a pause in the buffered part           | pauses for 4 s         | 30000  | 100  | no    | none   |

  # Guards against an aborted body that the second VM completes.
  @fixture.platform_fleet
  Scenario Outline: Callers break off bodies that are forwarded
    Given configuration 2 with a time limit of 20 s
    And no endpoint of "sofia" has room
    When each caller <action> after <bytes> bytes, with seed <seed>
    Then <whole> bodies arrive whole, and <broken> are seen broken
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong
    And 0.5 s after that no work goes on

    Examples:
      | guards against                             | action                 | bytes  | seed | whole | broken |
      | a caller that leaves within the rest       | leaves                 | 100000 | 131  | no    | all    |
      | a caller that resets within the rest       | resets                 | 100000 | 132  | no    | all    |
      | an invalid chunk within the rest           | sends an invalid chunk | 100000 | 133  | no    | all    |
      | a pause within the progress limit          | pauses for 2.5 s       | 100000 | 134  | all   | none   |
      | a pause beyond the progress limit          | pauses for 4 s         | 100000 | 135  | no    | all    |

  # Guards against a body over the limit that an endpoint takes for a complete one.
  @fixture.platform_fleet
  Scenario Outline: The size limit is reached within a body
    Given configuration 2 with a limit of <limit> bytes for bodies
    When callers upload <size> bytes with seed <seed>
    Then callers get <statuses>
    And <whole> bodies arrive whole, and <broken> are seen broken
    And no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong

    Examples:
      | guards against                       | limit  | size   | seed | statuses       | whole | broken |
      | a limit within the rest              | 100000 | 150000 | 101  | 413 or nothing | no    | some   |
      | a limit in the last chunk            | 149999 | 150000 | 102  | 413 or nothing | no    | some   |
      | a limit that isn't exceeded          | 150000 | 150000 | 103  | 200            | all   | none   |
      | a limit within the buffered part     | 50000  | 150000 | 104  | 413 or nothing | no    | any    |
      | a limit that a buffered body exceeds | 50000  | 60000  | 105  | 413            | no    | none   |

  # Guards against work that goes on for callers that left once their bodies had been read.
  @fixture.platform_fleet
  Scenario Outline: A caller leaves after the end of its body
    Given the endpoints of "filing" never answer
    And the endpoints of "status" never answer
    And <place>
    When each caller leaves 0.5 s after the end of its body, with seed <seed>
    Then 0.5 s after that no work goes on

    Examples:
      | guards against          | place                            | seed |
      | work in the region      | 0 s go by on the platform        | 111  |
      | work in another region  | no endpoint of "sofia" has room  | 112  |
