"""State of one routed request, shared by the coroutines that serve it."""

from datetime import timedelta

import attrs

from camphorspread.request.dialect import SteeredCall
from camphorspread.request.placement_board import PlacementRequest
from camphorspread.request.send import RequestBody
from camphorspread.request.slot_use import SlotUse
from camphorspread.version.routing import Route

__all__ = ["RoutedRequest"]


@attrs.define(eq=False)
class RoutedRequest:
    """A caller's request while it is served.

    Attributes:
        call: The decoded request.
        route: Route of the request.
        req: Input of placement decisions.
        body: Body of the request.
        arrived: Time at which the head arrived.
        deadline: Time by which the final response must be sent.
        sends: Number of sends to backend servers.
        forwards: Number of forwards to other entry VMs.
        may_have_run: True once a backend server may have begun to run it.
        waited: Time from arrival until the first placement or the refusal.
        use: Use of the slots at that time, None before it.
        sent: When it was sent to a backend server or VM, for sends that may have run.
        trail: Attempts and their results, for the log.
    """

    call: SteeredCall
    route: Route
    req: PlacementRequest
    body: RequestBody
    arrived: timedelta
    deadline: timedelta
    sends: int = 0
    forwards: int = 0
    may_have_run: bool = False
    waited: timedelta | None = None
    use: SlotUse | None = None
    sent: list[timedelta] = attrs.field(factory=list)
    trail: list[str] = attrs.field(factory=list)
