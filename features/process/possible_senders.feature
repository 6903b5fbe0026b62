Feature: Entry VMs that may send to a leaving backend server
  Guards against a departure that is acknowledged while an entry VM that isn't told of it may still
  own the server.

  # Guards against VMs of other regions that keep a server after the VMs of its region restarted.
  Scenario Outline: VMs of other regions are told unless the server's region has a settled VM
    Given these entry VMs and a lease of 4.5 s
      | vm  | region | alive for | leaving |
      | a-1 | a      | <first>   | <1>     |
      | a-2 | a      | <second>  | <2>     |
      | b-1 | b      | 60        | no      |
    Then a departure from region "<region>" is told to <vms>

    Examples:
      | first | 1   | second | 2   | region | vms         |
      | 60    | no  | 60     | no  | a      | a-1 a-2     |
      | 60    | no  | 0      | no  | a      | a-1 a-2     |
      | 8.9   | no  | 8.9    | no  | a      | a-1 a-2 b-1 |
      | 9     | no  | 8.9    | no  | a      | a-1 a-2     |
      | 60    | yes | 2      | no  | a      | a-1 a-2 b-1 |
      | 60    | yes | 60     | yes | a      | a-1 a-2 b-1 |
      | dead  | no  | 2      | no  | a      | a-1 a-2 b-1 |
      | 60    | no  | 60     | no  | b      | b-1         |
      | 60    | no  | 60     | no  |        | a-1 a-2 b-1 |

  # Guards against a departure that only a former owner confirms.
  Scenario Outline: A VM is the only owner after a lease without interruption
    Given a VM to which a server announces itself each 1.5 s from second 0 to second <last>
    When <event>
    Then at second <second> it is <owner>

    Examples:
      | last | event                                       | owner              | second |
      | 3    | nothing else happens                        | one owner of more  | 4.4    |
      | 4.5  | nothing else happens                        | the only owner     | 4.5    |
      | 4.5  | nothing else happens                        | one owner of more  | 9      |
      | 9    | it forwards the announcement at second 8    | one owner of more  | 9      |
      | 12   | it forwards the announcement at second 8    | one owner of more  | 12.4   |
      | 12   | it forwards the announcement at second 8    | the only owner     | 12.5   |
      | 4.5  | the server announces itself at second 7     | one owner of more  | 10     |
      | 4.5  | the server announces itself at second 9     | one owner of more  | 13.4   |
