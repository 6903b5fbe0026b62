"""Times after which refused callers are to return, spread so that they find free capacity.

A caller returns once, on a new connection and with a new request, so that it can't be recognised.
Refused in the same moment with the same time, callers would return together and be refused again.
Each refusal therefore books the next moment at which the service frees a slot that arriving
requests leave unused. While they use all of them, callers are to return as late as they do at all.
"""

import math
from datetime import timedelta

import attrs

__all__ = ["HONOURED_FRACTION", "ReturnBooking", "book_return", "count_arrival"]

# A caller honours a suggested time up to this fraction of the time that it has left.
HONOURED_FRACTION = 1 / 3
# Once the bookings extend beyond what a caller honours, its return is put into this last fraction
# of the time. In bursts of 5 s at 2.5 times the capacity, a larger one served fewer callers.
# Consecutive multiples of the golden ratio spread any number of returns evenly.
LATE_FRACTION = 0.2
GOLDEN_RATIO = 0.6180339887498949
# Longest distance of two bookings, in intervals of freed slots; at 99.9 percent use it was 50 s.
MAX_INTERVALS = 10
# Arrivals are weighted by their age with this time constant.
ARRIVAL_DECAY_S = 0.5


@attrs.define(eq=False)
class ReturnBooking:
    """Booked returns to one service.

    Attributes:
        next_at: When the next caller is to return; bookings in the past need no cleaning up.
        late_returns: Number of returns that were booked for the last part of the time.
        arrivals: Number of arrived requests, weighted by age.
        counted_at: When the weights were last updated.
    """

    next_at: timedelta = timedelta(0)
    late_returns: int = 0
    arrivals: float = 0.0
    counted_at: timedelta = timedelta(0)


def count_arrival(booking: ReturnBooking, now: timedelta) -> None:
    """Count an arriving request of the service."""
    age_s = (now - booking.counted_at).total_seconds()
    booking.arrivals = booking.arrivals * math.exp(-age_s / ARRIVAL_DECAY_S) + 1.0
    booking.counted_at = now


def book_return(
    booking: ReturnBooking,
    earliest: timedelta,
    interval: timedelta,
    left: timedelta,
    now: timedelta,
) -> timedelta:
    """Return the delay after which a refused caller is to return.

    Args:
        booking: Booked returns to the service; updated in place.
        earliest: When the backlog is expected to have cleared, from now.
        interval: Time in which the service frees a slot for this VM.
        left: Time left until the caller's deadline.
        now: Current monotonic time.

    Examples:
        >>> booking, second = ReturnBooking(), timedelta(seconds=1)
        >>> delays = [book_return(booking, second, second, 6 * second, second) for _ in range(3)]
        >>> [round(delay.total_seconds(), 3) for delay in delays]
        [1.0, 2.0, 1.847]
    """
    # Fraction of the freed slots that arriving requests use.
    used = booking.arrivals / ARRIVAL_DECAY_S * interval.total_seconds()
    latest = max(left, timedelta(0)) * HONOURED_FRACTION
    at = max(now + earliest, booking.next_at)
    if used < 1.0 and at <= now + latest:
        # The use is a snapshot: near full use, one refusal must not delay all later returns.
        booking.next_at = at + min(interval / (1.0 - used), MAX_INTERVALS * interval)
        return at - now
    booking.late_returns += 1
    part = booking.late_returns * GOLDEN_RATIO % 1.0
    return latest * (1.0 - LATE_FRACTION * (1.0 - part))
