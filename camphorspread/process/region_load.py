"""The load of a service by region, summed over the records of the entry VMs."""

from datetime import timedelta

from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.shift import RegionLoad
from camphorspread.version.catalogue import Catalogue, DrainKind

__all__ = ["sum_region_loads"]

# A VM that never sent numbers has been silent for longer than any limit.
NEVER_MEASURED = timedelta(days=1)


def sum_region_loads(
    catalogue: Catalogue, fleet: FleetView, service: str, home: str, now: timedelta
) -> dict[str, RegionLoad]:
    """Return the load of a service in each region of the catalogue.

    Args:
        catalogue: The catalogue in force.
        fleet: Known entry VMs.
        service: Name of the service.
        home: The region from which delays are counted.
        now: Current instant.
    """
    home_entry = catalogue.find_region(home)
    delays = home_entry.delays_ms if home_entry else {}
    loads = {}
    for region in catalogue.regions:
        vms = [vm for vm in fleet.vms.values() if vm.region == region]
        is_drained = catalogue.is_drained(DrainKind.REGION, region)
        loads[region] = sum_load(vms, service, region, now, is_drained, delays.get(region, 0.0))
    return loads


def sum_load(
    vms: list[VmRecord],
    service: str,
    region: str,
    now: timedelta,
    is_drained: bool,
    delay_ms: float,
) -> RegionLoad:
    """Return the load of one region; it is as old as the oldest record of a VM in service."""
    alive = [vm for vm in vms if vm.state is not VmState.LOST]
    slots = sum(vm.total_slots.get(service, 0) for vm in alive)
    free = sum(vm.free_slots.get(service, 0) for vm in alive)
    offered = float(sum(vm.offered_per_second.get(service, 0) for vm in alive))
    age = max((find_age(vm, now) for vm in alive), default=timedelta(0))
    return RegionLoad(
        region, slots, max(slots - free, 0), offered, age, not alive, is_drained, delay_ms
    )


def find_age(vm: VmRecord, now: timedelta) -> timedelta:
    """Return the time since the numbers of a VM were received."""
    return NEVER_MEASURED if vm.measured is None else now - vm.measured
