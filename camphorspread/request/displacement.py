"""Refusal of queued requests that an arriving, more urgent request makes late."""

from datetime import timedelta

from camphorspread.request.placement_board import (
    PlacementBoard,
    find_priority,
    find_run_times,
    has_scarce_capacity,
)
from camphorspread.request.placement_queue import (
    PlacementQueue,
    Refused,
    Waiter,
    count_decision,
    estimate_warm_run,
    may_queue_late,
    remove_waiter,
    sort_by_priority,
)
from camphorspread.request.queue_counts import Priority
from camphorspread.request.retry_time import suggest_retry_delay
from camphorspread.request.server_limit import MIN_SLOTS
from camphorspread.request.service_totals import find_totals

__all__ = ["refuse_displaced"]


def refuse_displaced(
    board: PlacementBoard, queue: PlacementQueue, arrived: Waiter, now: timedelta
) -> list[Refused]:
    """Remove the queued requests that a more urgent one makes late, and return their refusals.

    Refused early, their callers can still be served by a retry. The wait is estimated as on
    arrival: each request ahead occupies a slot of the service for its mean run time.

    Args:
        board: State of servers and VMs.
        queue: Queued requests, among them the more urgent one.
        arrived: The more urgent request, which has just been queued.
        now: Current monotonic time.
    """
    service = arrived.req.service
    if not has_scarce_capacity(board, service):
        return []
    priority = find_priority(board, arrived.req)
    if not any(other > priority for other in board.queued_per_service.get(service, ())):
        return []
    refused = []
    wait_s = 0.0
    for waiter in sort_by_priority(board, queue.by_service[service].values(), now):
        times = find_run_times(board, service, waiter.req.route, waiter.promised_s)
        slots = max(find_totals(board, service, now).find_usable_slots(times.mean_s), MIN_SLOTS)
        start_s = wait_s + times.mean_s / slots
        if may_stay(board, queue, waiter, priority, start_s, now):
            wait_s = start_s
            continue
        remove_waiter(board, queue, waiter)
        count_decision(board, waiter, False, now)
        delay = suggest_retry_delay(board, waiter.req, queue.count(service), now)
        refused.append(Refused(waiter.ticket, delay))
    return refused


def may_stay(
    board: PlacementBoard,
    queue: PlacementQueue,
    waiter: Waiter,
    priority: Priority,
    start_s: float,
    now: timedelta,
) -> bool:
    """Return True if a queued request may wait on although a more urgent one has arrived.

    Args:
        board: State of servers and VMs.
        queue: Queued requests.
        waiter: The queued request.
        priority: Priority of the one that has arrived.
        start_s: Expected time until the queued one gets a slot, in seconds.
        now: Current monotonic time.
    """
    if find_priority(board, waiter.req) <= priority:
        return True
    if waiter.is_late:
        return may_queue_late(board, queue, waiter, now)
    run = estimate_warm_run(board, waiter)
    return now + timedelta(seconds=start_s) + run <= waiter.req.promised_at
