Feature: Regions that forward requests to each other
  Load pattern: several regions with uneven numbers of servers, whose entry VMs have thin links, at a
  load for which each larger region has enough slots.

  # Guards against regions that each take the others for free, so that their requests change places
  # and fill the links of all entry VMs.
  @known_red
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
