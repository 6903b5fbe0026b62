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
    remove_waiter,
    sort_by_priority,
    suggest_retry_delay,
)
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
    priority = find_priority(arrived.req)
    if not any(other > priority for other in board.queued_per_service.get(service, ())):
        return []
    refused = []
    wait_s = 0.0
    for waiter in sort_by_priority(board, queue.by_service[service].values(), now):
        times = find_run_times(board, service, waiter.req.route, waiter.promised_s)
        slots = max(find_totals(board, service, now).find_usable_slots(times.mean_s), MIN_SLOTS)
        start_s = wait_s + times.mean_s / slots
        if waiter.is_late or find_priority(waiter.req) <= priority:
            wait_s = start_s
        elif now + timedelta(seconds=start_s + times.warm_s) > waiter.req.promised_at:
            remove_waiter(board, queue, waiter)
            delay = suggest_retry_delay(board, queue, waiter.req, now)
            refused.append(Refused(waiter.ticket, delay))
        else:
            wait_s = start_s
    return refused
