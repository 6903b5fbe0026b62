Feature: Requests on behalf of organisations
  Guards against requests that run without a valid key, against endpoints that get a key or a false
  organisation, and against valid keys that are refused.

  # Guards against a wrong answer to each kind of credential, and against refused requests that run.
  @fixture.platform_fleet
  Scenario Outline: A request with or without a key
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1 key-acme-2; bolt: key-bolt-1"
    When a client of "plovdiv-a" sends a "<route>" request with the headers "<headers>"
    Then it gets <status> and an endpoint gets "<sent>"

    Examples:
      | route | headers                                                       | status | sent                    |
      | read  | Authorization: Token key-acme-1                               | 200    | tenant: acme            |
      | read  | AUTHORIZATION: tOKEN key-bolt-1                               | 200    | tenant: bolt            |
      | file  | Authorization: Token key-acme-2 / Tenant: bolt / TENANT: x    | 200    | tenant: acme            |
      | file  | Authorization: Token key-acme-2 / Connection: Tenant          | 200    | tenant: acme            |
      | read  | none                                                          | 401    | nothing                 |
      | read  | Authorization: Token key-none-1 / Tenant: acme                | 401    | nothing                 |
      | file  | Authorization: Token                                          | 401    | nothing                 |
      | file  | Authorization: Basic key-acme-1                               | 401    | nothing                 |
      | read  | Authorization: Token key-acme-1 / Authorization: Token key-acme-1 | 401 | nothing                |
      | open  | none                                                          | 200    |                         |
      | open  | Tenant: acme                                                  | 200    |                         |
      | open  | Authorization: Token key-acme-1                               | 200    | tenant: acme            |
      | open  | Authorization: Token key-none-1 / Tenant: acme                | 200    |                         |
      | open  | Authorization: Bearer key-acme-1                              | 200    |                         |
      | open  | Authorization: Basic abc                                      | 200    | authorization: Basic abc |

  # Guards against a claim to an organisation in a trailer, which is read after the head.
  @fixture.platform_fleet
  Scenario: A trailer names an organisation and a key
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When a client of "sofia-a" sends a body with the trailers "Tenant: bolt / Authorization: Token key-bolt-1"
    Then it gets 200 and an endpoint gets "tenant: acme"
    And no entry VM has sent a key to an endpoint or to another entry VM

  # Guards against any change for deployments without organisations.
  @fixture.platform_fleet
  Scenario: Without organisations heads are forwarded as the caller sent them
    Given a fleet with an endpoint of each service in each zone
    And configuration 1 is in force
    When a client of "sofia-b" sends a "read" request with the headers "Authorization: Token key-acme-1 / Tenant: x / X-Own: 1"
    Then the endpoint gets the client's headers, its own name and the time left, and nothing else
    And entry VMs have stated no organisation to each other

  # Guards against a key that leaves the VM, and against an organisation that is lost on the way.
  @fixture.platform_fleet
  Scenario: Requests are forwarded to another region
    Given a fleet with "status" endpoints in "sofia-a" only
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When clients of "varna-a" send 6 "read" requests with the key "key-acme-1"
    Then each of these requests gets 200
    And all of them ran for "acme" and some of them came from another region
    And no entry VM has sent a key to an endpoint or to another entry VM

  # Guards against a repeated request that carries the key or lacks the organisation.
  @fixture.platform_fleet
  Scenario Outline: Requests are repeated
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    And in "<region>" each "status" endpoint <fault>
    When clients of "sofia-a" send 8 "read" requests with the key "key-bolt-1"
    Then some of them were sent more than once
    And all of them ran for "bolt"
    And no entry VM has sent a key to an endpoint or to another entry VM

    Examples:
      | region | fault                            |
      | sofia  | resets connections after the run  |
      | sofia  | rejects everything               |

  # Guards against keys that still work once their withdrawal was acknowledged, also on a connection
  # on which they worked before, and against new keys that don't work yet.
  @fixture.platform_fleet
  Scenario: A key is withdrawn, and another one is added
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When each entry VM gets a request with the key "key-acme-1" on a connection that stays open
    Then each of them gets 200
    When the organisations become "acme: key-acme-2; bolt: key-bolt-1"
    And each entry VM gets a request with the key "key-acme-1" on the same connection
    Then each of them gets 401
    When each entry VM gets a request with the key "key-acme-2" on a connection that stays open
    Then each of them gets 200

  # Guards against a queued request that runs without a valid key or for its former organisation,
  # and against the loss of its place in the queue for others.
  @fixture.platform_fleet
  Scenario Outline: The organisations change while a request is queued
    Given a fleet with one busy "status" endpoint that takes 1 s, and the organisations "acme: key-acme-1; bolt: key-bolt-1"
    When a request with the key "key-acme-1" and one with "key-bolt-1" are queued, and the organisations become "<organisations>"
    Then the first one gets <status> within 0.6 s and never runs
    And the other one gets <other> and runs for "<name>"

    Examples:
      | organisations                        | status | other | name |
      | bolt: key-bolt-1                     | 401    | 200   | bolt |
      | acme: key-acme-2; bolt: key-bolt-1   | 401    | 200   | bolt |
      | bolt: key-bolt-1 key-acme-1          | 503    | 200   | bolt |
      | bolt: key-acme-1; acme: key-bolt-1   | 503    | 503   |      |

  # Guards against a forwarded request that runs at a VM that knows its organisation's new keys.
  @fixture.platform_fleet
  Scenario Outline: The organisations change while a forwarded request is queued
    Given a fleet with one busy "status" endpoint that takes 1 s, and the organisations "acme: key-acme-1; bolt: key-bolt-1"
    When a request that another VM forwarded for "acme" is queued, and the organisations become "<organisations>"
    Then the other VM gets <result>

    Examples:
      | organisations                                 | result                |
      | bolt: key-bolt-1                              | not_run, key_refused  |
      | acme: key-acme-2; bolt: key-bolt-1            | not_run, not_ready    |
      | acme: key-acme-1 key-acme-2; bolt: key-bolt-1 | completed             |

  # Guards against forwards of other versions, or of VMs with other routes, that fail or leak a key.
  @fixture.platform_fleet
  Scenario Outline: Another VM forwards a request
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When another VM forwards a request <forward> to "sofia-a"
    Then the other VM gets <result>

    Examples:
      | forward                                              | result                      |
      | for "acme"                                           | completed for "acme"        |
      | without organisation, but with a key and a `Tenant`  | completed for ""            |
      | for "gone"                                           | not_run, key_refused        |
      | for "new" of newer routes                            | completed for "new"         |

  # Guards against a request whose key is withdrawn after it was granted a slot.
  @fixture.platform_fleet
  Scenario: A key is withdrawn while the connection to an endpoint opens
    Given a fleet with "status" endpoints in "sofia-a" only
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    And connections to "status-sofia-a" take 0.3 s to open
    When a client of "sofia-a" sends a "read" request with the key "key-acme-1" and 0.1 s later the organisations become "bolt: key-bolt-1"
    Then it gets 401 and an endpoint gets "nothing"
    And no slot is in use

  # Guards against a body that is sent to another region although the key was withdrawn.
  @fixture.platform_fleet
  Scenario: A key is withdrawn while the connection to another entry VM opens
    Given a fleet with "status" endpoints in "sofia-a" only
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When a client of "varna-a" sends a "read" request with the key "key-acme-1" and 0.05 s later the organisations become "bolt: key-bolt-1"
    Then it gets 401 and an endpoint gets "nothing"
    And none of them left their entry VM

  # Guards against a repeat with a key that has been withdrawn since the first attempt.
  @fixture.platform_fleet
  Scenario Outline: A key is withdrawn before a retry
    Given a fleet with "status" endpoints in "sofia-a" only
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    And in "sofia" each "status" endpoint <fault>
    When a client of "sofia-a" sends a "read" request with the key "key-acme-1" and 0.05 s later the organisations become "<organisations>"
    Then it gets <status>
    And it ran <runs> times

    Examples:
      | fault                           | organisations                | status | runs |
      | resets connections after the run | bolt: key-bolt-1             | 401    | 1    |
      | resets connections after the run | bolt: key-bolt-1 key-acme-1  | 502    | 1    |
      | resets connections after the run | acme: key-acme-1             | 502    | 2    |

  # Guards against 401 for a key that may have been added since the VM heard of a configuration.
  @fixture.platform_fleet
  Scenario Outline: A VM whose routes may be outdated
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    And the entry VM of "varna-b" <state>
    Then a request of "varna-b" with the key "key-acme-1" gets <known>
    And a request of "varna-b" with the key "key-new-1" gets <unknown>
    And a request of "varna-b" without a key gets 401

    Examples:
      | state                                 | known | unknown                 |
      | hears every control VM                | 200   | 401                     |
      | is cut off from them for 3 s          | 200   | 401                     |
      | is cut off from them for 6.5 s        | 200   | 503 with a time to return |
      | has heard of a newer catalogue        | 200   | 503 with a time to return |
      | was cut off from them for 8 s         | 200   | 401                     |
      | has just been restarted               | 200   | 401                     |

  # Guards against a VM that accepts keys without contact although revocation is strict.
  @fixture.platform_fleet
  Scenario: Strict revocation
    Given keys are revoked strictly, after 5000 ms without contact
    And a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    And the entry VM of "varna-b" is cut off from them for 7.5 s
    Then a request of "varna-b" with the key "key-acme-1" gets 503 with a time to return
    And a request of "varna-b" without a key gets 401
    And a request of "varna-a" with the key "key-acme-1" gets 200

  # Guards against a restarted VM that answers 401, or serves all, before it has a configuration.
  @fixture.platform_fleet
  Scenario: An entry VM is restarted without any control VM
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; bolt: key-bolt-1"
    When all control VMs and the entry VM of "varna-b" are killed, and the latter is restarted
    Then a request of "varna-b" with the key "key-acme-1" gets 503 with a time to return
    And a request of "varna-b" without a key gets 503 with a time to return

  # Guards against requests that run, or bodies that are sent, where the organisation forbids it.
  @fixture.platform_fleet
  Scenario: Regions of organisations
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1; cork: key-cork-1 in varna"
    When clients of "sofia-a" send 8 "read" requests with the key "key-cork-1"
    Then each of these requests gets 200
    And each of them ran in "varna" for "cork"
    When clients of "sofia-a" send 8 "near" requests with the key "key-acme-1"
    Then each of these requests gets 200
    And each of them ran in "sofia" for "acme"
    When clients of "plovdiv-a" send 4 "near" requests with the key "key-cork-1"
    Then each of these requests gets 503
    And none of them left their entry VM

  # Guards against keys in logs, metrics, error texts, responses and messages.
  @fixture.platform_fleet
  Scenario: Keys are found nowhere
    Given a fleet with an endpoint of each service in each zone
    And the organisations are "acme: key-acme-1 key-acme-2; bolt: key-bolt-1"
    And in "sofia" each "status" endpoint resets connections after the run
    When clients of each zone send requests with all keys, also unknown ones, and malformed ones
    And the operator tries configurations that share a key, can't be read or aren't UTF-8
    And the organisations become "acme: key-acme-3; bolt: key-bolt-1"
    And clients of each zone send requests with all keys, also unknown ones, and malformed ones
    Then no log, metric, response or error text contains a key
    And refused keys are logged and counted by reason
    And no entry VM has sent a key to an endpoint or to another entry VM
