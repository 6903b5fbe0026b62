"""Sums the load of a service by region from the records of the entry VMs."""

from datetime import timedelta

import attrs

from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.shift import RegionLoad
from camphorspread.version.catalogue import Catalogue, DrainKind

__all__ = ["add_delays", "group_live_vms", "sum_region_loads"]

# Age of the load of a VM that never reported any; exceeds every limit on the age.
NEVER_MEASURED = timedelta(days=1)


def group_live_vms(catalogue: Catalogue, fleet: FleetView) -> dict[str, list[VmRecord]]:
    """Return the VMs of each region of the catalogue that aren't lost.

    Callers group once for all services and home regions, as a fleet has hundreds of VMs.
    """
    groups: dict[str, list[VmRecord]] = {region: [] for region in catalogue.regions}
    for vm in fleet.vms.values():
        if vm.region in groups and vm.state is not VmState.LOST:
            groups[vm.region].append(vm)
    return groups


def sum_region_loads(
    catalogue: Catalogue, live_vms: dict[str, list[VmRecord]], service: str, now: timedelta
) -> dict[str, RegionLoad]:
    """Return the load of a service in each region of the catalogue, without delays.

    Args:
        catalogue: The catalogue in force.
        live_vms: VMs of each region that aren't lost.
        service: Name of the service.
        now: Current instant.
    """
    return {
        region: sum_load(vms, service, region, now, catalogue.is_drained(DrainKind.REGION, region))
        for region, vms in live_vms.items()
    }


def add_delays(
    catalogue: Catalogue, loads: dict[str, RegionLoad], home: str
) -> dict[str, RegionLoad]:
    """Return the loads with their delays from a home region."""
    entry = catalogue.find_region(home)
    delays = entry.delays_ms if entry else {}
    return {
        region: attrs.evolve(load, delay_ms=delays[region]) if region in delays else load
        for region, load in loads.items()
    }


def sum_load(
    vms: list[VmRecord], service: str, region: str, now: timedelta, is_drained: bool
) -> RegionLoad:
    """Return the load of one region; its age is that of the oldest record."""
    slots = sum(vm.total_slots.get(service, 0) for vm in vms)
    free = sum(vm.free_slots.get(service, 0) for vm in vms)
    offered = float(sum(vm.offered_per_second.get(service, 0) for vm in vms))
    age = max((load_age(vm, now) for vm in vms), default=timedelta(0))
    return RegionLoad(region, slots, max(slots - free, 0), offered, age, not vms, is_drained)


def load_age(vm: VmRecord, now: timedelta) -> timedelta:
    """Return the time since the load of a VM was received."""
    return NEVER_MEASURED if vm.measured is None else now - vm.measured
