"""A request on its way: what its shells share."""

from datetime import timedelta

import attrs

from camphorspread.request.dialect import SteeredCall
from camphorspread.request.placement_board import PlacementRequest
from camphorspread.request.send import RequestBody
from camphorspread.version.routing import Route

__all__ = ["SteeredRequest"]


@attrs.define(eq=False)
class SteeredRequest:
    """A caller's request on its way.

    Attributes:
        call: The decoded request.
        route: Its route.
        req: What the choice of places needs to know.
        body: Its body.
        arrived: When its head had arrived.
        deadline: Until when it must have its final response.
        sends: Backend servers that it was sent to.
        passes: Other entry VMs that it was passed to.
        may_have_run: True once a backend server may have begun to work on it.
        waited: Time from its arrival until it got its first place or was refused.
        trail: What happened, for the log.
    """

    call: SteeredCall
    route: Route
    req: PlacementRequest
    body: RequestBody
    arrived: timedelta
    deadline: timedelta
    sends: int = 0
    passes: int = 0
    may_have_run: bool = False
    waited: timedelta | None = None
    trail: list[str] = attrs.field(factory=list)
