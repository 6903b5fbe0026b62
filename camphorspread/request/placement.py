"""Where one request goes: to a backend server of this VM, to another entry VM, or into the queue.

The load pattern that this answers: many requests about few objects, on backend servers that run a
request about an object they handled recently several times faster. Waiting a moment for such a
server is then better, for the caller and for everybody else's slots, than a free one that isn't.
Each place gets a cost, the expected time until the response, and the lowest one is taken.
"""

from collections.abc import Iterator
from datetime import timedelta

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance, is_usable
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
    "choose_place",
    "cold_limit",
    "fits_freed_slot",
    "has_room",
]

# Part of the objects that the servers of an object's home are assumed to know before a pass has
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


def local_places(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    instances: list[Instance],
    now: timedelta,
) -> Iterator[Start | Wait]:
    """Yield each backend server of this VM with its cost."""
    if not instances:
        return
    slots = used = waiting = 0
    fewest_failures = 1.0
    for item in instances:
        slots += item.report.slots
        used += item.in_flight
        waiting += board.bound.get(item.name, 0)
        fewest_failures = min(fewest_failures, item.failures)
    busy = used / slots
    order = find_order(board, req.service, req.object_key) if req.object_key else {}
    for item in instances:
        if item.name in req.excluded or not is_home(board, req, item):
            continue
        is_cold = item.is_cold(now)
        if is_cold and count_recent(item.cold_sends, now) >= cold_limit(board, req.service):
            continue
        is_failing = item.failures - fewest_failures >= FAILING
        is_probed = is_failing or item.speed >= SLOW
        if is_probed and (item.in_flight or now < item.probe_due):
            continue
        is_warm = req.object_key in item.warm_objects if req.object_key else False
        # A probe is chosen as if the server had recovered.
        run = (times.warm if is_warm else times.cold) * (1.0 if is_probed else item.speed)
        if is_cold:
            run *= COLD_FACTOR
        if not is_probed:
            run *= 1.0 + 2.0 * (item.failures - fewest_failures)
        cost = run + ORDER_STEP_S * order.get(item.name, 0)
        if not is_warm and req.object_key:
            # A slower run takes slots away from others, which matters once slots are scarce.
            cost += (times.cold - times.warm) * busy * busy
        if item.in_flight < item.report.slots:
            if not item.sends:
                cost -= UNTRIED_BONUS_S
            cost += BALANCE_S * item.in_flight / item.report.slots
            yield Start(item, cost, is_warm)
        else:
            ahead = (board.bound.get(item.name, 0) + 1) * times.mean / item.report.slots
            # Servers that are free take requests that wait for others, so the whole queue counts.
            all_ahead = (waiting + 1) * times.mean / slots
            yield Wait(item, cost + max(ahead, all_ahead), run)


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


def has_room(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if a request may start at a server now."""
    if not is_usable(instance, board.evacuated_zones, board.registry.lease, now):
        return False
    if instance.in_flight >= instance.report.slots or instance.speed >= SLOW:
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
    for peer in board.peers.values():
        if not may_pass_to(board, peer, req, now):
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
