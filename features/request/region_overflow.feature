Feature: Requests that leave a region that has lost an entry VM
  Load pattern: an entry VM dies under load, and its endpoints are in quarantine until its requests
  must have ended. Guards against requests that wait in the full queue of the region's other VM until
  they are refused, although other regions have free slots.

  Background:
    Given entry VMs of three regions with these free slots of "plans", reported 1 s ago
      | vm          | free |
      | sofia-a-1   | 0    |
      | sofia-b-1   | 4    |
      | plovdiv-a-1 | 2    |
      | varna-a-1   | 5    |

  # Guards against requests that cross regions for a wait that is shorter than the way there, or that
  # go to a VM which is unreachable, drained, full or unheard.
  Scenario Outline: A request that would wait long goes to the nearest VM with free slots
    Given the VM "<vm>" of the view is <state>
    Then a request at "sofia-a-1" that would wait for <wait> ms goes to <target>

    # The promised time is 300 ms; the round trip takes 110 ms to plovdiv and 400 ms to varna.
    Examples:
      | vm          | state             | wait | target        |
      | sofia-b-1   | lost              | 1000 | "plovdiv-a-1" |
      | sofia-b-1   | lost              | 300  | no other one  |
      | plovdiv-a-1 | suspected         | 1000 | "varna-a-1"   |
      | plovdiv-a-1 | suspected         | 390  | no other one  |
      | plovdiv-a-1 | drained           | 1000 | "varna-a-1"   |
      | plovdiv-a-1 | unreachable       | 1000 | "varna-a-1"   |
      | plovdiv-a-1 | unheard for 4 s   | 1000 | "varna-a-1"   |
      | plovdiv-a-1 | without free slot | 1000 | "varna-a-1"   |

  # Guards against a burst that fills the queue of another region, because each request finds the
  # same free slots in the last report.
  Scenario: No more requests leave than the reported slots can run
    Then of 9 requests at "sofia-a-1" that would wait for 1000 ms, 2 go to "plovdiv-a-1", 5 to "varna-a-1" and 2 to no other one
    And after a report that follows 2 s later they may go there again

  # Guards against shifts in normal operation, which would cost the caches of other regions.
  Scenario Outline: Requests leave only after the loss of a VM of their region
    Given the VM "<vm>" of the view is <state>
    Then the region of "sofia-a-1" has <lost> VM

    Examples:
      | vm          | state       | lost   |
      | sofia-b-1   | alive       | no     |
      | sofia-b-1   | suspected   | a lost |
      | sofia-b-1   | lost        | a lost |
      | sofia-b-1   | unreachable | a lost |
      | sofia-b-1   | leaving     | no     |
      | plovdiv-a-1 | lost        | no     |

  # Guards against requests that are refused for the free slots of a VM whose death isn't known yet.
  Scenario: Requests wait rather than try a VM of their region that can't be connected to
    Then a request at "sofia-a-1" may not wait
    Given the VM "sofia-b-1" of the view is unreachable
    Then a request at "sofia-a-1" may wait
    And after a report that follows 3 s later it may not wait
