Feature: The platform's messages are decoded into the product's own types
  Guards against malformed messages that stop a process or yield a wrong address, against invalid
  configurations that are accepted, and against names of the platform outside the adapter.

  Scenario Outline: Decoding a heartbeat
    When the heartbeat is <change>
    Then it is decoded as <result>

    Examples:
      | change                        | result      |
      | as on the sheet               | a report    |
      | without born                  | a report    |
      | with a field that isn't known | a report    |
      | with state draining           | a departure |
      | with state sleeping           | refused     |
      | without service               | refused     |
      | with slots 0                  | refused     |
      | with slots "6"                | refused     |
      | with seq true                 | refused     |
      | with seq 1.5                  | refused     |
      | with address nowhere          | refused     |
      | with address 10.1.0.1:x       | refused     |
      | with coldRemainingMs -5       | refused     |
      | a list                        | refused     |
      | no JSON                       | refused     |
      | 200000 nested brackets        | refused     |

  Scenario Outline: Validating a configuration
    When the configuration has <change>
    Then it is <result>

    Examples:
      | change                                      | result   |
      | nothing unusual                             | accepted |
      | a field that isn't known                    | accepted |
      | two services that share a route             | accepted |
      | a route that names an unknown service       | invalid  |
      | a part of a route with an unknown service   | invalid  |
      | two routes with one host and prefix         | invalid  |
      | an empty host                               | invalid  |
      | an aim a minute above the time limit        | invalid  |
      | an aim 59 s above the time limit            | accepted |
      | a version without its letter                | invalid  |
      | no routes at all                            | invalid  |
      | its last byte cut off                       | invalid  |
      | 200000 nested brackets                      | invalid  |
      | a route without a kind                      | invalid  |
      | a route whose kind is a list                | invalid  |
      | a route of an unknown kind                  | accepted |

  Scenario Outline: Only requests of the kinds that the platform calls repeatable may run twice
    When the configuration has a route of the kind "<kind>"
    Then its requests are <repetition>

    Examples:
      | kind     | repetition     |
      | safe     | idempotent     |
      | download | idempotent     |
      | unsafe   | not idempotent |
      | keyed    | not idempotent |
      | Safe     | not idempotent |

  Scenario Outline: Decoding the settings file
    When the settings file has <change>
    Then the settings are <result>

    Examples:
      | change                           | result                                       |
      | nothing unusual                  | read                                         |
      | a field that isn't known         | read                                         |
      | no seeds                         | read                                         |
      | no zone                          | refused with "self.zone is missing"          |
      | a port that is no number         | refused with "network.listen.front is"       |
      | an inner range of one port       | refused with "network.internalPortRange is"  |
      | a memory limit of 152 MB         | read                                         |
      | a memory limit of 0 MB           | refused with "self.limits.memoryMb is"       |
      | a memory limit that is no number | refused with "self.limits.memoryMb is"       |
      | two scarce services              | read                                         |
      | a scarce service without a name  | refused with "camphorspread.scarceServices"  |
      | a bound that is no number        | refused with "terms.bounds.drainMs is"       |
      | three faults at once             | refused with three lines                     |

  # Guards against other decisions in deployments whose operators didn't ask for them.
  Scenario Outline: Services with admission under scarce capacity
    When the settings file has <change>
    Then the scarce services are <services>

    Examples:
      | change              | services       |
      | nothing unusual     | none           |
      | two scarce services | filing, status |

  # Guards against a bound that no operator asked for, and against one in the wrong unit.
  Scenario Outline: The memory that an entry VM may use
    When the settings file has <change>
    Then the memory limit is <limit>

    Examples:
      | change                   | limit           |
      | nothing unusual          | none            |
      | a memory limit of 152 MB | 152000000 bytes |

  Scenario Outline: The status of an error response claims no more than is known
    Given a refusal of the kind <kind>
    Then its status is <status>

    Examples:
      | kind                     | status |
      | overloaded               | 503    |
      | no_backend_server        | 503    |
      | deadline_passed_in_queue | 503    |
      | not_ready                | 503    |
      | unknown_service          | 404    |
      | backend_failed           | 502    |
      | deadline_exceeded        | 504    |

  Scenario: A forwarded request states the time left and the only endpoint that may run it
    Given a client's request with hop-by-hop headers, a deadline of 2000 ms and a cookie
    When it is sent to the endpoint "i-7" with 1500 ms left
    Then its headers are those of the client without hop-by-hop ones, 1500 ms and "i-7"
    And its affinity key is "17"

  Scenario: The names of the platform stay in the adapter
    When the modules outside the adapter are searched for the names of its calls, headers and fields
    Then none is found
