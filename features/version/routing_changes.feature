Feature: Changes between route tables
  Guards against an entry VM whose routes differ from those of the configuration, and against a
  change that costs as much as the whole configuration.

  # Guards against routes, services or organisations that are kept, lost or mixed up.
  Scenario Outline: The changes between two tables lead from one to the other
    Given 60 route tables that each differ from the one before in <what>
    Then the encoded changes lead from each table to each later one
    And the encoded changes lead from no table to each of them

    Examples:
      | what                           |
      | some of their routes           |
      | some of their services         |
      | some of their organisations    |
      | the limits for callers         |
      | routes, services and all else  |

  # Guards against an order of the operator's entries that makes a change out of none.
  Scenario: Two tables with the same entries in another order have no changes
    Given a route table with 200 routes, and the same one in another order
    Then the changes between them have no entries

  # Guards against changes whose size follows that of the table.
  Scenario Outline: The size of an encoded change follows the change
    Given a route table with <routes> routes
    When the weights of one route change
    Then the encoded changes take at most 1 KB

    Examples:
      | routes |
      | 100    |
      | 1400   |
      | 10000  |

  # Guards against a damaged update that is applied, or that ends the task which receives it.
  Scenario Outline: An update that can't be read is refused
    Given the encoded update to a route table with 50 routes
    When the update is read and <damage>
    Then the update is refused with a cause

    Examples:
      | damage                           |
      | its last 10 bytes are missing    |
      | its bytes are no compressed data |
      | its text is no JSON              |
      | its text is JSON of another form |
      | a route has no host              |
      | a duration is a text             |
      | its text is larger than allowed  |
