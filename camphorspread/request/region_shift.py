"""Limits how fast the requests of this VM's callers move from one region to another.

It is designed for load that outgrows a region for a short time: at the start of traffic no server
has handled any object yet, so the servers of a small region are full, and seconds later they are
several times faster. Without a limit, a third of the region's requests would leave and return
within seconds, each time to servers that are cold for them.

Each VM limits the requests of its own callers, so the requests of a region, which are the sum, stay
within the limit too. Regions and their requests are compared over two consecutive windows that end
now. The limit isn't applied to requests that leave a region that has just lost servers.
"""

from collections import Counter, deque
from datetime import timedelta

import attrs

__all__ = [
    "HARD_LIMIT_FRACTION",
    "SOFT_LIMIT_FRACTION",
    "CapacityHistory",
    "RegionShares",
    "has_lost_capacity",
    "is_shift_allowed",
    "record_region",
]

# The agreed limit holds for two consecutive windows of this length.
WINDOW = timedelta(seconds=2)
BUCKETS_PER_WINDOW = 8
BUCKET = WINDOW / BUCKETS_PER_WINDOW
# Above the lower fraction of the agreed limit, a request runs where it doesn't shift if it is on
# time there; above the upper one, in any case. The rest covers requests that fail or are repeated.
SOFT_LIMIT_FRACTION = 0.65
HARD_LIMIT_FRACTION = 0.8
# A region has lost capacity if its slots are below this fraction of their recent maximum.
LOST_CAPACITY_FRACTION = 0.85
CAPACITY_MEMORY = timedelta(seconds=10)


@attrs.define(eq=False)
class RegionShares:
    """Requests of this VM's callers by the region that they were sent to.

    Attributes:
        limit: Fraction of the requests that may change their region from one window to the next;
            1.0 for no limit.
        buckets: Requests in short intervals, the newest last.
        newest: Number of the newest interval.
        recent: Requests in the newest window.
        earlier: Requests in the window before it.
    """

    limit: float = 1.0
    buckets: deque[Counter[str]] = attrs.field(
        factory=lambda: deque(Counter() for _ in range(2 * BUCKETS_PER_WINDOW))
    )
    newest: int = 0
    recent: Counter[str] = attrs.field(factory=Counter)
    earlier: Counter[str] = attrs.field(factory=Counter)

    def advance(self, now: timedelta) -> None:
        """Drop the intervals that have passed."""
        number = now // BUCKET
        if number - self.newest > len(self.buckets):
            self.buckets = deque(Counter() for _ in self.buckets)
            self.recent.clear()
            self.earlier.clear()
            self.newest = number
        while self.newest < number:
            self.newest += 1
            self.earlier -= self.buckets.popleft()
            passed = self.buckets[BUCKETS_PER_WINDOW - 1]
            self.earlier += passed
            self.recent -= passed
            self.buckets.append(Counter())


def record_region(shares: RegionShares, region: str, now: timedelta) -> None:
    """Record that a request was sent to a region."""
    shares.advance(now)
    shares.buckets[-1][region] += 1
    shares.recent[region] += 1


def is_shift_allowed(shares: RegionShares, region: str, fraction: float, now: timedelta) -> bool:
    """Return True if one more request may be sent to a region within the limit.

    Before there are requests in both windows, nothing can have shifted.

    Args:
        shares: Requests by region.
        region: The region.
        fraction: Fraction of the limit that may be used.
        now: Current monotonic time.
    """
    shares.advance(now)
    earlier = shares.earlier.total()
    if not earlier:
        return True
    scale = (shares.recent.total() + 1) / earlier
    if shares.recent[region] < shares.earlier[region] * scale:
        return True
    moved = 1.0 + sum(
        max(count - shares.earlier[other] * scale, 0.0) for other, count in shares.recent.items()
    )
    # Where few requests are sent, a single one may exceed the limit.
    return moved <= max(fraction * shares.limit * (shares.recent.total() + 1), 1.0)


@attrs.define(eq=False)
class CapacityHistory:
    """Recent maximum of the slots of a service.

    Attributes:
        slots: The maximum.
        seen_at: When there were that many slots.
    """

    slots: int = 0
    seen_at: timedelta = timedelta(0)


def has_lost_capacity(history: CapacityHistory, slots: int, now: timedelta) -> bool:
    """Return True if a service has far fewer slots than a short time ago.

    Args:
        history: Recent maximum, which this function updates.
        slots: Slots of the service's usable servers.
        now: Current monotonic time.
    """
    if slots >= history.slots or now - history.seen_at > CAPACITY_MEMORY:
        history.slots, history.seen_at = slots, now
    elif slots >= LOST_CAPACITY_FRACTION * history.slots:
        history.seen_at = now
    return slots < LOST_CAPACITY_FRACTION * history.slots
