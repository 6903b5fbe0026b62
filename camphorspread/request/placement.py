"""Placement of a request: at a backend server of this VM, at another entry VM, or in the queue.

It is designed for many requests about few objects, on backend servers that run a request several
times faster if they handled the same object recently (a warm run). A short wait for a warm server
is then better than a free one that must run the request cold, both for the caller and for the use
of slots. The cost of a candidate is the expected time until the response, and the candidate of
lowest cost is chosen.

Apart from warm and cold runs, which depend on the object, a server as a whole is cold for some time
after its start (`Instance.is_cold`): it then tolerates only a low request rate.
"""

import math
from collections.abc import Iterator
from datetime import timedelta

from camphorspread.process.instances import Instance, is_usable
from camphorspread.process.loans import max_requests_per_vm
from camphorspread.request.home_share import HomeShare, is_kept, is_update_due, update_share
from camphorspread.request.object_affinity import rank_instances
from camphorspread.request.peer_placement import (
    HOME_WARM_FRACTION,
    ZONE_SURCHARGE_S,
    list_peer_placements,
    sum_loads_by_region,
)
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    NoPlacement,
    Placement,
    PlacementBoard,
    PlacementRequest,
    QueuedPlacement,
    RunTimes,
    ServiceTotals,
    count_unseen_vms,
    estimate_cold_surcharge_s,
    find_counted_priority,
    find_region,
    find_run_times,
    has_scarce_capacity,
    usable_instances,
)
from camphorspread.request.queue_counts import count_ahead
from camphorspread.request.region_shift import (
    HARD_LIMIT_FRACTION,
    SOFT_LIMIT_FRACTION,
    CapacityHistory,
    has_lost_capacity,
    is_shift_allowed,
)
from camphorspread.request.remaining_work import estimate_slot_wait_s, measure_work
from camphorspread.request.server_limit import (
    estimate_limit_wait_s,
    may_send_within_limit,
)
from camphorspread.request.server_pause import find_return_delay, may_send_in_ramp
from camphorspread.request.server_speed import find_slow_factor
from camphorspread.request.service_totals import find_totals
from camphorspread.request.slot_share import (
    estimate_vm_order_cost_s,
    has_share_left,
)
from camphorspread.request.wait_estimate import estimate_hidden_wait_s, estimate_wait_s
from camphorspread.request.window import count_recent

__all__ = [
    "RESPONSE_MARGIN",
    "can_start_run",
    "choose_placement",
    "cold_limit",
    "is_kept_at_home",
    "is_region_allowed",
    "list_candidates",
    "list_local_placements",
    "match_freed_slot",
]

# Cost per position in the preference order of an object, which is the same on all VMs; it breaks
# ties between equal servers.
ORDER_COST_STEP_S = 0.002
# Cost of a server with all slots in use, in proportion for fewer, which balances the load between
# equal servers.
UTILISATION_COST_S = 0.02
# A server is an outlier if its failure rate exceeds the lowest one of its service by this much, or
# if its runs take this many times as long. It gets only single requests, as probes.
OUTLIER_FAILURE_MARGIN = 0.35
OUTLIER_SLOWDOWN = 3.0
# Bonus of a server without any request so far, so that its first run is measured early.
UNTRIED_BONUS_S = 10.0
# Factor by which runs at a cold server take longer, approximately.
COLD_SLOWDOWN = 2.0
# A cold server may briefly have two owner VMs, so each uses less than half of the rate limit.
COLD_RATE_SHARE = 0.45
# Time reserved before the caller's deadline for returning the response.
RESPONSE_MARGIN = timedelta(milliseconds=60)
# Servers considered per object; more of them cost CPU time and gain little.
MAX_CANDIDATES = 16


