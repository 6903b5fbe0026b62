"""Placements of a request at other entry VMs, with the expected time until the response."""

from collections.abc import Iterator
from datetime import timedelta

from camphorspread.process.entry_vms import EntryVm
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

__all__ = ["HOME_WARM_FRACTION", "SUMMARY_TTL", "ZONE_SURCHARGE_S", "list_peer_placements"]

# Assumed fraction of warm runs at an object's home VM, in this and in another region, before a run
# was measured. Requests about an object are sent to one home per region to reuse warm servers.
HOME_WARM_FRACTION = 0.7
FAR_HOME_WARM_FRACTION = 0.4
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
        warm = peer.warm_objects.get((req.service, req.object_key)) if req.object_key else None
        match warm:
            case True:
                warm_fraction = 1.0
            case None if peer.vm == homes[0]:
                warm_fraction = HOME_WARM_FRACTION
            case None if peer.vm == homes[1]:
                warm_fraction = FAR_HOME_WARM_FRACTION
            case _:
                warm_fraction = 0.0
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
