"""Times after which refused callers are to return."""

from datetime import timedelta

from camphorspread.request.placement_board import (
    PlacementBoard,
    PlacementRequest,
    count_unseen_vms,
    has_scarce_capacity,
)
from camphorspread.request.return_booking import ReturnBooking, book_return
from camphorspread.request.server_limit import MIN_SLOTS
from camphorspread.request.service_totals import find_totals

__all__ = ["NO_SERVER_RETRY_DELAY", "find_booking", "suggest_retry_delay"]

MIN_RETRY_DELAY = timedelta(milliseconds=150)
MAX_RETRY_DELAY = timedelta(seconds=2)
# A service without servers may get one with the next announcements.
NO_SERVER_RETRY_DELAY = timedelta(seconds=1)


def suggest_retry_delay(
    board: PlacementBoard, req: PlacementRequest, queued: int, now: timedelta
) -> timedelta:
    """Return the time after which a refused caller is to return.

    It is the time after which the backlog of the service is expected to have cleared. Under scarce
    capacity, each next caller gets a later time.

    Args:
        board: State of servers and VMs.
        req: The refused request.
        queued: Number of queued requests of its service.
        now: Current monotonic time.
    """
    totals = find_totals(board, req.service, now)
    times = board.run_times.get((req.service, req.route))
    if not totals.slots or times is None:
        return NO_SERVER_RETRY_DELAY
    vms = 1 + count_unseen_vms(board)
    backlog = queued * vms + totals.slots / 2
    usable = max(totals.find_usable_slots(times.warm_s), MIN_SLOTS)
    expected = timedelta(seconds=backlog * times.warm_s / usable)
    expected = min(max(expected, MIN_RETRY_DELAY), MAX_RETRY_DELAY)
    if not has_scarce_capacity(board, req.service):
        return expected
    interval = timedelta(seconds=times.mean_s * vms / usable)
    booking = find_booking(board, req.service)
    return book_return(booking, expected, interval, req.deadline - now, now)


def find_booking(board: PlacementBoard, service: str) -> ReturnBooking:
    """Return the booked returns to a service."""
    booking = board.return_bookings.get(service)
    if booking is None:
        booking = board.return_bookings[service] = ReturnBooking()
    return booking
