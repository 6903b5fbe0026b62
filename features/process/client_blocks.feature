Feature: Blocks of client addresses
  A caller placed by a shorter prefix than the longest one is steered to the wrong site. An update
  that copies the whole table at once stops the loop.

  Scenario: Lookups agree with a search of all blocks, during and after merges
    Given 3000 random blocks of both address families with seed 7
    When 9000 random blocks are set or removed, with merge steps of 512 entries between
    Then 2000 random addresses have the same site as in a search of all blocks

  Scenario Outline: Blocks that aren't networks are refused
    When the block "<text>" is read
    Then it is refused because it "<fault>"

    Examples:
      | text           | fault                          |
      | 10.0.0.0       | isn't an IP network            |
      | 10.0.0.0/33    | is longer than 32 bits         |
      | 10.0.0.1/8     | has bits set beyond its prefix |
      | 2001:db8::/65  | is longer than 64 bits         |
      | sofia/8        | isn't an IP network            |
