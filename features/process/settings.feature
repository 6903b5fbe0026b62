Feature: Settings are checked completely before a process starts
  Guards against a process that starts with settings that fail later, against faults that are
  reported one at a time, and against examples that no longer work.

  @fixture.settings_folder
  Scenario Outline: A wrong settings file is refused: <path> = <value>
    Given the settings file "<file>" with <path> set to <value>
    When the settings file "<file>" is checked
    Then the command ends with code 2 and the message "<message>"

    Examples:
      | file  | path                     | value                              | message                                                                                       |
      | entry | role                     | "node"                             | settings.role is 'node'; allowed: 'entry' or 'control'                                        |
      | entry | speed                    | 3                                  | settings.speed is 3; allowed: no such field                                                   |
      | entry | callers.host             | "localhost"                        | settings.callers.host is 'localhost'; allowed: an IP address                                  |
      | entry | callers.port             | 70000                              | settings.callers.port is 70000; allowed: 1 to 65535                                           |
      | entry | callers.port             | "17000"                            | settings.callers.port is '17000'; allowed: a whole number                                     |
      | entry | callers.port             | true                               | settings.callers.port is True; allowed: a whole number                                        |
      | entry | peers                    | null                               | settings.peers is None; allowed: an object                                                    |
      | entry | operators.port           | 17001                              | settings.operators is 127.1.0.1:17001; allowed: an address that no other listener has         |
      | entry | place.vm                 | "sofia-c-1"                        | settings.place.vm is 'sofia-c-1'; allowed: one of settings.entry_vms                          |
      | entry | place.availability_zone  | "sofia-b"                          | settings.place.availability_zone is 'sofia-b'; allowed: 'sofia-a', as in settings.entry_vms   |
      | entry | place.region             | "varna"                            | settings.place.region is 'varna'; allowed: 'sofia', as in settings.entry_vms                  |
      | entry | entry_vms                | []                                 | settings.place.vm is 'sofia-a-1'; allowed: one of settings.entry_vms                          |
      | entry | replicas                 | []                                 | settings.replicas is a list of 0; allowed: an odd number of control processes                 |
      | entry | access_key_file          | "absent"                           | a readable file (No such file or directory)                                                   |
      | entry | access_key_file          | "empty"                            | allowed: a file that isn't empty                                                              |
      | entry | data_folder              | "absent"                           | allowed: an existing folder                                                                   |
      | entry | limits                   | {"header_bytes": 10}               | settings.limits.header_bytes is 10; allowed: 1024 to 1048576                                  |
      | entry | limits                   | {"idle_ms": 0}                     | settings.limits.idle_ms is 0; allowed: 1 to 3600000                                           |
      | entry | limits                   | {"connections_per_peer": 0}        | settings.limits.connections_per_peer is 0; allowed: 1 to 100000                               |
      | entry | trace_sampling           | 1.5                                | settings.trace_sampling is 1.5; allowed: 0 to 1                                               |
      | entry | client_blocks            | [{"block": "10.0.0.1/8", "availability_zone": "sofia-a", "region": "sofia"}] | allowed: a network such as 192.0.2.0/24             |
      | entry | prices                   | {"currency": "EUR"}                | settings.prices.per_vm_hour is missing; allowed: a value                                      |
      | control | place.vm               | "varna-b-1"                        | settings.place.vm is 'varna-b-1'; allowed: one of sofia-a-1, plovdiv-a-1, varna-a-1           |
      | control | callers                | {}                                 | settings.callers is {}; allowed: no such field                                                |

  @fixture.settings_folder
  Scenario: An even number of control processes is refused
    Given the settings file "entry" without its last control process
    When the settings file "entry" is checked
    Then the command ends with code 2 and the message "settings.replicas is a list of 2"

  @fixture.settings_folder
  Scenario: All faults are reported at once
    Given the settings file "entry" with trace_sampling set to -1
    And the settings file "entry" with data_folder set to "absent"
    And the settings file "entry" with place.region set to "varna"
    When the settings file "entry" is checked
    Then the command reports 3 faults

  Scenario: The settings and catalogues of the examples are valid and equal the generator's output
    When the settings and the catalogue of each example are checked
    Then each example has 7 entry processes and 3 control processes in 6 availability zones
    And the committed examples equal the output of their generator
