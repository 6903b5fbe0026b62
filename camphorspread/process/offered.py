"""Counts the requests that callers offer, per second and service."""

from collections import Counter
from datetime import timedelta

import attrs

__all__ = ["OfferedRates", "read_rates", "record_offered"]

SECOND = timedelta(seconds=1)


@attrs.define(eq=False)
class OfferedRates:
    """Request counts of the current and of the last complete second.

    Attributes:
        second: Number of the current second.
        current: Requests by service in the current second.
        last: Requests by service in the previous second.
    """

    second: int = 0
    current: Counter[str] = attrs.field(factory=Counter)
    last: Counter[str] = attrs.field(factory=Counter)


def record_offered(rates: OfferedRates, service: str, now: timedelta) -> None:
    """Count a request of a caller."""
    advance_second(rates, now)
    rates.current[service] += 1


def read_rates(rates: OfferedRates, now: timedelta) -> dict[str, int]:
    """Return the requests of the last complete second by service."""
    advance_second(rates, now)
    return dict(rates.last)


def advance_second(rates: OfferedRates, now: timedelta) -> None:
    """Start new counts if a new second has begun."""
    second = now // SECOND
    if second != rates.second:
        rates.last = rates.current if second == rates.second + 1 else Counter()
        rates.current = Counter()
        rates.second = second
