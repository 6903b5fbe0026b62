Feature: An operator replaces the disk of a control process
  Guards against a replica with a blank disk that votes before it has caught up, and against a
  former disk identity that remains a voter.

  @fixture.virtual_loop
  Scenario: A control process that lost its disk rejoins under its new disk identity
    Given a group of three control processes whose follower lost its disk
    When the operator's command replaces the follower
    Then the group has three voters and the former disk identity is no member

  @fixture.virtual_loop
  Scenario: Replacement in single commands is idempotent
    Given a group of three control processes whose follower lost its disk
    When the operator's commands add, promote and remove, each twice
    Then the group has three voters and the former disk identity is no member

  @fixture.settings_folder
  Scenario: Wrong arguments of a members command end it with code 2
    When the operator runs "members remove --fleet FLEET sofia"
    Then the command ends with code 2 and the message "identity"
