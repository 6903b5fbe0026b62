Feature: Transfers of catalogue updates
  Guards against transfers that begin again from nothing, that mix two updates, or that come from
  several control VMs at once.

  # Guards against bytes that are sent twice when a control VM is lost.
  Scenario Outline: Another control VM continues a transfer
    Given two control VMs with the same changes and an update of several parts
    When an entry VM fetches it and changes the control VM after <parts> parts
    Then the update is complete and no byte was sent twice

    Examples:
      | parts |
      | 0     |
      | 1     |
      | 2     |

  # Guards against a transfer that never ends while changes follow each other quickly.
  Scenario: A change arrives during a transfer
    Given two control VMs with the same changes and an update of several parts
    When an entry VM has fetched 1 part of it and a change is accepted
    Then the transfer goes on, and the next update has the change only

  # Guards against parts of different updates that are joined.
  Scenario: Another control VM sends another update
    Given two control VMs with the same changes and an update of several parts
    When an entry VM has fetched 1 part of it and continues at a control VM with a newer catalogue
    Then the transfer begins anew with the newer update

  # Guards against changes to a document that the entry VM doesn't have.
  Scenario Outline: A control VM doesn't know the document of an entry VM
    Given two control VMs with the same changes and an update of several parts
    When an entry VM asks with <document>
    Then it gets the whole table

    Examples:
      | document                                      |
      | no document                                   |
      | a document that is no longer in the history   |
      | another document with the same revision       |

  # Guards against whole tables after each change once two documents exceed the history.
  Scenario: Documents are larger than the history of changes
    Given a control VM that has sent a document with 9000 routes
    When a document with one more route is accepted, and the history has that one only
    Then the update has the change only

  # Guards against malformed messages that are taken for parts.
  Scenario Outline: Malformed messages are refused
    Then a <message> with <fault> is refused

    Examples:
      | message | fault                        |
      | part    | no digest                    |
      | part    | a version that is a text     |
      | part    | data that isn't base64       |
      | part    | no data                      |
      | part    | more data than the update    |
      | part    | a negative offset            |
      | request | no document                  |
      | request | an offset that is a text     |
      | request | a negative offset            |

  # Guards against a far or failed control VM as the source, and against a wait for a lost one.
  Scenario Outline: The source of the next part
    Given an entry VM with catalogue version <held>, and version 2 announced <ms> ms ago
    And the control VMs near: <near>; middle: <middle>; far: <far>
    Then the source is <source>

    Examples:
      | held | ms  | near                      | middle                    | far           | source |
      | 1    | 0   | has version 2             | has version 2             | has version 2 | near   |
      | 1    | 0   | has version 1             | has version 2             | has version 2 | none   |
      | 1    | 300 | has version 1             | has version 2             | has version 2 | middle |
      | 0    | 0   | has version 1, is avoided | has version 2             | has version 2 | middle |
      | 1    | 0   | has version 2, is avoided | has version 2             | has version 2 | middle |
      | 1    | 0   | is silent                 | has version 2             | has version 2 | middle |
      | 1    | 0   | is silent                 | has version 2, is avoided | has version 1 | middle |
      | 1    | 0   | has version 1, is avoided | has version 1             | has version 1 | none   |
      | 1    | 300 | is silent                 | is silent                 | is silent     | none   |