def choose_placement(
    board: PlacementBoard, req: PlacementRequest, promised_s: float, now: timedelta
) -> Placement:
    """Return the placement with the lowest expected time until the response.

    Args:
        board: State of servers and VMs.
        req: The request.
        promised_s: Promised response time of its route in seconds.
        now: Current monotonic time.
    """
    times = find_run_times(board, req.service, req.route, promised_s)
    totals = find_totals(board, req.service, now)
    is_at_home = is_kept_at_home(board, req, times, totals, now)
    placements: list[LocalPlacement | ForwardPlacement | QueuedPlacement] = list(
        list_local_placements(board, req, times, totals, is_at_home, now)
    )
    if req.may_forward and board.peers:
        placements += list_peer_placements(board, req, times, totals, is_at_home, now)
    if not placements:
        return NoPlacement(find_return_delay(board, req.service, now))
    if not req.may_forward:
        return min(placements, key=get_cost)
    return choose_within_shift_limit(board, req, placements, totals.slots, now)


def is_kept_at_home(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    totals: ServiceTotals,
    now: timedelta,
) -> bool:
    """Return False if requests about the object should run in another region by preference."""
    if not (req.object_key and req.may_forward and has_scarce_capacity(board, req.service)):
        return True
    share = board.home_shares.get(req.service)
    if share is None:
        share = board.home_shares[req.service] = HomeShare()
    if is_update_due(share, now):
        slots = totals.find_usable_slots(times.mean_s)
        others = sum_loads_by_region(board, req.service, now)
        update_share(share, slots, others, board.sharers, times.warm_s, times.cold_s, now)
    return is_kept(share, board.region, req.service, req.object_key)


def get_cost(place: LocalPlacement | ForwardPlacement | QueuedPlacement) -> float:
    """Return the expected time until the response, in seconds."""
    return place.cost_s


def choose_within_shift_limit(
    board: PlacementBoard,
    req: PlacementRequest,
    placements: list[LocalPlacement | ForwardPlacement | QueuedPlacement],
    slots: int,
    now: timedelta,
) -> LocalPlacement | ForwardPlacement | QueuedPlacement:
    """Return the placement with the lowest cost whose region may get one more request.

    Args:
        board: State of servers and VMs.
        req: The request.
        placements: All possible placements.
        slots: Slots of the usable servers of this VM.
        now: Current monotonic time.
    """
    history = board.capacities.setdefault(req.service, CapacityHistory())
    has_lost = has_lost_capacity(history, slots, now)
    best = min(placements, key=get_cost)
    region = find_region(board, best)
    if has_lost and region != board.region:
        return best
    left_s = (req.promised_at - now).total_seconds()
    for fraction, longest_s in ((SOFT_LIMIT_FRACTION, left_s), (HARD_LIMIT_FRACTION, math.inf)):
        if is_shift_allowed(board.region_shares, region, fraction, now):
            return best
        others = [
            place
            for place in placements
            if place.cost_s <= longest_s
            and (other := find_region(board, place)) != region
            and is_shift_allowed(board.region_shares, other, fraction, now)
        ]
        if others:
            return min(others, key=get_cost)
    return best


