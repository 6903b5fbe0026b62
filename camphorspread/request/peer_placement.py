"""Placements of a request at other entry VMs, with the expected time until the response."""

from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

from camphorspread.process.entry_vms import EntryVm, ServiceLoad
from camphorspread.process.summary_partners import ALL_PAIRS_LIMIT, OBSERVERS_PER_REGION
from camphorspread.request.object_affinity import find_home_vms
from camphorspread.request.placement_board import (
    ForwardPlacement,
    PlacementBoard,
    PlacementRequest,
    RunTimes,
    ServiceTotals,
    count_unseen_vms,
    estimate_cold_surcharge_s,
)

__all__ = [
    "HOME_WARM_FRACTION",
    "SUMMARY_TTL",
    "ZONE_SURCHARGE_S",
    "list_peer_placements",
    "sum_loads_by_region",
]

# Assumed fraction of warm runs at an object's home VM, in this and in another region, before a run
# was measured. Requests about an object are sent to one home per region to reuse warm servers.
HOME_WARM_FRACTION = 0.7
FAR_HOME_WARM_FRACTION = 0.4
# Assumed fractions of warm runs of objects that this region doesn't keep, at their home VM in
# another region and at other VMs there, which send to the same servers.
MOVED_HOME_WARM_FRACTION = 0.9
MOVED_WARM_FRACTION = 0.8
# Traffic between regions is expensive, so another region must be faster by this much.
REGION_SURCHARGE_S = 0.03
# Another availability zone must be faster by this much.
ZONE_SURCHARGE_S = 0.004
# An older summary of another VM is no evidence of free slots.
SUMMARY_TTL = timedelta(seconds=3)


def list_peer_placements(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    totals: ServiceTotals,
    is_kept: bool,
    now: timedelta,
) -> Iterator[ForwardPlacement]:
    """Yield a forward with its cost for each eligible entry VM."""
    homes = ("", "")
    if req.object_key:
        homes = find_home_vms(board, req.service, req.object_key, totals.slots, now)
    for peer in board.peers.values():
        # The servers of a lender are already among the candidates of this VM.
        if peer.vm in totals.lenders or not may_forward_to(board, peer, req, now):
            continue
        load = peer.loads[req.service]
        warm_fraction = estimate_warm_fraction(peer, req, homes, is_kept or is_near(board, peer))
        cold_excess_s = (times.cold_s - times.warm_s) * (1.0 - warm_fraction)
        cost_s = times.warm_s + cold_excess_s + peer.round_trip_s
        if count_unseen_vms(board):
            # A small region knows its load and, if short of servers, sends requests away early.
            cost_s += estimate_cold_surcharge_s(cold_excess_s, load.busy_fraction)
        if peer.region != board.region:
            cost_s += REGION_SURCHARGE_S
        elif peer.availability_zone != board.availability_zone:
            cost_s += ZONE_SURCHARGE_S
        if load.free <= 0:
            cost_s += (load.queued + 1 - load.free) * load.mean_run_s / max(load.slots, 1)
        yield ForwardPlacement(peer, cost_s)


def is_near(board: PlacementBoard, peer: EntryVm) -> bool:
    """Return True if another VM is in the same region."""
    return peer.region == board.region


def estimate_warm_fraction(
    peer: EntryVm, req: PlacementRequest, homes: tuple[str, str], is_kept: bool
) -> float:
    """Return the expected fraction of warm runs of an object at the servers of another VM.

    Args:
        peer: The other VM.
        req: The request.
        homes: Home VMs of the object in this region and in the others.
        is_kept: False if the object belongs to the region of the other VM.
    """
    is_warm = peer.warm_objects.get((req.service, req.object_key)) if req.object_key else None
    match is_warm:
        case True:
            return 1.0
        case _ if not is_kept:
            # A single slow run says little, as the callers of that region keep the object warm.
            return MOVED_HOME_WARM_FRACTION if peer.vm == homes[1] else MOVED_WARM_FRACTION
        case None if peer.vm == homes[0]:
            return HOME_WARM_FRACTION
        case None if peer.vm == homes[1]:
            return FAR_HOME_WARM_FRACTION
        case _:
            return 0.0


def may_forward_to(
    board: PlacementBoard, peer: EntryVm, req: PlacementRequest, now: timedelta
) -> bool:
    """Return True if the request may be forwarded to the other entry VM."""
    load = peer.loads.get(req.service)
    if load is None or not load.slots or peer.vm in req.excluded:
        return False
    if peer.summary_at is None or now - peer.summary_at > SUMMARY_TTL:
        return False
    # A VM that is leaving may exit before a long run has ended.
    if peer.is_leaving or now >= peer.alive_until or now < peer.suspended_until:
        return False
    return not req.home_regions or peer.region in req.home_regions


def sum_loads_by_region(board: PlacementBoard, service: str, now: timedelta) -> list[ServiceLoad]:
    """Return the load of a service in each other region that can be reached.

    A VM of a large region states its part of the region's load, and only some VMs of that region
    exchange summaries with this one.
    """
    vms = Counter(peer.region for peer in board.peers.values())
    stated: dict[str, list[ServiceLoad]] = {}
    for peer in board.peers.values():
        load = peer.loads.get(service)
        if peer.region == board.region or load is None or peer.summary_at is None:
            continue
        if now - peer.summary_at <= SUMMARY_TTL and now < peer.alive_until:
            stated.setdefault(peer.region, []).append(load)
    return [
        add_up_loads(loads, OBSERVERS_PER_REGION / len(loads))
        if vms[region] > ALL_PAIRS_LIMIT
        else add_up_loads(loads, 1.0)
        for region, loads in stated.items()
    ]


def add_up_loads(loads: list[ServiceLoad], factor: float) -> ServiceLoad:
    """Return the sum of loads, scaled to all VMs of their region."""
    return ServiceLoad(
        round(sum(load.free for load in loads) * factor),
        round(sum(load.slots for load in loads) * factor),
        round(sum(load.queued for load in loads) * factor),
    )
