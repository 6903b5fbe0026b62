"""Expected waits for a slot of a backend server."""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.loans import max_requests_per_vm
from camphorspread.request.placement_board import (
    PlacementBoard,
    RunTimes,
    ServiceTotals,
    count_unseen_vms,
)
from camphorspread.request.queue_counts import Priority, count_ahead
from camphorspread.request.remaining_work import estimate_slot_wait_s
from camphorspread.request.server_limit import (
    MIN_SLOTS,
    estimate_limit_wait_s,
    find_usable_slots,
)

__all__ = ["estimate_hidden_wait_s", "estimate_wait_s"]


def estimate_hidden_wait_s(board: PlacementBoard, times: RunTimes, totals: ServiceTotals) -> float:
    """Return the expected wait in the queue of a server that seems to have a free slot, in seconds.

    The requests of VMs whose load isn't known are assumed to be as many as those of this VM.
    """
    unseen = count_unseen_vms(board)
    if not unseen:
        return 0.0
    load = totals.own_requests * (1 + unseen) / max(totals.slots, 1)
    return max(load - 1.0, 0.0) * times.mean_s


def estimate_wait_s(
    board: PlacementBoard,
    item: Instance,
    times: RunTimes,
    totals: ServiceTotals,
    priority: Priority | None,
    ahead: int,
    now: timedelta,
) -> float:
    """Return the expected wait for a server without a free slot, in seconds.

    Args:
        board: State of servers and VMs.
        item: The server.
        times: Mean run times of the route.
        totals: Totals over the servers of the service.
        priority: Priority up to which queued requests are served before, None for all.
        ahead: Number of these requests that wait for any server of the service.
        now: Current monotonic time.
    """
    queued = count_ahead(board.queued_per_server, item.name, priority)
    work = board.work.get(item.report.service)
    if work is None:
        wait_here_s = (queued + 1) * times.mean_s / item.report.slots
    else:
        most = max_requests_per_vm(item.report.slots, board.sharers)
        wait_here_s = estimate_slot_wait_s(work, item, times.mean_s, most, queued, now)
    wait_here_s = max(wait_here_s, estimate_limit_wait_s(item, queued, now))
    # A freed slot may go to a request that waits for another server, so the whole queue counts.
    # The totals may be older than the server's lease or loan.
    slots = max(
        totals.find_usable_slots(times.mean_s), find_usable_slots(item, times.mean_s), MIN_SLOTS
    )
    wait_any_s = (ahead + 1) * times.mean_s / slots
    return max(wait_here_s, wait_any_s)
