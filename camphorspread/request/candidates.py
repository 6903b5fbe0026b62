"""Selection of an endpoint and of other entry VMs for one request."""

from datetime import timedelta

import attrs

from camphorspread.process.endpoint_health import EndpointHealthTable, count_free_slots
from camphorspread.process.endpoints import Endpoint
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.request.policy import DEFAULT_POLICY, EndpointPolicy, pick_endpoint
from camphorspread.request.reachability import ConnectFailures, is_reachable
from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import Catalogue

__all__ = ["Candidate", "OtherVm", "OwnEndpoints", "choose_endpoint", "order_candidates"]

UNKNOWN_DELAY_MS = 1000.0
SAME_ZONE_TIER, SAME_REGION_TIER, OTHER_REGION_TIER = 0, 1, 2


@attrs.frozen
class OwnEndpoints:
    """The endpoints that this VM owns.

    Attributes:
        may_wait: False if another VM of the region has free slots, so that queueing is pointless.
    """

    may_wait: bool


@attrs.frozen
class OtherVm:
    """Another entry VM that owns endpoints of the service.

    Attributes:
        record: The VM.
        reason: Why it is a candidate.
        is_overflow: True if it is tried because the request would wait long at this VM.
    """

    record: VmRecord
    reason: Reason
    is_overflow: bool = False


Candidate = OwnEndpoints | OtherVm


def choose_endpoint(
    table: EndpointHealthTable,
    live: list[Endpoint],
    now: timedelta,
    excluded: frozenset[str] = frozenset(),
    policy: EndpointPolicy = DEFAULT_POLICY,
) -> Endpoint | None:
    """Return the best endpoint with a free slot under the policy, or None.

    Args:
        table: Measured latency and failures of the endpoints.
        live: Live endpoints of the service.
        now: Current monotonic time.
        excluded: Names of endpoints that earlier attempts of this request used.
        policy: Load-balancing policy.
    """
    free = [
        endpoint
        for endpoint in live
        if count_free_slots(endpoint, now) and endpoint.announcement.endpoint not in excluded
    ]
    if not free:
        return None
    return pick_endpoint(policy, table, free, now)


def order_candidates(
    catalogue: Catalogue,
    fleet: FleetView,
    failures: ConnectFailures,
    service: str,
    has_own: bool,
    is_forwarded: bool,
) -> list[Candidate]:
    """Return the candidates for the request, in the order in which they are tried.

    Args:
        catalogue: The newest catalogue.
        fleet: Known entry VMs.
        failures: Failed connections to entry VMs.
        service: Name of the service.
        has_own: True if this VM owns a live endpoint of the service.
        is_forwarded: True if another entry VM forwarded the request; it isn't forwarded again.

    Returns:
        Endpoints of this VM, then other VMs by tier: same availability zone, same region, other
        regions. Within a tier, VMs with free slots come first, then the nearer ones. An unreachable
        VM of this region is left out, since free slots in its last report would keep requests from
        waiting here.
    """
    if is_forwarded:
        return [OwnEndpoints(may_wait=True)]
    own_region = fleet.own.region
    others = [
        record
        for record in fleet.vms.values()
        if record.vm != fleet.own_vm
        and record.state is VmState.ALIVE
        and (record.region != own_region or is_reachable(failures, record))
        and record.total_slots.get(service, 0)
    ]
    others.sort(key=lambda record: rank_vm(catalogue, fleet.own, record, service))
    has_free = any(vm.region == own_region and vm.free_slots.get(service, 0) for vm in others)
    other_vms = [OtherVm(record, find_reason(fleet.own, record)) for record in others]
    if not has_own and others:
        return list(other_vms)
    return [OwnEndpoints(may_wait=not has_free), *other_vms]


def rank_vm(
    catalogue: Catalogue, own: VmRecord, record: VmRecord, service: str
) -> tuple[int, bool, float, int, str]:
    """Return the sort key of a VM: tier, then whether slots are free, then delay."""
    free = record.free_slots.get(service, 0)
    if record.availability_zone == own.availability_zone:
        return SAME_ZONE_TIER, not free, 0.0, -free, record.vm
    if record.region == own.region:
        return SAME_REGION_TIER, not free, 0.0, -free, record.vm
    region = catalogue.find_region(own.region)
    delay = region.delays_ms.get(record.region, UNKNOWN_DELAY_MS) if region else UNKNOWN_DELAY_MS
    return OTHER_REGION_TIER, not free, delay, -free, record.vm


def find_reason(own: VmRecord, record: VmRecord) -> Reason:
    """Return the reason for sending a request to another VM."""
    if record.availability_zone == own.availability_zone:
        return Reason.SAME_AVAILABILITY_ZONE
    return Reason.SAME_REGION if record.region == own.region else Reason.OTHER_REGION
