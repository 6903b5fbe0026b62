"""Settings of the processes that steer by routes: entry VMs and control VMs of one fleet."""

from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.settings import PlaceSettings

__all__ = [
    "CONNECT_TIMEOUT",
    "ControlVmSettings",
    "EntryVmSettings",
    "FleetBounds",
    "SteeringSettings",
]


# Three round trips between regions at 55 ms one way. The kernel sends a lost SYN again only after
# a second, so a retry or another placement comes first.
CONNECT_TIMEOUT = timedelta(milliseconds=350)
# The lease outlasts one missed announcement and one late one.
LEASE_INTERVALS = 3


@attrs.frozen
class FleetBounds:
    """Bounds on behaviour that the users of a deployment have agreed on.

    Attributes:
        lost_disks: Disks that may be lost simultaneously without losing an accepted change.
        announcement_interval: How often a backend server announces itself.
        contact_window: Time in contact after which the bounds apply to a VM.
        drain_limit: Time after which a leaving endpoint receives no more requests.
        stop_limit: Time from SIGTERM until the process is killed.
        retry_ratio: Repeated sends of a service for each of its requests, over the whole fleet.
        retry_window: Time over which repeated sends are counted.
        retry_slack: Repeated sends allowed in a window on top of the ratio.
        cold_rate_factor: Requests to a cold endpoint, as a multiple of what it tolerates.
        cold_rate_slack: Requests a second to a cold endpoint on top of that.
        lookup_ttl_limit: Longest time for which callers cache a lookup response.
        region_shift_limit: Fraction of a region's requests that may move to another region at once.
        quota_window: Time over which the requests of an organisation are counted.
        quota_overage: Fraction by which they may exceed the organisation's limit.
        quota_tolerance: Requests on top of that.
        revocation_limit: Time without contact to control VMs after which a VM accepts no keys, None
            for no limit.
    """

    lost_disks: int = 1
    announcement_interval: timedelta = timedelta(seconds=1.5)
    contact_window: timedelta = timedelta(seconds=4)
    drain_limit: timedelta = timedelta(seconds=2.5)
    stop_limit: timedelta = timedelta(seconds=6)
    retry_ratio: float = 0.2
    retry_window: timedelta = timedelta(seconds=10)
    retry_slack: int = 60
    cold_rate_factor: float = 1.5
    cold_rate_slack: float = 5.0
    lookup_ttl_limit: timedelta = timedelta(seconds=5)
    region_shift_limit: float = 0.15
    quota_window: timedelta = timedelta(seconds=5)
    quota_overage: float = 0.1
    quota_tolerance: int = 20
    revocation_limit: timedelta | None = None

    @property
    def announcement_lease(self) -> timedelta:
        """Time for which an announcement of a backend server is valid at an entry VM.

        A VM that was silent for this long sends nothing more to the servers that it knew.
        """
        return self.announcement_interval * LEASE_INTERVALS


@attrs.frozen
class EntryVmSettings:
    """Settings that only entry VMs have.

    Attributes:
        callers: Listener for callers.
        probes: Listener for readiness probes, which ask whether the VM accepts callers.
        max_sockets: Sockets that the process may have open.
        memory_bytes: Memory that the process may use; None if no limit is stated.
        scarce_services: Services with admission under scarce capacity where no organisations are
            configured.
    """

    callers: Address
    probes: Address
    max_sockets: int
    memory_bytes: int | None = None
    scarce_services: frozenset[str] = frozenset()


@attrs.frozen
class ControlVmSettings:
    """Settings that only control VMs have.

    Attributes:
        operators: Listener for operators and announcements.
        lookups: Listener for callers that ask which entry VMs to use; None without one.
        data_folder: Folder that stores the replicated catalogue.
        is_first_start: True when the whole fleet starts for the first time, with empty disks.
    """

    operators: Address
    lookups: Address | None
    data_folder: str
    is_first_start: bool


@attrs.frozen
class SteeringSettings:
    """Settings of one process.

    Attributes:
        place: Where the VM is.
        role: Settings that only this kind of VM has.
        peers: Listener for other processes of the fleet.
        seeds: Addresses of some control VMs, at which operators reach them.
        control_peer_port: Port at which control VMs listen for other processes of the fleet.
        metrics: Listener for metrics.
        regions: Region of each availability zone.
        bounds: Agreed bounds.
    """

    place: PlaceSettings
    role: EntryVmSettings | ControlVmSettings
    peers: Address
    seeds: tuple[Address, ...]
    control_peer_port: int
    metrics: Address
    regions: dict[str, str]
    bounds: FleetBounds = FleetBounds()
