Feature: Control processes replicate the catalogue
  Guards against a control process that accepts changes without a quorum, and against a restart
  that loses or repeats an accepted change.

  @fixture.control_group
  Scenario: A change sent to any control process reaches all of them
    Given three control processes with a leader
    When an operator sends the change "c1" to a control process that doesn't lead
    Then all control processes have version 1 and list the change in their history
    And the status of the leader lists all members as up to date

  @fixture.control_group @fixture.data_folder
  Scenario: Added fields are ignored and another major version is refused
    Given three control processes with a leader
    When a replica message, a poll response and a log record have an added field
    Then all three are read as without it, but an operator's request with one is refused
    When another process sends messages in format version 2 to all listeners for own processes
    Then each is refused and logged once with source and version
    And a log record and a snapshot in format version 2 stop the start with that event

  @fixture.control_group @fixture.data_folder
  Scenario: The metrics of a control process show what needs an operator's action
    Given three control processes with a leader, each with a data folder
    When entry VMs poll the leader, one of them then stops and the other one misses a change
    Then the metrics of the leader show role, term, versions, syncs, polls and both VMs
    And those of a control process that was cut off for 5 seconds show this

  @fixture.control_group
  Scenario: A change is sent again after the leader's process has ended
    Given three control processes with a leader
    When an operator sends the change "c1" to a control process that doesn't lead
    And the process of the leader ends
    And an operator sends the change "c1" to a control process that still runs
    Then the remaining control processes have version 1

  @fixture.control_group
  Scenario: A control process without contact to a majority reports its isolation
    Given three control processes with a leader
    When a control process is cut off for 12 seconds
    Then its status and its log report that it is isolated
    And it refuses a change and names no leader

  @fixture.control_group
  Scenario: An operator replaces a member through the operators' listener
    Given three control processes with a leader
    When an operator replaces a control process by one with a blank disk
    Then the members are the two old ones and the new one, and a change is accepted

  @fixture.control_group @fixture.data_folder
  Scenario: A control process whose disk is full refuses changes and keeps serving reads
    Given three control processes with a leader, each with a data folder
    When the disk of the leader becomes full and a change is sent to it
    Then the change isn't accepted there and the status reports the cause
    And another control process leads and accepts the change

  @fixture.control_group @fixture.data_folder
  Scenario: Changes that arrive together share a sync
    Given three control processes with a leader, each with a data folder
    When 20 changes of different services reach the leader at the same time
    Then all are accepted and the leader has synced its log at most 4 times

  @fixture.data_folder
  Scenario Outline: A control process is killed while it writes the log
    Given a control process that is killed <point>
    When it is started again on the same data folder
    Then it has every acknowledged change and a resent one gets its first outcome

    Examples:
      | point                        |
      | before a record is written   |
      | in the middle of a record    |
      | before the sync              |
      | after the sync               |
