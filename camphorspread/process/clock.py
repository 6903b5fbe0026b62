"""The clock interface and its two implementations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "SystemClock", "unix_ms"]


class Clock(Protocol):
    """Source of instants."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""

    def wall_time(self) -> datetime:
        """Return the date and time in UTC; it may jump, and differs between VMs."""


@attrs.frozen
class SystemClock:
    """The clock of the machine.

    It includes the time for which the machine was suspended, so that a lease that ended for others
    meanwhile has also ended here.
    """

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""
        return timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)

    def wall_time(self) -> datetime:
        """Return the date and time in UTC."""
        return datetime.now(UTC)


@attrs.define
class ManualClock:
    """A clock that only `advance` moves, for tests.

    Examples:
        >>> clock = ManualClock()
        >>> clock.advance(timedelta(seconds=2))
        >>> clock.monotonic()
        datetime.timedelta(seconds=2)
    """

    elapsed: timedelta = timedelta(0)
    start: datetime = datetime(2026, 1, 1, tzinfo=UTC)

    def monotonic(self) -> timedelta:
        """Return the sum of all durations given to `advance`."""
        return self.elapsed

    def wall_time(self) -> datetime:
        """Return the start plus the elapsed time."""
        return self.start + self.elapsed

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward."""
        self.elapsed += duration


def unix_ms(clock: Clock) -> int:
    """Return the date and time in Unix milliseconds."""
    return int(clock.wall_time().timestamp() * 1000)
