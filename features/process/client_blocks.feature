Feature: Blocks of client addresses
  Guards against lookups that don't match the longest prefix, which place callers at the wrong site,
  and against updates that copy the whole table at once, which block the event loop.

  Scenario: Lookups agree with a linear search, during and after merges
    Given 3000 random blocks of both address families with seed 7
    When 9000 random blocks are set or removed, with merge steps of 512 entries between
    Then 2000 random addresses have the same site as in a search of all blocks

  Scenario Outline: Invalid blocks are refused
    When the block "<text>" is read
    Then it is refused because it "<fault>"

    Examples:
      | text           | fault                          |
      | 10.0.0.0       | isn't an IP network            |
      | 10.0.0.0/33    | is longer than 32 bits         |
      | 10.0.0.1/8     | has bits set beyond its prefix |
      | 2001:db8::/65  | is longer than 64 bits         |
      | sofia/8        | isn't an IP network            |
