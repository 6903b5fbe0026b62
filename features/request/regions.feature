Feature: Regions that forward requests to each other
  Load pattern: several regions with uneven numbers of servers, whose entry VMs have thin links, at a
  load for which each larger region has enough slots.

  # Guards against regions that each take the others for free, so that their requests change places
  # and fill the links of all entry VMs.
  Scenario: Busy regions don't exchange their requests
    Given a region "bretagne" with 8 VMs and 14 servers, and a third of the callers
    And a region "idf" with 7 VMs and 59 servers, and a third of the callers
    And a region "londres" with 7 VMs and 69 servers, and a third of the callers
    And servers with 19 of 292 objects each
    And runs of 1.24 s cold and 0.372 s warm, promised in 0.8 s with a time limit of 3 s
    And a request occupies the link of an entry VM for 12 ms
    When the regions get 1000 requests per second for 6 s
    Then they are worth no less than if each VM counted its own requests only
    And at most 1 in 20 requests changes places with one of another region

  # Guards against a region that looks full to its own VMs and free to those of other regions.
  Scenario: A VM states the use of its servers that it estimates itself
    Given one of 8 VMs that share 4 servers of 6 slots has 2 requests in flight
    Then it estimates that 16 of the 24 slots are in use
    And it states 8 free slots to VMs of other regions

  # Guards against forwards that look cheap because only runs at home bear the surcharge.
  Scenario: A run that may be cold costs the same at home and in another region
    Given one of 8 VMs that share 4 servers of 6 slots has 2 requests in flight
    And a VM of another region with the same use, without delay
    Then the expected time of a request about a new object is shorter at home
