"""Where one request goes: to a backend server of this VM, to another entry VM, or into the queue.

The load pattern that this answers: many requests about few objects, on backend servers that run a
request about an object they handled recently several times faster. Waiting a moment for such a
server is then better, for the caller and for everybody else's slots, than a free one that isn't.
Each place gets a cost, the expected time until the response, and the lowest one is taken.
"""

from collections.abc import Iterator
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance, is_usable
from camphorspread.process.loans import slot_share
from camphorspread.request.object_homes import find_homes, find_order
from camphorspread.request.placement_board import (
    Nowhere,
    Pass,
    Place,
    PlacementBoard,
    PlacementRequest,
    RunTimes,
    Start,
    Wait,
    find_run_times,
    usable_instances,
)
from camphorspread.request.window import count_recent

__all__ = [
    "SUMMARY_TTL",
    "choose_place",
    "cold_limit",
    "fits_freed_slot",
    "has_room",
]

# Part of the objects that the servers of an object's home are assumed to know before a run has
# shown it; requests about an object go to one home in each region so that they meet there.
HOME_WARM_PART = 0.7
FAR_HOME_WARM_PART = 0.4
# Bytes between regions are dear, so another region must be this much faster.
REGION_SURCHARGE_S = 0.03
ZONE_SURCHARGE_S = 0.004
# Prefers the stable order of an object among servers that are equally good.
ORDER_STEP_S = 0.002
BALANCE_S = 0.02
# A server whose part of failed runs is this much above the lowest one of its service, or whose runs
# take this many times as long, gets single requests as probes only.
FAILING = 0.35
SLOW = 3.0
# What a server that has had no request yet gains, so that its first one finds out what it can do.
UNTRIED_BONUS_S = 10.0
# A cold server takes about this many times as long.
COLD_FACTOR = 2.0
# A cold server may be owned by two VMs for a moment, so each keeps to less than half of the bound.
COLD_PART = 0.45
# Servers considered for an object; more of them cost processor time and add little.
MOST_CANDIDATES = 16
# A summary older than this says nothing about free slots.
SUMMARY_TTL = timedelta(seconds=3)


def choose_place(
    board: PlacementBoard, req: PlacementRequest, promised_s: float, now: timedelta
) -> Place:
    """Return the place at which the response is expected first.

    Args:
        board: State of servers and VMs.
        req: The request.
        promised_s: Promised time of its route in seconds.
        now: The present instant.
    """
    times = find_run_times(board, req.service, req.route, promised_s)
    instances = usable_instances(board, req.service, now)
    places: list[Place] = list(local_places(board, req, times, instances, now))
    if req.may_pass and board.peers:
        places += peer_places(board, req, times, instances, now)
    if not places:
        return Nowhere()
    return min(places, key=lambda place: place.cost_s)


@attrs.frozen
class ServiceTotals:
    """What the servers of a service that may get requests amount to.

    Attributes:
        slots: Their slots.
        busy_part: Part of the slots that is in use.
        waiting: Requests that wait for one of them here.
        fewest_failures: Part of failed runs of the best one.
    """

    slots: int
    busy_part: float
    waiting: int
    fewest_failures: float


def add_up(board: PlacementBoard, instances: list[Instance], now: timedelta) -> ServiceTotals:
    """Return the totals of at least one server."""
    slots = sum(item.report.slots for item in instances)
    used = sum(item.count_busy(now) for item in instances)
    waiting = sum(board.bound.get(item.name, 0) for item in instances)
    return ServiceTotals(slots, used / slots, waiting, min(item.failures for item in instances))


def local_places(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    instances: list[Instance],
    now: timedelta,
) -> Iterator[Start | Wait]:
    """Yield each backend server that this VM sends to, with its cost."""
    if not instances:
        return
    totals = add_up(board, instances, now)
    for rank, item in enumerate(list_candidates(board, req, instances)):
        is_cold = item.is_cold(now)
        if is_cold and count_recent(item.cold_sends, now) >= cold_limit(board, req.service):
            continue
        more_failures = item.failures - totals.fewest_failures
        is_probed = more_failures >= FAILING or item.speed >= SLOW
        if is_probed and (item.in_flight or now < item.probe_due):
            continue
        is_warm = req.object_key in item.warm_objects if req.object_key else False
        run = expect_run(req, times, is_warm, rank)
        if not is_probed:
            # A probe is chosen as if the server had recovered.
            run *= item.speed * (1.0 + 2.0 * more_failures)
        if is_cold:
            run *= COLD_FACTOR
        cost = run
        if item.report.availability_zone != board.availability_zone:
            cost += ZONE_SURCHARGE_S
        if req.object_key:
            cost += ORDER_STEP_S * rank
            if not is_warm:
                # A slower run takes slots away from others, which matters once they are scarce.
                cost += (times.cold - times.warm) * totals.busy_part**2
        yield find_turn(board, item, times, totals, cost, run, is_warm, now)


def expect_run(req: PlacementRequest, times: RunTimes, is_warm: bool, rank: int) -> float:
    """Return the expected time in seconds of a run at a usual server.

    Args:
        req: The request.
        times: Mean times of its route.
        is_warm: True if the server has handled the object for this VM.
        rank: Place of the server in the order for the object.
    """
    if is_warm:
        return times.warm
    if req.object_key and rank == 0:
        # All VMs of the region send requests about the object there.
        return times.cold - (times.cold - times.warm) * HOME_WARM_PART
    return times.cold


