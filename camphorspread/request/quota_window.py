"""Counts of a sliding window in which an event may be recorded late, at the time of its cause."""

from datetime import timedelta

import attrs

__all__ = ["QuotaWindow", "count_latest", "count_window", "record_at"]

BUCKETS = 50


@attrs.define(eq=False)
class QuotaWindow:
    """Counts by bucket, with their sum; the bucket before the window is counted completely.

    Attributes:
        window: Length of the window.
        buckets: Number of buckets in it.
        counts: Counts by number of the bucket.
        total: Their sum.
        oldest: Buckets before this one have been removed.
    """

    window: timedelta
    buckets: int = BUCKETS
    counts: dict[int, int] = attrs.field(factory=dict)
    total: int = 0
    oldest: int = 0

    @property
    def width(self) -> timedelta:
        """Width of a bucket."""
        return self.window / self.buckets


def count_window(window: QuotaWindow, now: timedelta) -> int:
    """Return an upper bound of the events in the last window."""
    oldest = now // window.width - window.buckets
    if oldest > window.oldest:
        window.oldest = oldest
        for number in [item for item in window.counts if item < oldest]:
            window.total -= window.counts.pop(number)
    return window.total


def count_latest(window: QuotaWindow, now: timedelta, time: timedelta) -> int:
    """Return the events in the last buckets, which cover a time less than the window."""
    latest = now // window.width
    first = latest - time // window.width + 1
    return sum(window.counts.get(number, 0) for number in range(first, latest + 1))


def record_at(window: QuotaWindow, at: timedelta) -> None:
    """Count an event at its time, unless that is before the window."""
    number = at // window.width
    if number >= window.oldest:
        window.counts[number] = window.counts.get(number, 0) + 1
        window.total += 1
