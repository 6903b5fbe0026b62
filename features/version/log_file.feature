Feature: The log survives crashes and reports damage
  Guards against an acknowledged entry that is lost without notice: a torn last record is
  dropped, and any other damage stops the replica with an error that gives file and offset.

  @fixture.data_folder
  Scenario Outline: A damaged log file
    Given a data folder with 3 log entries
    When in the log file <damage>
    Then opening the data folder gives <result>

    Examples:
      | damage                                        | result                           |
      | nothing is damaged                            | 3 entries                        |
      | the last record is cut short at any byte      | 2 entries                        |
      | the last record ends in blocks never written  | 2 entries                        |
      | any single bit of any record is flipped       | an error with file and offset    |
      | the middle record is removed                  | an error with file and offset    |
      | an unsynced record is missing before another  | 3 entries                        |
      | an unsynced record is torn before another     | 3 entries                        |
      | a synced record is missing before another     | an error with file and offset    |

  @fixture.data_folder
  Scenario: A blank data folder gets an identity that stays
    Given a data folder with 3 log entries
    Then opening it again gives the same identity, term and vote
    And a second process can't open it at the same time

  @fixture.data_folder
  Scenario: A full disk leaves the log as it was
    Given a data folder with 3 log entries
    When the disk becomes full within the next record
    Then the write fails and opening the data folder gives the 3 entries

  @fixture.data_folder
  Scenario: A vote is replaced atomically
    Given a data folder with 3 log entries
    When the disk becomes full while a vote is stored
    Then opening the data folder gives the former vote