def find_turn(
    board: PlacementBoard,
    item: Instance,
    times: RunTimes,
    totals: ServiceTotals,
    cost: float,
    run: float,
    is_warm: bool,
    now: timedelta,
) -> Start | Wait:
    """Return whether a request may start at a server now or has to wait there."""
    in_use = item.count_busy(now)
    if has_free_slot(board, item, now):
        if not item.sends and not item.lender:
            cost -= UNTRIED_BONUS_S
        return Start(item, cost + BALANCE_S * in_use / item.report.slots, is_warm)
    ahead = (board.bound.get(item.name, 0) + 1) * times.mean / item.report.slots
    # Servers that are free take requests that wait for others, so the whole queue counts.
    all_ahead = (totals.waiting + 1) * times.mean / totals.slots
    return Wait(item, cost + max(ahead, all_ahead), run)


def list_candidates(
    board: PlacementBoard, req: PlacementRequest, instances: list[Instance]
) -> list[Instance]:
    """Return the servers that are considered for a request, the best one for its object first."""
    usable = {
        item.name: item
        for item in instances
        if item.name not in req.excluded and is_home(board, req, item)
    }
    if not req.object_key:
        return list(usable.values())
    candidates = []
    for item in find_order(board, req.service, req.object_key):
        if item.name in usable:
            candidates.append(item)
            if len(candidates) == MOST_CANDIDATES:
                break
    return candidates


def cold_limit(board: PlacementBoard, service: str) -> int:
    """Return how many requests a second this VM may send to a cold backend server."""
    return max(int(board.cold_bounds.get(service, 10.0) * COLD_PART), 1)


def fits_freed_slot(
    board: PlacementBoard,
    req: PlacementRequest,
    instance: Instance,
    expected: str,
) -> Start | None:
    """Return the place at a server that has a free slot again, if a waiting request should take it.

    This is the part of the choice that each end of a run needs, so it looks at one server only.

    Args:
        board: State of servers and VMs.
        req: The waiting request.
        instance: The server.
        expected: Name of the server that the request waits for.
    """
    if instance.name in req.excluded or not is_home(board, req, instance):
        return None
    times = board.run_times[(req.service, req.route)]
    is_warm = req.object_key in instance.warm_objects
    if is_warm or not req.object_key or instance.name == expected:
        return Start(instance, times.warm if is_warm else times.cold, is_warm)
    other = board.registry.instances.get(expected)
    if other is None:
        return Start(instance, times.cold, False)
    wait_there = board.bound.get(expected, 0) * times.mean * other.speed / other.report.slots
    if wait_there + times.warm > times.cold * instance.speed:
        return Start(instance, times.cold, False)
    return None


def has_free_slot(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if this VM may have one more request at a server."""
    slots = instance.report.slots
    return instance.count_busy(now) < slots and instance.in_flight < slot_share(
        slots, board.sharers
    )


def has_room(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if a request may start at a server now."""
    if not is_usable(instance, board.evacuated_zones, now):
        return False
    if not has_free_slot(board, instance, now) or instance.speed >= SLOW:
        return False
    if not instance.is_cold(now):
        return True
    limit = cold_limit(board, instance.report.service)
    return count_recent(instance.cold_sends, now) < limit


def is_home(board: PlacementBoard, req: PlacementRequest, instance: Instance) -> bool:
    """Return True if a backend server is in a region that may run the request."""
    if not req.home_regions:
        return True
    # A VM may own servers of another region whose own VMs are lost.
    region = board.regions.get(instance.report.availability_zone, board.region)
    return region in req.home_regions


def peer_places(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    instances: list[Instance],
    now: timedelta,
) -> Iterator[Pass]:
    """Yield each other entry VM that has room, with its cost."""
    homes = ("", "")
    if req.object_key:
        slots = sum(item.report.slots for item in instances)
        homes = find_homes(board, req.service, req.object_key, slots, now)
    lenders = {item.lender for item in instances}
    for peer in board.peers.values():
        if peer.vm in lenders or not may_pass_to(board, peer, req, now):
            continue
        load = peer.loads[req.service]
        warm = peer.warm_objects.get((req.service, req.object_key)) if req.object_key else None
        match warm:
            case True:
                warm_part = 1.0
            case None if peer.vm == homes[0]:
                warm_part = HOME_WARM_PART
            case None if peer.vm == homes[1]:
                warm_part = FAR_HOME_WARM_PART
            case _:
                warm_part = 0.0
        run = times.cold - (times.cold - times.warm) * warm_part
        cost = run + peer.round_trip_s
        if peer.region != board.region:
            cost += REGION_SURCHARGE_S
        elif peer.availability_zone != board.availability_zone:
            cost += ZONE_SURCHARGE_S
        if load.free <= 0:
            cost += (load.queued + 1 - load.free) * load.mean_run_s / max(load.slots, 1)
        yield Pass(peer, cost)


def may_pass_to(
    board: PlacementBoard, peer: EntryVm, req: PlacementRequest, now: timedelta
) -> bool:
    """Return True if a request may be passed to another entry VM."""
    load = peer.loads.get(req.service)
    if load is None or not load.slots or peer.vm in req.excluded:
        return False
    if peer.summary_at is None or now - peer.summary_at > SUMMARY_TTL:
        return False
    if now >= peer.alive_until or now < peer.suspended_until:
        return False
    return not req.home_regions or peer.region in req.home_regions