def list_local_placements(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    totals: ServiceTotals,
    is_kept: bool,
    now: timedelta,
) -> Iterator[LocalPlacement | QueuedPlacement]:
    """Yield a placement with its cost for each eligible backend server of this VM."""
    hidden_wait_s = estimate_hidden_wait_s(board, times, totals)
    priority = find_counted_priority(board, req)
    ahead = count_ahead(board.queued_per_service, req.service, priority)
    may_start = has_share_left(board, req.service, now)
    for rank, item in enumerate(list_candidates(board, req, now)):
        is_cold = item.is_cold(now)
        if is_cold and count_recent(item.cold_sends, now) >= cold_limit(board, req.service):
            continue
        excess_failures = item.failure_rate - totals.lowest_failure_rate
        is_probed = excess_failures >= OUTLIER_FAILURE_MARGIN or item.slowdown >= OUTLIER_SLOWDOWN
        if is_probed and (item.in_flight or now < item.probe_due):
            continue
        is_warm = req.object_key in item.warm_objects if req.object_key else False
        typical_run_s = estimate_run_s(req, times, is_warm, rank if is_kept else 1)
        if board.has_organisations and not req.object_key:
            # No object tells warm from cold runs, so that both means may be far from the mean.
            typical_run_s = times.mean_s
        # For a probe, the server is assumed to have recovered.
        slowdown = 1.0 if is_probed else item.slowdown * (1.0 + 2.0 * excess_failures)
        run_s = typical_run_s * slowdown * find_state_factor(board, item, now)
        cost_s = run_s
        if item.report.availability_zone != board.availability_zone:
            cost_s += ZONE_SURCHARGE_S
        if req.object_key:
            cost_s += ORDER_COST_STEP_S * rank
            cold_excess_s = typical_run_s - times.warm_s
            if not count_unseen_vms(board) and not is_warm:
                # A small region knows its load and, if short of servers, sends requests away early.
                cold_excess_s = times.cold_s - times.warm_s
            cost_s += estimate_cold_surcharge_s(cold_excess_s, totals.busy_fraction)
        else:
            cost_s += estimate_vm_order_cost_s(board, item.name)
        cost_s += hidden_wait_s
        if may_start and has_free_slot(board, item, now):
            cost_s += estimate_start_cost_s(board, item, times, now)
            yield LocalPlacement(item, cost_s, is_warm, run_s, req.route)
        else:
            wait_s = estimate_wait_s(board, item, times, totals, priority, ahead, now)
            yield QueuedPlacement(item, cost_s + wait_s, run_s)


def estimate_run_s(req: PlacementRequest, times: RunTimes, is_warm: bool, rank: int) -> float:
    """Return the expected run time in seconds at a server of typical speed.

    Args:
        req: The request.
        times: Mean run times of its route.
        is_warm: True if the server has handled the object for this VM.
        rank: Position of the server in the preference order of the object.
    """
    if is_warm:
        return times.warm_s
    if req.object_key and rank == 0:
        # It is first in the preference order on all VMs of the region, so it is probably warm from
        # the requests of the others.
        return times.cold_s - (times.cold_s - times.warm_s) * HOME_WARM_FRACTION
    return times.cold_s


def find_state_factor(board: PlacementBoard, item: Instance, now: timedelta) -> float:
    """Return the factor by which runs take longer at a server that is cold or reports so."""
    factor = COLD_SLOWDOWN if item.is_cold(now) else 1.0
    if item.report.service in board.work:
        factor *= find_slow_factor(item.stated, now)
    return factor


def estimate_start_cost_s(
    board: PlacementBoard, item: Instance, times: RunTimes, now: timedelta
) -> float:
    """Return the cost of a start at a server with a free slot, in addition to the run."""
    work = board.work.get(item.report.service)
    in_use = item.count_busy(now) if work is None else measure_work(work, item, times.mean_s, now)
    cost_s = UTILISATION_COST_S * in_use / item.report.slots
    is_untried = not item.sends and not item.lender
    return cost_s - UNTRIED_BONUS_S if is_untried else cost_s


def list_candidates(board: PlacementBoard, req: PlacementRequest, now: timedelta) -> list[Instance]:
    """Return the candidate servers of a request, in the preference order of its object."""
    if not req.object_key:
        usable = usable_instances(board, req.service, now)
        return [item for item in usable if may_run_at(board, req, item)]
    candidates = []
    for item in rank_instances(board, req.service, req.object_key):
        if may_run_at(board, req, item) and is_usable(item, board.evacuated_zones, now):
            candidates.append(item)
            if len(candidates) == MAX_CANDIDATES:
                break
    return candidates


def may_run_at(board: PlacementBoard, req: PlacementRequest, instance: Instance) -> bool:
    """Return True if the request may be sent to the backend server."""
    return instance.name not in req.excluded and is_region_allowed(board, req, instance)


def cold_limit(board: PlacementBoard, service: str) -> int:
    """Return the requests per second that this VM may send to a cold backend server."""
    return max(int(board.cold_rate_limits.get(service, 10.0) * COLD_RATE_SHARE), 1)


