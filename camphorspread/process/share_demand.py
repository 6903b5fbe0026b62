"""Tracks the demand for each share on this VM, for the next renewal of shares."""

import attrs

from camphorspread.version.shares import ShareKey

__all__ = ["KeyDemand", "ShareDemand", "pop_demand", "record_refused", "record_used"]


@attrs.frozen
class KeyDemand:
    """Demand for one share since the last renewal.

    Attributes:
        used: Peak use: requests in flight, or shifted requests within a second.
        refused: Requests refused or queued because the share was exhausted.
    """

    used: int = 0
    refused: int = 0


@attrs.define(eq=False)
class ShareDemand:
    """Demand by share."""

    keys: dict[ShareKey, KeyDemand] = attrs.field(factory=dict)


def record_used(demand: ShareDemand, key: ShareKey, used: int) -> None:
    """Record the current use of a share."""
    known = demand.keys.get(key)
    if known is None:
        demand.keys[key] = KeyDemand(used)
    elif used > known.used:
        demand.keys[key] = KeyDemand(used, known.refused)


def record_refused(demand: ShareDemand, key: ShareKey) -> None:
    """Count a request that exceeded the share."""
    known = demand.keys.get(key, KeyDemand())
    demand.keys[key] = KeyDemand(known.used, known.refused + 1)


def pop_demand(demand: ShareDemand) -> dict[ShareKey, KeyDemand]:
    """Return the demand since the last call and reset it."""
    collected, demand.keys = demand.keys, {}
    return collected
