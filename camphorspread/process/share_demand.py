"""What this VM used and refused of each share, for the next renewal of shares."""

import attrs

from camphorspread.version.shares import ShareKey

__all__ = ["KeyDemand", "ShareDemand", "record_refused", "record_used", "take_demand"]


@attrs.frozen
class KeyDemand:
    """Demand for one share since the last renewal.

    Attributes:
        used: Largest use: requests in flight, or shifted requests within a second.
        refused: Requests refused, or made to wait, because the share was used up.
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
    """Count a request that the share didn't cover."""
    known = demand.keys.get(key, KeyDemand())
    demand.keys[key] = KeyDemand(known.used, known.refused + 1)


def take_demand(demand: ShareDemand) -> dict[ShareKey, KeyDemand]:
    """Return the demand since the last call and start anew."""
    taken, demand.keys = demand.keys, {}
    return taken
