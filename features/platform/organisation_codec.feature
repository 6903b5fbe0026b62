Feature: Organisations in the configuration, and keys in requests
  Guards against a configuration that is accepted with other organisations than it names, against
  keys in error texts, and against heads that carry a key or a false organisation to an endpoint.

  # Guards against an entry that is accepted although it can't be read, or read in a wrong way.
  Scenario Outline: Validating organisations
    When the organisations have <change>
    Then the changed organisations are <result>

    Examples:
      | change                                    | result   |
      | nothing unusual                           | accepted |
      | a field that isn't known                  | accepted |
      | only a name                               | accepted |
      | null in all optional fields               | accepted |
      | a rate of 0                               | accepted |
      | a key twice in one organisation           | accepted |
      | a key of another organisation             | invalid  |
      | the name of another organisation          | invalid  |
      | no name                                   | invalid  |
      | an empty name                             | invalid  |
      | a name with a line break                  | invalid  |
      | a name with half a surrogate pair         | invalid  |
      | a name that is a number                   | invalid  |
      | keys in one string                        | invalid  |
      | a key that is a number                    | invalid  |
      | an empty key                              | invalid  |
      | a key with a space                        | invalid  |
      | a priority of 1.5                         | invalid  |
      | a priority that is true                   | invalid  |
      | a priority below 0                        | invalid  |
      | a rate in a string                        | invalid  |
      | a rate below 0                            | invalid  |
      | a rate without bound                      | invalid  |
      | a burst that is no number                 | invalid  |
      | regions in one string                     | invalid  |
      | a string in place of the entry            | invalid  |
      | an object in place of the list            | invalid  |
      | a string in place of public               | invalid  |

  # Guards against an exception for all requests of an organisation with a huge limit, and against
  # grants that no VM can read.
  Scenario Outline: A limit that no deployment reaches is none
    When an organisation has a rate of <rate> and a burst of <burst>
    Then the huge limit is <state>

    Examples:
      | rate  | burst | state    |
      | 1e9   | 1e9   | in force |
      | 1.1e9 | 0     | none     |
      | 2     | 1e16  | none     |
      | 1e308 | 0     | none     |
      | 1e400 | 0     | none     |

  # Guards against a deployment without organisations that starts to need keys.
  Scenario Outline: A configuration without organisations
    When the configuration has <tenants> in place of the organisations
    Then its requests need no key

    Examples:
      | tenants     |
      | nothing     |
      | null        |
      | an empty list |

  # Guards against fields of an organisation that are dropped or mixed up when they are read.
  Scenario: What is read
    When the organisations have nothing unusual
    Then "acme" has 2 keys, priority 1, a rate of 2.5, a burst of 3 and the regions "sofia"
    And the key of "bolt" is found, and only the route "read" is public

  # Guards against an error text, in a log or an operator's response, that contains a key.
  Scenario Outline: No error contains a key
    When <count> configurations with organisations are changed at random, from seed <seed>
    Then some of them are refused and no error contains a key

    Examples:
      | count | seed |
      | 4000  | 1    |
      | 4000  | 2    |

  # Guards against the error of a decoder that contains all of its input.
  Scenario Outline: A configuration in another encoding
    When a configuration with organisations is sent in <encoding>
    Then some of them are refused and no error contains a key

    Examples:
      | encoding    |
      | utf-16      |
      | utf-32      |
      | utf-8-sig   |
      | broken utf-8 |

  # Guards against a key that is misread, or a credential that is taken for none.
  Scenario Outline: Decoding the credential
    Given a request with the authorizations "<values>"
    Then its credential is <credential>

    Examples:
      | values             | credential    |
      | none               | no key        |
      | Token k-1          | the key "k-1" |
      | token k-1          | the key "k-1" |
      | TOKEN    k-1       | the key "k-1" |
      | Token              | malformed     |
      | empty              | malformed     |
      | k-1                | malformed     |
      | Tokenk-1           | malformed     |
      | Basic k-1          | malformed     |
      | Bearer k-1         | malformed     |
      | Token k-1 k-2      | malformed     |
      | Token k-1 / Token k-1 | malformed  |
      | Basic x / Token k-1 | malformed    |

  # Guards against an endpoint that gets a key, or an organisation that the caller made up.
  Scenario Outline: The head of an identified request
    Given a request with the headers "<headers>"
    When it is identified as "<name>" and sent to an endpoint
    Then the endpoint gets "<sent>"

    Examples:
      | headers                                            | name | sent                     |
      | authorization: Token k-1                           | acme | tenant: acme             |
      | authorization: tOkEn k-1 / tenant: x / tenant: y   | acme | tenant: acme             |
      | Authorization: Token k-1 / TENANT: x               | acme | tenant: acme             |
      | authorization: Token k-1 / connection: tenant      | acme | tenant: acme             |
      | authorization: Basic x, Token k-1                  | acme | tenant: acme             |
      | tenant: x                                          |      |                          |
      | authorization: Token k-9 / authorization: Basic x  |      | authorization: Basic x   |
      | authorization: Bearer token                        |      | authorization: Bearer token |
      | authorization: Bearer k-1                          |      |                          |
      | authorization: k-1                                 |      |                          |
      | authorization: Tokenk-1                            |      |                          |
      | authorization: Digest a="k-1", b=2                 |      |                          |

  # Guards against a change of the heads in a deployment without organisations.
  Scenario: A request that isn't identified is sent as before
    Given a request with the headers "authorization: Token k-1 / tenant: x"
    When it is sent to an endpoint without being identified
    Then the endpoint gets "authorization: Token k-1 / tenant: x"

  # Guards against a forward that older processes can't read, or new fields where none are needed.
  Scenario: The header of a forwarded request
    Then a forward without an organisation has only the fields that it had before
    And a forward for an organisation is decoded with name, priority and revision
    And a forward whose organisation can't be sent in a header is malformed

  # Guards against a 401 that doesn't tell the caller how to send a key.
  Scenario: A refused key names the scheme
    Given a refusal of the kind key_refused
    Then its status is 401
    And it asks for the scheme "Token"
