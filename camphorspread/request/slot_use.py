"""Use of slots on which the placement of a request was based, for the log."""

from datetime import timedelta

import attrs

from camphorspread.request.placement_board import ForwardPlacement, PlacementBoard
from camphorspread.request.service_totals import find_totals

__all__ = ["SlotUse", "describe_use", "measure_use"]


@attrs.frozen
class SlotUse:
    """Use of the slots of a service, as fractions.

    Attributes:
        estimated: At the servers that this VM sends to, as estimated.
        known: At the same servers, by requests that this VM knows of.
        elsewhere: At the servers of the VM that the request is forwarded to, as it stated; None if
            it isn't forwarded.
    """

    estimated: float
    known: float
    elsewhere: float | None = None


def measure_use(board: PlacementBoard, service: str, place: object, now: timedelta) -> SlotUse:
    """Return the use of slots at the time of a placement or refusal.

    Args:
        board: State of servers and VMs.
        service: Name of the service.
        place: The placement or refusal.
        now: Current monotonic time.
    """
    totals = find_totals(board, service, now)
    elsewhere = None
    match place:
        case ForwardPlacement(peer=peer) if service in peer.loads:
            elsewhere = peer.loads[service].busy_fraction
    return SlotUse(totals.busy_fraction, totals.known_fraction, elsewhere)


def describe_use(use: SlotUse | None) -> dict[str, float] | None:
    """Return the use of slots as written to the log: rounded, without what isn't known."""
    if use is None:
        return None
    values = attrs.asdict(use)
    return {name: round(value, 2) for name, value in values.items() if value is not None}
