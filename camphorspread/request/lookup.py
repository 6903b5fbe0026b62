"""lookups: which entry VMs a caller should use for a service."""

from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.network import Address
from camphorspread.process.fleet import FleetView, VmRecord
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import Catalogue, DrainKind

__all__ = ["LookupResponse", "LookupTarget", "Place", "resolve_lookup"]


@attrs.frozen
class Place:
    """Availability zone and region of a caller."""

    availability_zone: str
    region: str


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
        service: The service asked for.
        version: Catalogue version that the response follows.
        ttl: How long the response may be kept.
        targets: At least one entry VM.
    """

    service: str
    version: int
    ttl: timedelta
    targets: tuple[LookupTarget, ...]


def resolve_lookup(
    catalogue: Catalogue, fleet: FleetView, service: str, place: Place
) -> Result[LookupResponse, Refusal]:
    """Resolve a lookup.

    Args:
        catalogue: The catalogue in force.
        fleet: Known entry VMs.
        service: Name of the service.
        place: Where the caller is.

    Returns:
        The nearest usable entry VMs first, or a refusal.
    """
    entry = catalogue.find_service(service)
    if entry is None:
        message = f"the catalogue has no service {service!r}"
        return Failure(Refusal(ErrorKind.UNKNOWN_SERVICE, message))
    usable = [vm for vm in fleet.usable() if not is_vm_drained(catalogue, vm)]
    if not usable:
        message = "no entry VM is in service"
        return Failure(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))
    ranked = sorted(usable, key=lambda vm: (rank_distance(catalogue, place, vm), vm.vm))
    targets = tuple(make_target(place, vm) for vm in ranked)
    return Success(LookupResponse(service, catalogue.version, entry.lookup_ttl, targets))


def is_vm_drained(catalogue: Catalogue, vm: VmRecord) -> bool:
    """Return True if a drain entry covers the VM."""
    return (
        catalogue.is_drained(DrainKind.VM, vm.vm)
        or catalogue.is_drained(DrainKind.AVAILABILITY_ZONE, vm.availability_zone)
        or catalogue.is_drained(DrainKind.REGION, vm.region)
    )


SAME_ZONE_RANK = 0.0
SAME_REGION_RANK = 1.0
OTHER_REGION_RANK = 2.0
UNKNOWN_DELAY_MS = 1000.0


def rank_distance(catalogue: Catalogue, place: Place, vm: VmRecord) -> float:
    """Return 0 in the caller's availability zone, 1 in its region, more elsewhere."""
    if vm.availability_zone == place.availability_zone:
        return SAME_ZONE_RANK
    if vm.region == place.region:
        return SAME_REGION_RANK
    region = catalogue.find_region(place.region)
    delay = region.delays_ms.get(vm.region, UNKNOWN_DELAY_MS) if region else UNKNOWN_DELAY_MS
    return OTHER_REGION_RANK + delay


def make_target(place: Place, vm: VmRecord) -> LookupTarget:
    """Return the target of one VM with the reason for its place in the list."""
    if vm.availability_zone == place.availability_zone:
        reason = Reason.SAME_AVAILABILITY_ZONE
    elif vm.region == place.region:
        reason = Reason.SAME_REGION
    else:
        reason = Reason.OTHER_REGION
    return LookupTarget(vm.vm, vm.availability_zone, vm.callers, 1, reason)
