"""Totals over the servers of a service, computed less often than requests are placed."""

from datetime import timedelta

from camphorspread.request.placement_board import (
    PlacementBoard,
    ServiceTotals,
    count_unseen_vms,
    usable_instances,
)

__all__ = ["find_totals"]

# With hundreds of servers, going over all of them costs more than the rest of a decision. Free
# slots of single servers are always current; these totals only weigh candidates.
TOTALS_TTL = timedelta(milliseconds=50)


def find_totals(board: PlacementBoard, service: str, now: timedelta) -> ServiceTotals:
    """Return the totals over the usable servers of a service.

    Args:
        board: State of servers and VMs.
        service: Name of the service.
        now: Current monotonic time.
    """
    totals = board.totals.get(service)
    if totals is None or now >= totals.valid_until or totals.revision != board.registry.revision:
        totals = board.totals[service] = add_up_totals(board, service, now)
    return totals


def add_up_totals(board: PlacementBoard, service: str, now: timedelta) -> ServiceTotals:
    """Compute the totals over the usable servers of a service in a single pass."""
    slots = used = own = limited_slots = 0
    limited_rate = 0.0
    lowest_failure_rate = 1.0
    lenders = set()
    for item in usable_instances(board, service, now):
        slots += item.report.slots
        used += item.count_busy(now)
        own += item.in_flight
        if item.stated.rate_limit is not None:
            limited_slots += item.report.slots
            limited_rate += item.stated.rate_limit
        lowest_failure_rate = min(lowest_failure_rate, item.failure_rate)
        lenders.add(item.lender)
    return ServiceTotals(
        slots,
        min(max(used, own * (1 + count_unseen_vms(board))) / max(slots, 1), 1.0),
        used / max(slots, 1),
        own,
        limited_slots,
        limited_rate,
        lowest_failure_rate,
        frozenset(lenders),
        now + TOTALS_TTL,
        board.registry.revision,
    )
