"""What an entry VM knows about the other entry VMs."""

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
    """Load that another entry VM reports for its backend servers of one service.

    Attributes:
        free: Unused slots.
        slots: All slots.
        queued: Requests that wait for a slot.
        mean_run_s: Mean time of a warm run in seconds.
    """

    free: int
    slots: int
    queued: int = 0
    mean_run_s: float = 0.3

    @property
    def busy_fraction(self) -> float:
        """Fraction of the slots in use."""
        return min(max(1.0 - self.free / max(self.slots, 1), 0.0), 1.0)


@attrs.define(eq=False)
class EntryVm:
    """Another entry VM.

    Attributes:
        vm: Name of the VM.
        incarnation: Random number of its process.
        availability_zone: Its availability zone.
        region: Its region.
        callers: Where it listens for callers.
        peers: Where it listens for the project's own processes.
        is_accepting: True if callers may be directed to it.
        is_leaving: True once it has received the signal to stop.
        caller_rate: Requests per second that it receives from callers.
        alive_until: Until when it counts as alive, as a control VM last stated.
        first_alive: Since when it has been alive without interruption.
        loads: Load of its backend servers by service, from its newest summary.
        summary_at: When that summary arrived, None before the first one.
        round_trip_s: Moving average of the round-trip time, measured by the VM that begins the
            exchanges; 0 before the first value.
        is_round_trip_measured: True if this VM has measured it, False if the other one stated it.
        suspended_until: Until when no request is forwarded to it, after it didn't respond.
        warm_objects: Objects that its servers handled for requests forwarded by this VM.
        peer_timestamp: Timestamp from its newest summary; the next summary to it echoes this
            unchanged.
        peer_list_version: Version of its list of lent servers, as held by this VM.
        peer_list_length: Number of servers in that list.
        own_list_version: Version of this VM's list of lent servers, as held by the other VM.
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
    is_round_trip_measured: bool = False
    suspended_until: timedelta = timedelta(0)
    warm_objects: OrderedDict[tuple[str, str], bool] = attrs.field(factory=OrderedDict)
    peer_timestamp: str = ""
    peer_list_version: str = ""
    peer_list_length: int = 0
    own_list_version: str = ""
