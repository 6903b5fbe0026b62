"""Sliding window counters of recent events, in buckets of fixed width."""

from collections import deque
from datetime import timedelta

import attrs

__all__ = ["SlidingWindow", "count_recent", "record_event", "try_acquire"]

DEFAULT_BUCKET_WIDTH = timedelta(milliseconds=100)
DEFAULT_BUCKETS = 10


@attrs.define
class Bucket:
    """Events of one bucket, numbered from the origin of the clock."""

    number: int
    count: int


@attrs.define(eq=False)
class SlidingWindow:
    """Counts of the current bucket and of the complete buckets before it.

    The current bucket is kept in addition to the complete ones, so that every event within any
    interval of `width * buckets` is counted.

    Attributes:
        width: Width of a bucket.
        buckets: Number of complete buckets before the current one.
    """

    width: timedelta = DEFAULT_BUCKET_WIDTH
    buckets: int = DEFAULT_BUCKETS
    recent: deque[Bucket] = attrs.field(factory=deque)


def count_recent(window: SlidingWindow, now: timedelta) -> int:
    """Return an upper bound of the events within the last `width * buckets`."""
    oldest = now // window.width - window.buckets
    while window.recent and window.recent[0].number < oldest:
        window.recent.popleft()
    return sum(bucket.count for bucket in window.recent)


def record_event(window: SlidingWindow, now: timedelta, amount: int = 1) -> None:
    """Count one event, or an amount such as bytes."""
    number = now // window.width
    if window.recent and window.recent[-1].number == number:
        window.recent[-1].count += amount
    else:
        window.recent.append(Bucket(number, amount))


def try_acquire(window: SlidingWindow, now: timedelta, share: int, amount: int = 1) -> bool:
    """Count one event, or an amount, if the share allows it.

    Examples:
        >>> window = SlidingWindow()
        >>> [try_acquire(window, timedelta(0), 2) for _ in range(3)]
        [True, True, False]
    """
    if count_recent(window, now) + amount > share:
        return False
    record_event(window, now, amount)
    return True
