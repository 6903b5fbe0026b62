Feature: Uploads to other regions
  Links between regions have a limited rate. When a region lacks capacity, uploads forwarded at full
  speed would saturate them and delay all other traffic between regions.

  @fixture.virtual_loop
  Scenario: Concurrent uploads share the rate limit of the VM
    Given a region with 3 entry VMs whose links carry 300000 bytes a second
    When one of its VMs forwards 3 uploads of 300000 bytes in chunks of 16384 at once
    Then no interval of one second has more than 100000 bytes
    And they end after 8 to 12 seconds

  @fixture.session
  Scenario: An upload within the region isn't rate-limited
    Given the owner has the endpoint "gis-1" with 3 slots and a queue of 8 for "gis-svc"
    And the links of the owner's region carry 1 byte a second
    When a caller uploads 200000 bytes for "gis-svc" to entry VM 1 of that region
    Then the upload got status 200 within 1 second
