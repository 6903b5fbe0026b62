Feature: Uploads to other regions
  Links between regions carry a limited rate. Uploads that are passed at full speed when a region is
  short would fill them and delay everything else that crosses.

  @fixture.virtual_loop
  Scenario: Uploads that pass at once share the rate of the VM
    Given a region with 3 entry VMs whose links carry 300000 bytes a second
    When one of its VMs passes 3 uploads of 300000 bytes in parts of 16384 at once
    Then no second holds more than 100000 bytes
    And they end after 8 to 12 seconds

  @fixture.session
  Scenario: A body that stays in the region isn't held back
    Given the owner has the endpoint "gis-1" with 3 slots and a queue of 8 for "gis-svc"
    And the links of the owner's region carry 1 byte a second
    When a caller uploads 200000 bytes for "gis-svc" to entry VM 1 of that region
    Then the upload got status 200 within 1 second
