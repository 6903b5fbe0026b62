"""Decides which entry VM owns an endpoint, by rendezvous hashing."""

import hashlib

import attrs

from camphorspread.process.endpoints import Announcement
from camphorspread.process.fleet import FleetView, VmRecord, VmState

__all__ = [
    "Accepted",
    "Redirected",
    "decide_ownership",
    "list_owners",
]


@attrs.frozen
class Accepted:
    """This VM accepts the endpoint; the backend server should prefer `owners` in this order."""

    owners: tuple[VmRecord, ...]


@attrs.frozen
class Redirected:
    """Another VM should own the endpoint; the backend server should try `owners` in this order."""

    owners: tuple[VmRecord, ...]


def list_owners(fleet: FleetView, service: str, endpoint: str, zone: str) -> list[VmRecord]:
    """Return the candidate owners of an endpoint, the preferred one first.

    Live VMs of the endpoint's availability zone come first, in the order of rendezvous hashing,
    then those of the rest of the region.

    Args:
        fleet: Known entry VMs.
        service: Service of the endpoint.
        endpoint: Name of the endpoint.
        zone: Its availability zone.
    """
    region = find_region(fleet, zone)
    candidates = [
        vm
        for vm in fleet.vms.values()
        if vm.region == region and vm.state in (VmState.ALIVE, VmState.SUSPECTED)
    ]
    return sorted(
        candidates,
        key=lambda vm: (vm.availability_zone != zone, rendezvous_rank(vm.vm, service, endpoint)),
    )


def find_region(fleet: FleetView, zone: str) -> str:
    """Return the region of an availability zone, or that of this VM if no VM is in the zone."""
    for vm in fleet.vms.values():
        if vm.availability_zone == zone:
            return vm.region
    return fleet.own.region


def rendezvous_rank(vm: str, service: str, endpoint: str) -> bytes:
    """Return the rank of a VM for an endpoint in rendezvous hashing."""
    return hashlib.blake2b(f"{vm}/{service}/{endpoint}".encode(), digest_size=8).digest()


def decide_ownership(
    fleet: FleetView, announcement: Announcement, is_owner: bool, has_handover: bool
) -> Accepted | Redirected:
    """Decide whether this VM accepts an announcement.

    The backend server may notice earlier than this VM that the preferred owner has failed, so its
    announcement names the owners that didn't respond.

    Args:
        fleet: Known entry VMs.
        announcement: The announcement.
        is_owner: True if this VM holds a lease on the endpoint.
        has_handover: True if the former owner handed the endpoint over to this VM.
    """
    owners = list_owners(
        fleet, announcement.service, announcement.endpoint, announcement.availability_zone
    )
    names = [vm.vm for vm in owners]
    if fleet.own.state is VmState.LEAVING:
        return Redirected(tuple(owners)) if owners else Accepted((fleet.own,))
    before_own = names[: names.index(fleet.own_vm)] if fleet.own_vm in names else names
    if is_owner or has_handover or set(before_own) <= set(announcement.failed_owners):
        own_first = sorted(owners, key=lambda vm: vm.vm != fleet.own_vm)
        return Accepted(tuple(own_first))
    return Redirected(tuple(owners))