def match_freed_slot(
    board: PlacementBoard,
    req: PlacementRequest,
    instance: Instance,
    awaited_name: str,
    now: timedelta,
) -> LocalPlacement | None:
    """Return a start at a server with a freed slot if a queued request should use it, or None.

    It runs at the end of each run, so for speed it considers this server only.

    Args:
        board: State of servers and VMs.
        req: The queued request.
        instance: The server with the freed slot.
        awaited_name: Name of the server that the request waits for.
        now: Current monotonic time.
    """
    if not may_run_at(board, req, instance):
        return None
    times = board.run_times[(req.service, req.route)]
    is_warm = req.object_key in instance.warm_objects
    run_s = times.warm_s if is_warm else times.cold_s
    if times.is_measured and now + estimate_use(board, req, instance, is_warm, now) > req.deadline:
        # It would be cut, and would use the slot in vain.
        return None
    if is_warm or not req.object_key or instance.name == awaited_name:
        return LocalPlacement(instance, run_s, is_warm, route=req.route)
    awaited = board.registry.instances.get(awaited_name)
    if awaited is None or now < awaited.stated.paused_until:
        return LocalPlacement(instance, times.cold_s, False, route=req.route)
    queued = count_ahead(board.queued_per_server, awaited_name, find_counted_priority(board, req))
    ahead = max(queued - 1, 0)
    work = board.work.get(req.service)
    if work is None:
        wait_there_s = queued * times.mean_s * awaited.slowdown / awaited.report.slots
    else:
        most = max_requests_per_vm(awaited.report.slots, board.sharers)
        wait_there_s = estimate_slot_wait_s(work, awaited, times.mean_s, most, ahead, now)
    wait_there_s = max(wait_there_s, estimate_limit_wait_s(awaited, ahead, now))
    if wait_there_s + times.warm_s > times.cold_s * instance.slowdown:
        return LocalPlacement(instance, times.cold_s, False, route=req.route)
    return None


def estimate_use(
    board: PlacementBoard, req: PlacementRequest, instance: Instance, is_warm: bool, now: timedelta
) -> timedelta:
    """Return how long a request needs a slot of a server until its response has been returned.

    Under scarce capacity, slower servers and the way back count too.
    """
    times = board.run_times[(req.service, req.route)]
    run_s = times.warm_s if is_warm else times.cold_s
    if not has_scarce_capacity(board, req.service):
        return timedelta(seconds=run_s)
    if board.has_organisations and not req.object_key:
        run_s = times.mean_s
    if instance.is_cold(now):
        run_s *= COLD_SLOWDOWN
    return timedelta(seconds=run_s * instance.slowdown) + RESPONSE_MARGIN


def has_free_slot(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if a slot of the server is free within this VM's share of its slots and rate."""
    slots = instance.report.slots
    return (
        instance.count_busy(now) < slots
        and instance.in_flight < max_requests_per_vm(slots, board.sharers)
        and may_send_within_limit(instance, now)
        and (now >= instance.stated.ramp_until or may_send_in_ramp(instance, now))
    )


def can_start_run(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if the server may be sent a request now.

    At the end of a run, the server may have left meanwhile.
    """
    is_known = board.registry.instances.get(instance.name) is instance
    if not is_known or not is_usable(instance, board.evacuated_zones, now):
        return False
    if not has_free_slot(board, instance, now) or instance.slowdown >= OUTLIER_SLOWDOWN:
        return False
    if not has_share_left(board, instance.report.service, now):
        return False
    if not instance.is_cold(now):
        return True
    limit = cold_limit(board, instance.report.service)
    return count_recent(instance.cold_sends, now) < limit


def is_region_allowed(board: PlacementBoard, req: PlacementRequest, instance: Instance) -> bool:
    """Return True if the backend server is in a region that may run the request."""
    if not req.home_regions:
        return True
    region = board.regions.get(instance.report.availability_zone, board.region)
    return region in req.home_regions
