Feature: Replicas that are far behind catch up
  Guards against a replica that can't catch up once its missing entries are no longer in the
  leader's log.

  Scenario: A replica catches up after 1,000 missed changes
    Given a group of 3 replicas with an accepted change
    When a follower misses 1300 changes and returns
    Then it catches up from a snapshot and the log within 3 seconds

  Scenario: The history stays readable after a snapshot
    Given a replica that put and removed one entry of each kind, and was refused one change
    When a snapshot replaces its log and the replica starts again from it
    Then the history lists what each accepted change did

  # Guards against a log that a replica can't read within its memory when it starts.
  Scenario: Large documents are compacted before their number requires it
    Given a group of 3 replicas with an accepted change
    When 60 documents of 500000 characters are accepted one after the other
    Then the log of each replica has held at most 13082912 characters of documents
    And a replica that missed 30 of them catches up from a snapshot

  # Guards against a start that needs several times the memory of the log.
  @fixture.data_folder
  Scenario: A log is read in little more memory than its entries need
    Given a data folder whose log has 40 documents of 250000 characters
    Then opening the data folder takes less memory than 1.5 times the size of its log

  # Guards against a process that keeps all large documents of its history.
  Scenario: The history of changes holds a limited size of documents
    Given a history of 100 documents of 200000 characters
    Then it holds at most 4194304 characters and the newest document
    And an entry VM that is 5 changes behind gets them, and one 50 behind the whole catalogue
