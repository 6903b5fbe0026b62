Feature: Operators' commands
  Guards against commands that end with a traceback or an undocumented exit code, that stop at the
  first process that can't be reached, or that apply a change twice when a response is lost.

  @fixture.settings_folder
  Scenario Outline: A wrong command is refused: <arguments>
    When the operator runs "<arguments>"
    Then the command ends with code <code> and the message "<message>"

    Examples:
      | arguments                                                     | code | message                                    |
      | steer                                                         | 2    | invalid choice: 'steer'                    |
      | run                                                           | 2    | the following arguments are required       |
      | run FOLDER/absent.json                                        | 2    | No such file or directory                  |
      | run FOLDER/not.json                                           | 2    | no valid JSON                              |
      | run FOLDER/list.json                                          | 2    | holds [1]; allowed: an object              |
      | status                                                        | 2    | one of the arguments --settings --fleet    |
      | status --settings FOLDER/entry.json --fleet FOLDER/list.json  | 2    | not allowed with argument                  |
      | status --fleet FOLDER/list.json                               | 2    | allowed: an object                         |
      | explain --settings FOLDER/entry.json                          | 2    | explain needs --service, --request or --caller |
      | explain --settings FOLDER/entry.json --caller here            | 2    | allowed: an IP address |
      | explain-route --host h --path /p                              | 2    | the following arguments are required       |
      | explain-route --metrics vm:9464 --host h --path /p            | 2    | allowed: IP:PORT                           |
      | explain-route --metrics 127.0.0.1:1 --host h --path /p        | 1    | GET /explain?host=h&path=%2Fp              |
      | catalogue                                                     | 2    | the following arguments are required       |
      | catalogue show --settings FOLDER/entry.json vm a              | 2    | invalid choice: 'vm'                       |
      | catalogue drain --settings FOLDER/entry.json rack a           | 2    | invalid choice: 'rack'                     |
      | catalogue apply --settings FOLDER/entry.json FOLDER/not.json  | 2    | no valid JSON                              |
      | catalogue apply --settings FOLDER/entry.json FOLDER/list.json | 2    | allowed: an object                         |
      | catalogue list --settings FOLDER/control.json                 | 1    | no control process responds                |
      | report --settings FOLDER/entry.json                           | 1    | no entry VM responds                       |
      | check-catalogue FOLDER/entry.json                             | 2    | fields regions and services                |
      | load status-svc                                               | 2    | the following arguments are required       |
      | load status-svc --lookup localhost:1                          | 2    | allowed: IP:PORT                           |
      | load status-svc --lookup 127.0.0.1:1 --rate 0                 | 2    | allowed: over 0                            |
      | load status-svc --lookup 127.0.0.1:1 --request get            | 2    | allowed: 'WEIGHT METHOD                    |
      | local-fleet --requests 0                                      | 2    | allowed: 1 to                              |
      | stub-backends status-svc                                      | 2    | the following arguments are required       |
      | stub-backends --settings FOLDER/control.json status-svc       | 2    | role must be 'entry'                       |
      | version --short                                               | 2    | unrecognized arguments                     |

  Scenario Outline: A request is explained from the logs of all VMs
    Given the log lines of two VMs, of which one forwarded request "q1" to the other
    When "explain-log <request>" reads them
    Then the exit code is <code> and these events are shown: <events>

    Examples:
      | request | code | events                                                 |
      | q1      | 0    | instance_added steering_ended steering_ended           |
      | q2      | 0    | steering_ended                                         |
      | q9      | 1    | none                                                   |

  Scenario: A missing log file is named
    When "explain-log q1" reads a file that doesn't exist
    Then the exit code is 2 and the file is named

  @fixture.session
  Scenario: An operator drains a VM, observes the effect and removes the drain
    Given the operator adds the entries "status-svc" and "filing-svc"
    And 1.0 seconds pass
    When the operator's command drains the VM "sofia-a-1" and waits
    Then the operator's command ended with code 0 and text "version 3 is in effect everywhere"
    When the operator's command explains "status-svc"
    Then no target of the explanation is "sofia-a-1"
    And the explanation for the caller "198.51.100.7" names the availability zone "sofia-a" at "sofia-a-1"
    When the operator's command shows the history
    Then the operator's command ended with code 0 and text "3        2026-01-01T00:00:01"
    When the operator's command removes the drain of "sofia-a-1"
    Then the operator's command ended with code 0 and text "accepted as version 4"
    When the operator's command asks for the status
    Then the operator's command ended with code 0 and text "plovdiv-a-1  entry"

  @fixture.virtual_loop
  Scenario: A lost response and a change of leader apply the change once
    Given three control processes of which the first follows, the second is down and the third leads
    And the leader loses its first response
    When the operator sends a change
    Then the first control process was asked first and the leader that it named second
    And the leader received the change 2 times with one change identifier
    And the second control process was skipped with a message

  Scenario: A lagging VM is distinguished from an isolated one
    When acknowledgements of version 7 are merged
    Then the lagging VM is "b" and the isolated VMs are "c" and "d"
