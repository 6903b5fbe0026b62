"""Other entry VMs as one of them sees them."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address

__all__ = [
    "EntryVm",
    "ServiceLoad",
]


@attrs.define
class ServiceLoad:
    """What another entry VM says about its backend servers of one service.

    Attributes:
        free: Slots without a request.
        slots: All slots.
        queued: Requests that wait.
        mean_run_s: Mean time of a run in seconds.
    """

    free: int
    slots: int
    queued: int = 0
    mean_run_s: float = 0.3


@attrs.define(eq=False)
class EntryVm:
    """Another entry VM, as this one sees it.

    Attributes:
        vm: Name of the VM.
        incarnation: Random number of its process.
        availability_zone: Its availability zone.
        region: Its region.
        callers: Where it listens for callers.
        peers: Where it listens for the project's own processes.
        is_accepting: True if callers may be sent to it.
        is_leaving: True from the signal to stop on.
        caller_rate: Requests a second that it gets from callers.
        alive_until: Until when a control VM has vouched for it.
        first_alive: Since when it has been alive without a break.
        loads: Its backend servers by service, as of its newest summary.
        summary_at: When that summary arrived; None before the first one.
        round_trip_s: Measured time of a message and its response.
        suspended_until: Until when nothing is passed to it, after it didn't answer.
        warm_objects: Objects that its servers handled for requests passed from here.
        stamp: Instant in its newest summary, in its own form; it is sent back with the next one.
        lent_tag: Version of its list of lent servers that this VM holds.
        lent_count: Servers in that list.
        held_tag: Version of this VM's list of lent servers that it holds.
    """

    vm: str
    incarnation: int
    availability_zone: str
    region: str
    callers: Address
    peers: Address
    is_accepting: bool = True
    is_leaving: bool = False
    caller_rate: float = 0.0
    alive_until: timedelta = timedelta(0)
    first_alive: timedelta = timedelta(0)
    loads: dict[str, ServiceLoad] = attrs.field(factory=dict)
    summary_at: timedelta | None = None
    round_trip_s: float = 0.0
    suspended_until: timedelta = timedelta(0)
    warm_objects: OrderedDict[tuple[str, str], bool] = attrs.field(factory=OrderedDict)
    stamp: str = ""
    lent_tag: str = ""
    lent_count: int = 0
    held_tag: str = ""
