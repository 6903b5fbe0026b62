Feature: Which organisation a request belongs to
  Guards against requests that are served without a valid key or for the wrong organisation, and
  against refusals of valid keys by a VM whose routes may be outdated.

  # Guards against a wrong decision on any combination of route, credential and contact.
  Scenario Outline: A request arrives
    Given the organisations "acme" with the key "k-1" and "bolt" with the key "k-2"
    And a <kind> route, at a VM that is <contact>
    Then a request with <credential> is <decision>

    Examples:
      | kind    | contact                | credential      | decision                    |
      | private | in contact             | the key "k-1"   | served for "acme"           |
      | private | in contact             | the key "k-2"   | served for "bolt"           |
      | private | in contact             | the key "K-1"   | refused as unknown          |
      | private | in contact             | no key          | refused as missing          |
      | private | in contact             | a malformed key | refused as malformed        |
      | private | behind                 | the key "k-1"   | served for "acme"           |
      | private | behind                 | the key "k-9"   | refused as outdated_routes  |
      | private | behind                 | no key          | refused as missing          |
      | private | out of contact         | the key "k-1"   | served for "acme"           |
      | private | out of contact         | the key "k-9"   | refused as no_contact       |
      | private | out of contact         | a malformed key | refused as malformed        |
      | private | strict and cut off     | the key "k-1"   | refused as no_contact       |
      | private | strict and cut off     | no key          | refused as missing          |
      | public  | in contact             | no key          | served for ""               |
      | public  | in contact             | the key "k-1"   | served for "acme"           |
      | public  | in contact             | the key "k-9"   | served for ""               |
      | public  | in contact             | a malformed key | served for ""               |
      | public  | out of contact         | the key "k-9"   | served for ""               |
      | public  | strict and cut off     | the key "k-1"   | served for ""               |

  # Guards against a request that needs a key although no organisation is configured.
  Scenario Outline: Without organisations no request needs a key
    Given no organisations
    And a private route, at a VM that is <contact>
    Then a request with <credential> is served for ""

    Examples:
      | contact            | credential      |
      | in contact         | no key          |
      | out of contact     | the key "k-1"   |
      | strict and cut off | a malformed key |

  # Guards against a waiting request that runs after its key was withdrawn or given to another.
  Scenario Outline: The organisations change while a request waits
    Given the organisations "acme" with the key "k-1" and "bolt" with the key "k-2"
    And a private route, at a VM that is in contact
    When a request <identity> waits and the organisations become <organisations>
    Then it <result>

    Examples:
      | identity                       | organisations          | result                   |
      | with the key "k-1"             | acme: k-1; bolt: k-2   | may be sent              |
      | with the key "k-1"             | acme: k-1 k-3          | may be sent              |
      | with the key "k-1"             | acme: k-3; bolt: k-2   | is refused as withdrawn  |
      | with the key "k-1"             | bolt: k-2              | is refused as withdrawn  |
      | with the key "k-1"             | bolt: k-1 k-2          | is refused as reassigned |
      | with the key "k-1"             | bolt: k-1; acme: k-2   | is refused as reassigned |
      | with the key "k-1"             | none                   | is refused as reassigned |
      | without a key                  | bolt: k-2              | may be sent              |
      | from before organisations      | none                   | may be sent              |
      | from before organisations      | acme: k-1              | is refused as reassigned |
      | forwarded for "acme"           | acme: k-1 k-3          | may be sent              |
      | forwarded for "acme"           | acme: k-3              | is refused as reassigned |
      | forwarded for "acme"           | bolt: k-1; acme: k-2   | is refused as reassigned |
      | forwarded for "acme"           | bolt: k-2              | is refused as withdrawn  |
      | forwarded for "acme"           | none                   | may be sent              |
      | forwarded by newer routes      | bolt: k-2              | may be sent              |
      | forwarded for unknown "cork"   | cork: k-4              | may be sent              |
      | forwarded for unknown "cork"   | acme: k-1              | is refused as withdrawn  |

  # Guards against strict revocation that applies on arrival only.
  Scenario: Strict revocation cuts a VM off while a request waits
    Given the organisations "acme" with the key "k-1" and "bolt" with the key "k-2"
    And a private route, at a VM that is strict and cut off
    When a request with the key "k-1" waits and the organisations become acme: k-1
    Then it is refused as no_contact

  # Guards against a request that runs where its route or its organisation forbids it.
  Scenario Outline: Regions of route and organisation
    Then a route of regions "<route>" and an organisation of regions "<own>" may run in "<both>"

    Examples:
      | route       | own         | both        |
      |             |             | anywhere    |
      | sofia       |             | sofia       |
      |             | varna       | varna       |
      | sofia varna | varna sofia | sofia varna |
      | sofia varna | varna       | varna       |
      | sofia       | varna       | nowhere     |
