"""Backend servers and other VMs as candidates for one request, and what rules them out."""

import enum
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance
from camphorspread.process.loans import max_requests_per_vm
from camphorspread.request.peer_placement import SUMMARY_TTL
from camphorspread.request.placement import cold_limit, is_region_allowed
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    PlacementBoard,
    PlacementRequest,
    QueuedPlacement,
    RunTimes,
    ServiceTotals,
    find_counted_priority,
)
from camphorspread.request.queue_counts import count_ahead
from camphorspread.request.server_limit import may_send_within_limit
from camphorspread.request.server_pause import may_send_in_ramp
from camphorspread.request.server_speed import find_slow_factor
from camphorspread.request.slot_share import has_share_left
from camphorspread.request.wait_estimate import estimate_hidden_wait_s, estimate_wait_s
from camphorspread.request.window import count_recent

__all__ = ["Obstacle", "OtherVmCandidate", "ServerCandidate", "describe_server", "describe_vm"]

LocalCandidate = LocalPlacement | QueuedPlacement


class Obstacle(enum.Enum):
    """Why a candidate is ruled out, can't start the request now, or isn't preferred."""

    HOME_REGION = "home_region"
    EVACUATED_ZONE = "evacuated_zone"
    LEAVING = "leaving"
    PAUSE = "pause"
    EXPIRED = "expired"
    NO_RESPONSE = "no_response"
    COLD_LIMIT = "cold_limit"
    # Failing or slow, so that it gets single requests as probes.
    OUTLIER = "outlier"
    # Beyond the servers that are considered for an object.
    LOW_PREFERENCE = "low_preference"
    NO_FREE_SLOT = "no_free_slot"
    STATED_RATE = "stated_rate"
    RAMP_UP = "ramp_up"
    # This VM uses its share of the slots of the service.
    VM_SHARE = "vm_share"
    NO_SERVERS = "no_servers"
    OLD_SUMMARY = "old_summary"
    # Its servers are among those of this VM.
    LENDER = "lender"
    SHIFT_LIMIT = "shift_limit"
    OBJECT_KEPT_ELSEWHERE = "object_kept_elsewhere"


@attrs.frozen
class ServerCandidate:
    """A backend server.

    Attributes:
        name: Its identifier.
        availability_zone: Its availability zone.
        region: Its region.
        lender: VM that lends it, empty if it announces itself here.
        cost_s: Expected time until the response, lowered or raised to prefer other servers; None
            for all times if it is ruled out.
        run_s: Expected run time.
        wait_s: Expected wait.
        in_flight: Requests of this VM in flight to it.
        others_in_flight: Requests of other VMs that it stated last.
        load_age_s: Age of that statement, None before the first one.
        slots: Its slots.
        slow_factor: How much longer work takes there, as stated last.
        weighted_slow_factor: The factor that its age leaves of it.
        speed_age_s: Age of that statement, None before the first one.
        pause_left_s: For how much longer it wants no requests, 0 without a pause.
        rate_limit: Requests per second that it takes from all VMs, None without a limit.
        is_cold: True if it tolerates only a low request rate.
        is_warm: True if it has handled the object for this VM.
        obstacles: What rules it out or makes the request wait.
    """

    name: str
    availability_zone: str
    region: str
    lender: str
    cost_s: float | None
    run_s: float | None
    wait_s: float | None
    in_flight: int
    others_in_flight: int
    load_age_s: float | None
    slots: int
    slow_factor: float
    weighted_slow_factor: float
    speed_age_s: float | None
    pause_left_s: float
    rate_limit: float | None
    is_cold: bool
    is_warm: bool
    obstacles: tuple[Obstacle, ...] = ()


@attrs.frozen
class OtherVmCandidate:
    """Another entry VM.

    Attributes:
        name: Name of the VM.
        availability_zone: Its availability zone.
        region: Its region.
        cost_s: Expected time until the response, None if it is ruled out.
        round_trip_s: Measured round-trip time, 0 before the first measurement.
        free: Free slots that it stated, less the requests sent to it since.
        slots: Slots that it stated.
        queued: Queued requests that it stated.
        summary_age_s: Age of that summary, None before the first one.
        is_warm: Whether the last run about the object there was warm, None if there was none.
        obstacles: What rules it out.
    """

    name: str
    availability_zone: str
    region: str
    cost_s: float | None
    round_trip_s: float
    free: int
    slots: int
    queued: int
    summary_age_s: float | None
    is_warm: bool | None
    obstacles: tuple[Obstacle, ...] = ()


