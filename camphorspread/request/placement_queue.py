"""Queue of requests at an entry VM: admission to the queue, early refusal and priority.

It is designed for overload of a few seconds. Requests that can still be on time are served first,
in order of priority. A few late ones use the leftover capacity. The others are refused immediately
with the time after which the backlog is expected to have cleared, since a caller that is refused
early can still be served by a retry.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.process.instances import Instance
from camphorspread.request.home_share import record_arrival
from camphorspread.request.placement import (
    RESPONSE_MARGIN,
    can_start_run,
    choose_placement,
    match_freed_slot,
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
    count_unseen_vms,
    find_counted_priority,
    find_priority,
    find_run_times,
    has_scarce_capacity,
)
from camphorspread.request.queue_counts import Priority, count_queued, remove_queued
from camphorspread.request.retry_time import (
    NO_SERVER_RETRY_DELAY,
    find_booking,
    suggest_retry_delay,
)
from camphorspread.request.return_booking import count_arrival
from camphorspread.request.server_pause import find_return_delay, spread_return_delay
from camphorspread.request.service_fairness import record_decision, record_failure
from camphorspread.request.service_totals import find_totals
from camphorspread.request.slot_share import has_share_left, is_share_limited

__all__ = [
    "Granted",
    "PlacementQueue",
    "Refused",
    "Waiter",
    "count_decision",
    "count_request",
    "grant_slot",
    "remove_waiter",
    "request_placement",
    "review_waiters",
    "sort_by_priority",
    "withdraw_grant",
]

# Fraction of the promised time by which the expected response of an arriving request must be early,
# so that it isn't queued first and refused later.
ADMISSION_MARGIN_FRACTION = 0.15
# Limit on queued late requests, which use leftover capacity, as a fraction of the slots.
LATE_FRACTION = 0.5
# Number of requests at the head of the queue that each review places anew, which may forward them
# to other VMs.
REVIEW_HEAD_COUNT = 6


@attrs.define(eq=False)
class Waiter:
    """A request to be placed, which may be queued.

    Attributes:
        ticket: Number in the order of arrival.
        req: The request.
        promised_s: Promised response time of its route in seconds.
        instance: Name of the backend server that it is expected to be sent to, empty if none.
        priority: Priority with which it is counted while `instance` is set.
        has_waited: True once it has been queued.
        is_late: True once it isn't expected to be on time; it may use leftover capacity only.
    """

    ticket: int
    req: PlacementRequest
    promised_s: float
    instance: str = ""
    priority: Priority = (1, 0, 0)
    has_waited: bool = False
    is_late: bool = False


@attrs.define(eq=False)
class PlacementQueue:
    """Queued requests by service, in the order of arrival."""

    by_service: dict[str, dict[int, Waiter]] = attrs.field(factory=dict)

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self.by_service.get(service, ()))


@attrs.frozen
class Granted:
    """The request has been placed."""

    ticket: int
    place: LocalPlacement | ForwardPlacement


@attrs.frozen
class Refused:
    """The request is refused without having been run.

    Attributes:
        ticket: Number of the request.
        retry_after: Suggested delay before the caller retries.
        has_server: False if no backend server of the service is known.
    """

    ticket: int
    retry_after: timedelta
    has_server: bool = True


def request_placement(
    board: PlacementBoard, queue: PlacementQueue, waiter: Waiter, now: timedelta
) -> Granted | Refused | None:
    """Place an arriving request, refuse it, or queue it (None).

    Args:
        board: State of servers and VMs.
        queue: Queued requests.
        waiter: The request.
        now: Current monotonic time.
    """
    count_request(board, waiter.req, now)
    decision = decide_placement(board, queue, waiter, now)
    if decision is None:
        queue.by_service.setdefault(waiter.req.service, {})[waiter.ticket] = waiter
    else:
        count_decision(board, waiter, isinstance(decision, Granted), now)
    return decision


def count_request(board: PlacementBoard, req: PlacementRequest, now: timedelta) -> None:
    """Count an arriving request for the retry times and for the share of kept objects."""
    if has_scarce_capacity(board, req.service):
        count_arrival(find_booking(board, req.service), now)
    if req.may_forward and not req.excluded:
        share = board.home_shares.get(req.service)
        if share is not None:
            record_arrival(share, now)


def count_decision(board: PlacementBoard, waiter: Waiter, is_served: bool, now: timedelta) -> None:
    """Count the final decision on a request for its organisation."""
    req = waiter.req
    if has_scarce_capacity(board, req.service):
        record_decision(board.fairness, req.organisation, req.organisation_rank, is_served, now)


def withdraw_grant(
    board: PlacementBoard, req: PlacementRequest, is_final: bool, now: timedelta
) -> None:
    """Take back the counted grant of a request whose attempt failed.

    Args:
        board: State of servers and VMs.
        req: The request.
        is_final: False if the request is placed again.
        now: Current monotonic time.
    """
    if has_scarce_capacity(board, req.service):
        record_failure(board.fairness, req.organisation, req.organisation_rank, is_final, now)


def decide_placement(
    board: PlacementBoard, queue: PlacementQueue, waiter: Waiter, now: timedelta
) -> Granted | Refused | None:
    """Return the decision on one request, None if it has to wait."""
    req = waiter.req
    place = choose_placement(board, req, waiter.promised_s, now)
    times = find_run_times(board, req.service, req.route, waiter.promised_s)
    match place:
        case NoPlacement(return_delay=timedelta() as delay):
            return Refused(waiter.ticket, spread_return_delay(delay, waiter.ticket))
        case NoPlacement():
            return Refused(waiter.ticket, NO_SERVER_RETRY_DELAY, has_server=False)
        case LocalPlacement() if not times.is_measured and has_time_for_run(waiter, times, now):
            # Without measured run times there is no evidence that the request would be late.
            return Granted(waiter.ticket, place)
        case _ if not ends_in_time(board, waiter, place, now):
            return Refused(
                waiter.ticket, suggest_retry_delay(board, req, queue.count(req.service), now)
            )
        case LocalPlacement() | ForwardPlacement():
            return Granted(waiter.ticket, place)
        case QueuedPlacement(instance=instance, cost_s=cost_s, run_s=run_s):
            # An arriving request must be early by a margin. One that has already been queued should
            # be served although estimates are inexact, so only its run time counts, without the
            # wait: most of the other queued requests are behind it.
            margin = ADMISSION_MARGIN_FRACTION * waiter.promised_s
            expected_s = run_s if waiter.has_waited else cost_s + margin
            if now + timedelta(seconds=expected_s) > req.promised_at:
                if not may_queue_late(board, queue, waiter, now):
                    return Refused(
                        waiter.ticket,
                        suggest_retry_delay(board, req, queue.count(req.service), now),
                    )
                waiter.is_late = True
            bind_to_server(board, waiter, instance.name)
            waiter.has_waited = True
            return None


def has_time_for_run(waiter: Waiter, times: RunTimes, now: timedelta) -> bool:
    """Return True if at least a warm run would end before the deadline."""
    return now + timedelta(seconds=times.warm_s) + RESPONSE_MARGIN <= waiter.req.deadline


def bind_to_server(board: PlacementBoard, waiter: Waiter, name: str) -> None:
    """Set the server that a request waits for, and update the numbers of queued requests.

    Args:
        board: State of servers and VMs.
        waiter: The request.
        name: Name of the server, empty if it no longer waits for one.
    """
    service = waiter.req.service
    if waiter.instance:
        remove_queued(board.queued_per_server, waiter.instance, waiter.priority)
        remove_queued(board.queued_per_service, service, waiter.priority)
    waiter.instance = name
    if name:
        waiter.priority = find_priority(board, waiter.req)
        count_queued(board.queued_per_server, name, waiter.priority)
        count_queued(board.queued_per_service, service, waiter.priority)


def may_queue_late(
    board: PlacementBoard, queue: PlacementQueue, waiter: Waiter, now: timedelta
) -> bool:
    """Return True if the limit on queued late requests allows one more."""
    totals = find_totals(board, waiter.req.service, now)
    run_s = estimate_warm_run(board, waiter).total_seconds()
    slots = totals.find_usable_slots(run_s) / (1 + count_unseen_vms(board))
    others = queue.by_service.get(waiter.req.service, {})
    priority = find_counted_priority(board, waiter.req)
    late = sum(
        1
        for other in others.values()
        if other is not waiter
        and other.is_late
        and (priority is None or other.priority <= priority)
    )
    return late < max(slots * LATE_FRACTION, 1)


def estimate_warm_run(board: PlacementBoard, waiter: Waiter) -> timedelta:
    """Return the expected time of a warm run, or the promised time if none is known."""
    times = board.run_times.get((waiter.req.service, waiter.req.route))
    return timedelta(seconds=times.warm_s if times else waiter.promised_s)


def remove_waiter(board: PlacementBoard, queue: PlacementQueue, waiter: Waiter) -> None:
    """Remove a request from the queue if it is queued."""
    bind_to_server(board, waiter, "")
    queue.by_service.get(waiter.req.service, {}).pop(waiter.ticket, None)


def sort_by_priority(
    board: PlacementBoard, waiters: Iterable[Waiter], now: timedelta
) -> list[Waiter]:
    """Sort queued requests in the order in which they are served."""

    def order(waiter: Waiter) -> tuple[bool, Priority, int]:
        is_late = waiter.is_late or now + estimate_warm_run(board, waiter) > waiter.req.promised_at
        return is_late, find_priority(board, waiter.req), waiter.ticket

    return sorted(waiters, key=order)


def grant_slot(
    board: PlacementBoard, queue: PlacementQueue, instance: Instance, now: timedelta
) -> Granted | None:
    """Grant a free slot of a backend server to a queued request, or return None."""
    service = instance.report.service
    waiters = queue.by_service.get(service)
    if not waiters:
        return None
    if can_start_run(board, instance, now):
        for waiter in sort_by_priority(board, waiters.values(), now):
            place = match_freed_slot(board, waiter.req, instance, waiter.instance, now)
            if place is not None:
                return grant_waiter(board, queue, waiter, place, now)
    if is_share_limited(board) and has_share_left(board, service, now):
        return grant_share(board, queue, service, now)
    return None


def grant_share(
    board: PlacementBoard, queue: PlacementQueue, service: str, now: timedelta
) -> Granted | None:
    """Grant a slot of any server to the first queued request of a service.

    The end of a run leaves a part of this VM's share that an arriving request would take otherwise.
    """
    waiter = sort_by_priority(board, queue.by_service[service].values(), now)[0]
    place = choose_placement(board, waiter.req, waiter.promised_s, now)
    if isinstance(place, LocalPlacement) and ends_in_time(board, waiter, place, now):
        return grant_waiter(board, queue, waiter, place, now)
    return None


def ends_in_time(board: PlacementBoard, waiter: Waiter, place: Placement, now: timedelta) -> bool:
    """Return True if the response is expected before the deadline."""
    match place:
        case NoPlacement():
            return False
        case LocalPlacement(cost_s=cost_s, run_s=run_s):
            # The cost of a server without any request so far is far below its run time.
            is_scarce = has_scarce_capacity(board, waiter.req.service)
            expected_s = max(cost_s, run_s) if is_scarce else cost_s
        case ForwardPlacement(cost_s=expected_s) | QueuedPlacement(cost_s=expected_s):
            pass
    return now + timedelta(seconds=expected_s) + RESPONSE_MARGIN <= waiter.req.deadline


def grant_waiter(
    board: PlacementBoard,
    queue: PlacementQueue,
    waiter: Waiter,
    place: LocalPlacement,
    now: timedelta,
) -> Granted:
    """Remove a request from the queue and return its grant."""
    remove_waiter(board, queue, waiter)
    count_decision(board, waiter, True, now)
    return Granted(waiter.ticket, place)


def review_waiters(
    board: PlacementBoard, queue: PlacementQueue, service: str, now: timedelta
) -> list[Granted | Refused]:
    """Decide again on the first queued requests and on those that can no longer be on time.

    All of them are decided again if all servers have asked for a pause.

    The caller applies the decisions one at a time, so each call returns at most one grant, after
    any refusals that precede it.
    """
    waiters = queue.by_service.get(service)
    if not waiters:
        return []
    decisions: list[Granted | Refused] = []
    has_paused = find_return_delay(board, service, now) is not None
    for number, waiter in enumerate(sort_by_priority(board, waiters.values(), now)):
        is_too_late = now + estimate_warm_run(board, waiter) > waiter.req.promised_at
        is_behind = number >= REVIEW_HEAD_COUNT and not has_paused
        if is_behind and (waiter.is_late or not is_too_late):
            continue
        # The request must not count as queued ahead of itself.
        bind_to_server(board, waiter, "")
        decision = decide_placement(board, queue, waiter, now)
        if decision is None:
            continue
        remove_waiter(board, queue, waiter)
        count_decision(board, waiter, isinstance(decision, Granted), now)
        decisions.append(decision)
        if isinstance(decision, Granted):
            break
    return decisions
