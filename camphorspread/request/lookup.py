"""Lookups: the entry VMs that a caller should use for a service, in order of preference."""

from collections import defaultdict
from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.network import Address
from camphorspread.process.fleet import FleetView, VmRecord
from camphorspread.process.shift import Move, ShiftPlan
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.reasons import Reason
from camphorspread.request.rendezvous import order_by_rendezvous, unit_hash
from camphorspread.version.catalogue import Catalogue, DrainKind

__all__ = ["CallerLocation", "LookupQuery", "LookupResponse", "LookupTarget", "resolve_lookup"]

UNKNOWN_DELAY_MS = 1000.0


@attrs.frozen
class CallerLocation:
    """Availability zone and region of a caller."""

    availability_zone: str
    region: str


@attrs.frozen
class LookupQuery:
    """A lookup by a caller.

    Attributes:
        service: Name of the service.
        place: Availability zone and region of the caller.
        block: Address block of the caller; all callers of a block get the same order.
    """

    service: str
    place: CallerLocation
    block: str


@attrs.frozen
class LookupTarget:
    """One entry VM in a lookup response."""

    vm: str
    availability_zone: str
    address: Address
    weight: int
    reason: Reason


@attrs.frozen
class LookupResponse:
    """Entry VMs in the order in which the caller should try them.

    Attributes:
        service: Name of the service.
        version: Catalogue version that the response is based on.
        ttl: How long the caller may cache the response.
        targets: At least one entry VM.
    """

    service: str
    version: int
    ttl: timedelta
    targets: tuple[LookupTarget, ...]


@attrs.frozen
class RegionChoice:
    """The region that serves an address block, with the reason."""

    region: str
    reason: Reason | None


def resolve_lookup(
    catalogue: Catalogue, fleet: FleetView, query: LookupQuery, plan: ShiftPlan
) -> Result[LookupResponse, Refusal]:
    """Resolve a lookup.

    Args:
        catalogue: The catalogue in force.
        fleet: Known entry VMs.
        query: The lookup.
        plan: Active shifts between regions.

    Returns:
        The VMs of the chosen region, those in the caller's availability zone first, followed by
        the other regions in order of delay; or a refusal.
    """
    entry = catalogue.find_service(query.service)
    if entry is None:
        message = f"the catalogue has no service {query.service!r}"
        return Failure(Refusal(ErrorKind.UNKNOWN_SERVICE, message))
    regions = group_by_region(list_eligible_vms(catalogue, fleet, query.service))
    if not regions:
        message = "no entry VM is available"
        return Failure(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))
    choice = choose_region(regions, query, plan)
    targets = [
        make_lookup_target(query, vm, choice)
        for region in order_regions(catalogue, regions, query, choice.region)
        for vm in order_vms(regions[region], query)
    ]
    return Success(
        LookupResponse(query.service, catalogue.version, entry.lookup_ttl, tuple(targets))
    )


def list_eligible_vms(catalogue: Catalogue, fleet: FleetView, service: str) -> list[VmRecord]:
    """Return the VMs eligible for a response: those with endpoints of the service if any."""
    usable = [vm for vm in fleet.list_alive() if not is_vm_drained(catalogue, vm)]
    endpoint_owners = [vm for vm in usable if vm.total_slots.get(service)]
    return endpoint_owners or usable


def is_vm_drained(catalogue: Catalogue, vm: VmRecord) -> bool:
    """Return True if a drain entry covers the VM or its availability zone.

    Region drains are left to the shift controller, which moves the callers step by step.
    """
    return catalogue.is_drained(DrainKind.VM, vm.vm) or catalogue.is_drained(
        DrainKind.AVAILABILITY_ZONE, vm.availability_zone
    )


def group_by_region(vms: list[VmRecord]) -> dict[str, list[VmRecord]]:
    """Group the VMs by region."""
    regions: dict[str, list[VmRecord]] = defaultdict(list)
    for vm in vms:
        regions[vm.region].append(vm)
    return regions


def choose_region(
    regions: dict[str, list[VmRecord]], query: LookupQuery, plan: ShiftPlan
) -> RegionChoice:
    """Return the region whose VMs are listed first for the caller's block."""
    caller_region = query.place.region
    moves = [move for move in plan.moves(query.service, caller_region) if move.target in regions]
    moved = find_move(moves, unit_hash(query.service, query.block))
    if moved is not None:
        return RegionChoice(moved.target, moved.reason)
    if caller_region in regions:
        return RegionChoice(caller_region, None)
    weights = {
        region: float(sum(weigh(vm, query.service) for vm in vms))
        for region, vms in regions.items()
    }
    return RegionChoice(order_by_rendezvous(query.block, weights)[0], Reason.SHIFTED_FOR_LOSS)


def find_move(moves: list[Move], position: float) -> Move | None:
    """Return the move that applies to a block, or None.

    Each block hashes to a fixed position between 0 and 1, and the moves cover an interval that
    starts at 0. A larger fraction therefore moves additional blocks and returns none.
    """
    covered = 0.0
    for move in moves:
        covered += move.fraction
        if position < covered:
            return move
    return None


def order_regions(
    catalogue: Catalogue, regions: dict[str, list[VmRecord]], query: LookupQuery, first: str
) -> list[str]:
    """Order the regions: the chosen one, the caller's own, then the others by delay."""
    caller_region = query.place.region
    entry = catalogue.find_region(caller_region)
    delays = entry.delays_ms if entry else {}

    def rank(region: str) -> tuple[bool, bool, float, float]:
        delay = delays.get(region, UNKNOWN_DELAY_MS)
        return (region != first, region != caller_region, delay, unit_hash(query.block, region))

    return sorted(regions, key=rank)


def order_vms(vms: list[VmRecord], query: LookupQuery) -> list[VmRecord]:
    """Order the VMs of a region, those in the caller's availability zone first."""
    by_name = {vm.vm: vm for vm in vms}
    weights = {vm.vm: float(weigh(vm, query.service)) for vm in vms}
    ordered = [by_name[name] for name in order_by_rendezvous(query.block, weights)]
    return sorted(ordered, key=lambda vm: vm.availability_zone != query.place.availability_zone)


def weigh(vm: VmRecord, service: str) -> int:
    """Return the weight of a VM: its slot count, which changes rarely, so that few callers move."""
    return vm.total_slots.get(service, 0) or 1


def make_lookup_target(query: LookupQuery, vm: VmRecord, choice: RegionChoice) -> LookupTarget:
    """Return the lookup target of a VM, with the reason for its position in the list."""
    if vm.region == choice.region and choice.reason is not None:
        reason = choice.reason
    elif vm.availability_zone == query.place.availability_zone:
        reason = Reason.SAME_AVAILABILITY_ZONE
    elif vm.region == query.place.region:
        reason = Reason.SAME_REGION
    else:
        reason = Reason.OTHER_REGION
    weight = weigh(vm, query.service)
    return LookupTarget(vm.vm, vm.availability_zone, vm.callers, weight, reason)
