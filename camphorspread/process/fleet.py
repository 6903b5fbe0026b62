"""View of the fleet's entry VMs on one VM."""

import enum
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address

__all__ = ["FleetView", "VmRecord", "VmState", "make_observed_record"]


class VmState(enum.Enum):
    """State of an entry VM as other VMs see it."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    LOST = "lost"


@attrs.frozen
class VmRecord:
    """One entry VM.

    Attributes:
        vm: Name of the VM.
        availability_zone: Its availability zone.
        region: Its region.
        callers: Where it listens for callers.
        peers: Where it listens for the project's own processes.
        incarnation: Identifies one run of its process; empty while unknown.
        state: State as seen by the VM that holds the record.
        uptime_s: Whole seconds since the start of its process, as last reported.
        free_slots: Free slots of live endpoints by service, as last reported.
        total_slots: Slots of live endpoints by service, as last reported.
        catalogue_version: Catalogue version in force there, as last reported.
        backend_servers: Where it listens for backend servers.
        offered_per_second: Requests of callers by service in the last second, as last reported.
        measured: When these figures were received, None before the first.
    """

    vm: str
    availability_zone: str
    region: str
    callers: Address
    peers: Address
    incarnation: str = ""
    state: VmState = VmState.ALIVE
    uptime_s: int = 0
    free_slots: dict[str, int] = attrs.field(factory=dict)
    total_slots: dict[str, int] = attrs.field(factory=dict)
    catalogue_version: int = 0
    backend_servers: Address | None = None
    offered_per_second: dict[str, int] = attrs.field(factory=dict)
    measured: timedelta | None = None


OBSERVED_FIELDS = frozenset({"state", "uptime_s", "measured"})
STATED_FIELDS = tuple(
    field.name for field in attrs.fields(VmRecord) if field.name not in OBSERVED_FIELDS
)


def make_observed_record(
    record: VmRecord, state: VmState, uptime_s: int, measured: timedelta | None
) -> VmRecord:
    """Return a copy of a record with state, uptime and age as observed by another VM.

    Each tick does this for all VMs of the fleet; `attrs.evolve` would take several times as long.
    """
    stated = {name: getattr(record, name) for name in STATED_FIELDS}
    return VmRecord(**stated, state=state, uptime_s=uptime_s, measured=measured)


@attrs.frozen
class FleetView:
    """All known entry VMs by name, and the name of this one."""

    own_vm: str
    vms: dict[str, VmRecord]

    @property
    def own(self) -> VmRecord:
        """The record of this VM."""
        return self.vms[self.own_vm]

    def list_alive(self) -> list[VmRecord]:
        """Return the VMs that lookups may name, sorted by name."""
        return [self.vms[vm] for vm in sorted(self.vms) if self.vms[vm].state is VmState.ALIVE]
