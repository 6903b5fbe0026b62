Feature: The relay passes a long body on as its caller sent it, or as a broken one
  Guards against an endpoint that runs a part of a body or a body that differs from its caller's, on
  the product's own interface, which buffers no part of a body. Callers upload random bytes by POST
  and PUT, in chunks and by length, to the owner of the endpoints (entry VM 0) or through another
  entry VM (1). Whole digests are compared.

  # Guards against a repeat without the part of the body that an earlier attempt has read.
  @fixture.session
  Scenario Outline: Endpoints end the connection while they receive a body
    Given two endpoints that keep the bodies that they receive, with a limit of 1000000 bytes
    And its connections are kept by entry VM <vm>
    And each of them <fault> after <bytes> bytes of a body
    When callers upload to entry VM <vm>, with seed <seed>
    Then no receiver takes a body for whole that isn't its caller's, and no caller is told wrong
    And the receivers had the fault, and callers got <statuses>

    Examples:
      | guards against                           | vm | fault                    | bytes  | seed | statuses   |
      | a repeat after the head                  | 0  | closes a kept connection | 0      | 1    | 200 or 502 |
      | a repeat after the first 64 KiB          | 0  | closes a kept connection | 65536  | 2    | 502        |
      | a repeat within the rest                 | 0  | resets a kept connection | 110000 | 3    | 502        |
      | the same, through another VM             | 1  | resets a kept connection | 110000 | 4    | 502        |
      | a repeat after the head, through a VM    | 1  | resets a kept connection | 0      | 5    | 200 or 502 |

  # Guards against a next request within the rest of a body whose response has been sent.
  @fixture.session
  Scenario Outline: Endpoints respond before they have read a body, and read on later
    Given two endpoints that keep the bodies that they receive, with a limit of 1000000 bytes
    And its connections are kept by entry VM <vm>
    And each of them responds with 200 and pauses for <pause> s after <bytes> bytes of a body
    When callers upload to entry VM <vm>, with seed <seed>
    And callers upload to entry VM <vm>, with seed <seed>
    Then no receiver gets an invalid head, or a body for whole that isn't its caller's
    And the receivers had the fault, and callers got 200

    Examples:
      | guards against                     | vm | pause | bytes | seed |
      | the next head within a body        | 0  | 0.3   | 0     | 11   |
      | the same, with the rest in flight  | 0  | 3     | 70000 | 12   |
      | the same, through another VM       | 1  | 1     | 70000 | 13   |

  # Guards against an aborted body that an endpoint takes for a complete one.
  @fixture.session
  Scenario Outline: Callers break off their bodies
    Given two endpoints that keep the bodies that they receive, with a limit of <limit> bytes
    When callers upload to entry VM <vm> and each <action> after <bytes> bytes, with seed <seed>
    Then <whole> of the bodies are received whole, and <broken> broken
    And no receiver takes a body for whole that isn't its caller's, and no caller is told wrong

    Examples:
      | guards against                       | vm | limit   | action                 | bytes  | seed | whole | broken |
      | a caller that leaves                 | 0  | 1000000 | leaves                 | 100000 | 21   | no    | all    |
      | the same, through another VM         | 1  | 1000000 | leaves                 | 100000 | 22   | no    | all    |
      | a caller that resets                 | 0  | 1000000 | resets                 | 30000  | 23   | no    | all    |
      | an invalid chunk                     | 0  | 1000000 | sends an invalid chunk | 100000 | 24   | no    | all    |
      | the same, through another VM         | 1  | 1000000 | sends an invalid chunk | 100000 | 25   | no    | all    |
      | a pause within the progress limit    | 0  | 1000000 | pauses for 3 s         | 100000 | 26   | all   | none   |
      | a pause beyond the progress limit    | 0  | 1000000 | pauses for 12 s        | 100000 | 27   | no    | all    |
      | the same, through another VM         | 1  | 1000000 | pauses for 12 s        | 100000 | 28   | no    | all    |
      | a size limit within a body           | 0  | 150000  | pauses for 0.1 s       | 100000 | 29   | no    | some   |
      | the same, through another VM         | 1  | 150000  | pauses for 0.1 s       | 100000 | 30   | no    | some   |

  # Guards against work that goes on for callers that left once their bodies had been read.
  @fixture.session
  Scenario Outline: A caller leaves after the end of its body
    Given two endpoints that keep the bodies that they receive, with a limit of 1000000 bytes
    When callers of entry VM <vm> leave 0.5 s after their bodies, with seed <seed>
    Then no run has a sender that is still connected

    Examples:
      | vm | seed |
      | 0  | 31   |
      | 1  | 32   |
