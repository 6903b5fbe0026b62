"""Requests of callers in the last whole second, by service."""

from collections import Counter
from datetime import timedelta

import attrs

__all__ = ["OfferedRates", "read_rates", "record_offered"]

SECOND = timedelta(seconds=1)


@attrs.define(eq=False)
class OfferedRates:
    """Counts of the current and of the last whole second.

    Attributes:
        second: Number of the current second.
        current: Requests by service in the current second.
        last: Requests by service in the second before it.
    """

    second: int = 0
    current: Counter[str] = attrs.field(factory=Counter)
    last: Counter[str] = attrs.field(factory=Counter)


def record_offered(rates: OfferedRates, service: str, now: timedelta) -> None:
    """Count a request of a caller."""
    roll(rates, now)
    rates.current[service] += 1


def read_rates(rates: OfferedRates, now: timedelta) -> dict[str, int]:
    """Return requests a second by service."""
    roll(rates, now)
    return dict(rates.last)


def roll(rates: OfferedRates, now: timedelta) -> None:
    """Begin a new second where one has begun."""
    second = now // SECOND
    if second != rates.second:
        rates.last = rates.current if second == rates.second + 1 else Counter()
        rates.current = Counter()
        rates.second = second