def describe_server(
    board: PlacementBoard,
    req: PlacementRequest,
    item: Instance,
    place: LocalCandidate | None,
    is_considered: bool,
    times: RunTimes,
    totals: ServiceTotals,
    now: timedelta,
) -> ServerCandidate:
    """Return a backend server as a candidate.

    Args:
        board: State of servers and VMs.
        req: The request.
        item: The server.
        place: The placement there, None if there is none.
        is_considered: False if the server isn't considered for the request at all.
        times: Mean run times of the route.
        totals: Totals over the servers of the service.
        now: Current monotonic time.
    """
    wait_s = None
    match place:
        case None:
            rest = Obstacle.OUTLIER if is_considered else Obstacle.LOW_PREFERENCE
            obstacles = find_exclusions(board, req, item, now) or (rest,)
        case LocalPlacement():
            obstacles = ()
            wait_s = estimate_hidden_wait_s(board, times, totals)
        case QueuedPlacement():
            obstacles = find_waits(board, item, now)
            priority = find_counted_priority(board, req)
            ahead = count_ahead(board.queued_per_service, req.service, priority)
            wait_s = estimate_hidden_wait_s(board, times, totals) + estimate_wait_s(
                board, item, times, totals, priority, ahead, now
            )
    stated = item.stated
    return ServerCandidate(
        item.name,
        item.report.availability_zone,
        board.regions.get(item.report.availability_zone, board.region),
        item.lender,
        place and place.cost_s,
        place and place.run_s,
        wait_s,
        item.in_flight,
        item.others_in_flight,
        find_age_s(item.others_reported_at, now),
        item.report.slots,
        stated.slow_factor,
        find_slow_factor(stated, now),
        find_age_s(stated.speed_at, now),
        max(stated.paused_until - now, timedelta(0)).total_seconds(),
        stated.rate_limit,
        item.is_cold(now),
        bool(req.object_key) and req.object_key in item.warm_objects,
        obstacles,
    )


def find_age_s(at: timedelta, now: timedelta) -> float | None:
    """Return the age of a statement in seconds, None if there was none."""
    return (now - at).total_seconds() if at else None


def find_exclusions(
    board: PlacementBoard, req: PlacementRequest, item: Instance, now: timedelta
) -> tuple[Obstacle, ...]:
    """Return what rules a backend server out."""
    is_over_cold_limit = item.is_cold(now) and (
        count_recent(item.cold_sends, now) >= cold_limit(board, req.service)
    )
    checks = (
        (Obstacle.HOME_REGION, not is_region_allowed(board, req, item)),
        (Obstacle.EVACUATED_ZONE, item.report.availability_zone in board.evacuated_zones),
        (Obstacle.LEAVING, now < item.stated.leaving_until),
        (Obstacle.PAUSE, now < item.stated.paused_until),
        (Obstacle.NO_RESPONSE, now < item.suspended_until),
        (Obstacle.EXPIRED, now >= item.usable_until),
        (Obstacle.COLD_LIMIT, is_over_cold_limit),
    )
    return tuple(obstacle for obstacle, applies in checks if applies)


def find_waits(board: PlacementBoard, item: Instance, now: timedelta) -> tuple[Obstacle, ...]:
    """Return why a request can't start at a backend server now."""
    slots = item.report.slots
    is_full = item.count_busy(now) >= slots
    is_ramping = now < item.stated.ramp_until and not may_send_in_ramp(item, now)
    checks = (
        (Obstacle.NO_FREE_SLOT, is_full or item.in_flight >= find_most(board, item)),
        (Obstacle.STATED_RATE, not may_send_within_limit(item, now)),
        (Obstacle.RAMP_UP, is_ramping),
        (Obstacle.VM_SHARE, not has_share_left(board, item.report.service, now)),
    )
    return tuple(obstacle for obstacle, applies in checks if applies)


def find_most(board: PlacementBoard, item: Instance) -> int:
    """Return the requests that this VM may have in flight to a backend server."""
    return max_requests_per_vm(item.report.slots, board.sharers)


def describe_vm(
    board: PlacementBoard,
    req: PlacementRequest,
    peer: EntryVm,
    place: ForwardPlacement | None,
    totals: ServiceTotals,
    now: timedelta,
) -> OtherVmCandidate:
    """Return another entry VM with its placement, None if it has none."""
    load = peer.loads.get(req.service)
    key = (req.service, req.object_key)
    return OtherVmCandidate(
        peer.vm,
        peer.availability_zone,
        peer.region,
        place and place.cost_s,
        peer.round_trip_s,
        load.free if load else 0,
        load.slots if load else 0,
        load.queued if load else 0,
        None if peer.summary_at is None else (now - peer.summary_at).total_seconds(),
        peer.warm_objects.get(key) if req.object_key else None,
        () if place else find_vm_exclusions(req, peer, totals, now),
    )


def find_vm_exclusions(
    req: PlacementRequest, peer: EntryVm, totals: ServiceTotals, now: timedelta
) -> tuple[Obstacle, ...]:
    """Return what rules another entry VM out."""
    load = peer.loads.get(req.service)
    is_old = peer.summary_at is None or now - peer.summary_at > SUMMARY_TTL
    checks = (
        (Obstacle.HOME_REGION, bool(req.home_regions) and peer.region not in req.home_regions),
        (Obstacle.NO_SERVERS, load is None or not load.slots),
        (Obstacle.LENDER, peer.vm in totals.lenders),
        (Obstacle.LEAVING, peer.is_leaving),
        (Obstacle.EXPIRED, now >= peer.alive_until),
        (Obstacle.NO_RESPONSE, now < peer.suspended_until),
        (Obstacle.OLD_SUMMARY, is_old),
    )
    return tuple(obstacle for obstacle, applies in checks if applies)
