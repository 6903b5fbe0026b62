"""State on which placement decisions are based, and their results."""

from collections import OrderedDict
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance, InstanceRegistry, is_usable
from camphorspread.request.home_share import HomeShare
from camphorspread.request.queue_counts import Priority, QueueCounts
from camphorspread.request.region_shift import CapacityHistory, RegionShares
from camphorspread.request.return_booking import ReturnBooking
from camphorspread.request.run_distribution import RunDistribution
from camphorspread.request.service_fairness import ServiceFairness, is_underserved

__all__ = [
    "ForwardPlacement",
    "LocalPlacement",
    "NoPlacement",
    "Placement",
    "PlacementBoard",
    "PlacementRequest",
    "QueuedPlacement",
    "RunTimes",
    "ServiceTotals",
    "ServiceWork",
    "count_unseen_vms",
    "estimate_cold_surcharge_s",
    "find_counted_priority",
    "find_priority",
    "find_region",
    "find_run_times",
    "has_scarce_capacity",
    "usable_instances",
]

# Initial estimates, which measured run times replace: a run about an object that the server knows
# takes about a third of the time of another one, which takes most of the promised time.
INITIAL_WARM_FRACTION = 0.35
INITIAL_COLD_FRACTION = 0.9
MIN_MEASURED_RUNS = 5
# Initial estimate of the objects that a server keeps warm; it is adjusted from measured runs.
INITIAL_REMEMBERED = 64
# From this number of VMs on that share the servers of a region, each VM seldom gets a response, and
# with it the present load, from a single server.
MANY_SHARERS = 6


@attrs.define(eq=False)
class RunTimes:
    """Mean run times of one route at one service, in seconds.

    Attributes:
        warm_s: Mean over runs about an object that the server handled recently.
        cold_s: Mean over other runs.
        mean_s: Mean over all runs.
        remembered: Estimated number of objects that a server keeps warm.
        runs: Number of measured runs.
    """

    warm_s: float
    cold_s: float
    mean_s: float
    remembered: float = INITIAL_REMEMBERED
    runs: int = 0

    @property
    def is_measured(self) -> bool:
        """True if there are enough measured runs to refuse a request because of these times."""
        return self.runs >= MIN_MEASURED_RUNS


@attrs.frozen
class PlacementRequest:
    """A request as the input of a placement decision.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        object_key: Affinity key, empty if the request has none or the route has no affinity.
        rank: Priority under overload; 0 is the most urgent.
        promised_at: Time until which the response is on time.
        deadline: Time by which the final response must be sent.
        home_regions: Regions that may run the request, empty if all may.
        excluded: Backend servers and VMs at which earlier attempts failed.
        may_forward: False if the request was forwarded to this VM, so that it isn't forwarded
            again.
        organisation: Name of the caller's organisation, empty for none.
        organisation_rank: Priority of the organisation, which goes before `rank`.
    """

    service: str
    route: str
    object_key: str
    rank: int
    promised_at: timedelta
    deadline: timedelta
    home_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    may_forward: bool = True
    organisation: str = ""
    organisation_rank: int = 0


@attrs.define(eq=False)
class HomeCache:
    """Home VMs of the objects of one service.

    Attributes:
        near: Slots of the VMs of this region, for which the homes are valid.
        far: Slots of the VMs of other regions.
        homes: The home among each of them by object.
        valid_until: When the slots are to be compared again.
    """

    near: dict[str, float]
    far: dict[str, float]
    homes: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    valid_until: timedelta = timedelta(0)


@attrs.frozen
class ServiceTotals:
    """Totals over the usable servers of a service.

    Attributes:
        slots: Number of slots.
        busy_fraction: Estimated fraction of the slots in use.
        known_fraction: Fraction of the slots in use by requests that this VM knows of.
        own_requests: Requests of this VM in flight.
        limited_slots: Number of slots of servers that state a limit on their request rate.
        limited_rate: Requests per second that these servers take.
        lowest_failure_rate: Lowest failure rate among the servers.
        lenders: VMs that lend some of them.
        valid_until: When they are to be computed again.
        revision: Revision of the registry for which they are valid.
    """

    slots: int
    busy_fraction: float
    known_fraction: float
    own_requests: int
    limited_slots: int
    limited_rate: float
    lowest_failure_rate: float
    lenders: frozenset[str]
    valid_until: timedelta
    revision: int

    def find_usable_slots(self, run_s: float) -> float:
        """Return the slots that requests can use; a limit on the rate leaves some of them unused.

        Args:
            run_s: Mean run time in seconds.
        """
        return self.slots - self.limited_slots + min(self.limited_slots, self.limited_rate * run_s)


@attrs.define(eq=False)
class ServiceWork:
    """What is known about the runs of a service whose servers report the speed of their machines.

    Attributes:
        typical_speed: Median of the reported speeds, at least 1.
        speed_reports: Number of reports.
        speed_reported_at: When the newest one arrived.
        runs: Distributions of run times by (route, True for warm runs), least recent first.
    """

    typical_speed: float = 1.0
    speed_reports: int = 0
    speed_reported_at: timedelta = timedelta(0)
    runs: OrderedDict[tuple[str, bool], RunDistribution] = attrs.field(factory=OrderedDict)


@attrs.define(eq=False)
class PlacementBoard:
    """State of servers and VMs on which placement decisions are based.

    Attributes:
        vm: Name of this VM.
        availability_zone: Availability zone of this VM.
        region: Region of this VM.
        registry: Backend servers announced to this VM or lent by others.
        sharers: Number of entry VMs of this region, which share the slots of its servers.
        is_large_region: True if few VMs of another region see this VM's summaries.
        regions: Region of each availability zone.
        evacuated_zones: Availability zones whose backend servers are sent no requests.
        cold_rate_limits: Requests per second of all VMs that a cold server tolerates, by service.
        peers: Other entry VMs by name.
        run_times: Mean run times by (service, route).
        work: What is known about runs, by service; only for services whose servers report a speed.
        queued_per_server: Number of queued requests by the server that they wait for.
        queued_per_service: Number of queued requests that wait for a server, by service.
        has_organisations: True if the configuration has organisations, so that admission under
            scarce capacity is enabled for all services.
        scarce_services: Services for which the settings enable it without organisations.
        fairness: Recent decisions by organisation.
        return_bookings: Times at which refused callers are to return, by service.
        totals: Cached totals over the servers by service.
        rankings: Cached preference order of servers by (service, object key).
        rankings_revision: Revision of the registry for which `rankings` is valid.
        homes: Cached home VMs of objects by service.
        region_shares: Regions to which the requests of this VM's callers were sent.
        capacities: Recent maximum of the region's slots by service.
        home_shares: Share of the objects that the region keeps, by service that is scarce.
    """

    vm: str
    availability_zone: str
    region: str
    registry: InstanceRegistry
    sharers: int = 1
    is_large_region: bool = False
    regions: dict[str, str] = attrs.field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    cold_rate_limits: dict[str, float] = attrs.field(factory=dict)
    peers: dict[str, EntryVm] = attrs.field(factory=dict)
    run_times: dict[tuple[str, str], RunTimes] = attrs.field(factory=dict)
    work: dict[str, ServiceWork] = attrs.field(factory=dict)
    queued_per_server: QueueCounts = attrs.field(factory=dict)
    queued_per_service: QueueCounts = attrs.field(factory=dict)
    has_organisations: bool = False
    scarce_services: frozenset[str] = frozenset()
    fairness: ServiceFairness = attrs.field(factory=ServiceFairness)
    return_bookings: dict[str, ReturnBooking] = attrs.field(factory=dict)
    totals: dict[str, ServiceTotals] = attrs.field(factory=dict)
    rankings: dict[tuple[str, str], tuple[Instance, ...]] = attrs.field(factory=dict)
    rankings_revision: int = -1
    homes: dict[str, HomeCache] = attrs.field(factory=dict)
    region_shares: RegionShares = attrs.field(factory=RegionShares)
    capacities: dict[str, CapacityHistory] = attrs.field(factory=dict)
    home_shares: dict[str, HomeShare] = attrs.field(factory=dict)


@attrs.frozen(eq=False)
class LocalPlacement:
    """The request is sent to a backend server of this VM.

    Attributes:
        instance: The server.
        cost_s: Expected time until the response, lowered or raised to prefer other servers.
        is_warm: True if the server has handled the object for this VM.
        run_s: Expected run time, 0 if it wasn't estimated.
        route: Name of the route.
    """

    instance: Instance
    cost_s: float
    is_warm: bool
    run_s: float = 0.0
    route: str = ""


@attrs.frozen
class ForwardPlacement:
    """The request is forwarded to another entry VM."""

    peer: EntryVm
    cost_s: float


@attrs.frozen
class QueuedPlacement:
    """The request is queued at this VM.

    Attributes:
        instance: The server that it is expected to be sent to.
        cost_s: Expected time until the response.
        run_s: Expected run time, which is the part of `cost_s` after the wait.
    """

    instance: Instance
    cost_s: float
    run_s: float


@attrs.frozen
class NoPlacement:
    """No backend server is known that may run the request.

    Attributes:
        return_delay: Time until the first server returns if all of them have asked for a pause.
    """

    return_delay: timedelta | None = None


def has_scarce_capacity(board: PlacementBoard, service: str) -> bool:
    """Return True if admission under scarce capacity is enabled for a service."""
    return board.has_organisations or service in board.scarce_services


def find_priority(board: PlacementBoard, req: PlacementRequest) -> Priority:
    """Return the priority of a request in the queue."""
    rank = req.organisation_rank
    if has_scarce_capacity(board, req.service) and is_underserved(
        board.fairness, req.organisation, rank
    ):
        return 0, rank, req.rank
    return 1, rank, req.rank


def find_counted_priority(board: PlacementBoard, req: PlacementRequest) -> Priority | None:
    """Return the lowest priority that counts as ahead of a request, None if all queued ones do."""
    return find_priority(board, req) if has_scarce_capacity(board, req.service) else None


def count_unseen_vms(board: PlacementBoard) -> int:
    """Return the number of VMs that send to the same servers and whose load isn't known.

    Callers are spread over all VMs of a region, so that this VM's own load is an estimate of
    theirs.
    """
    return board.sharers - 1 if board.sharers >= MANY_SHARERS else 0


def estimate_cold_surcharge_s(cold_excess_s: float, busy_fraction: float) -> float:
    """Return the surcharge for a run that may be cold, in seconds.

    A cold run occupies its slot for longer, which matters once slots are scarce. Where the use of
    slots is estimated, the surcharge is the same at home and in another region; a difference would
    make regions exchange requests.

    Args:
        cold_excess_s: Expected time by which the run is longer than a warm one.
        busy_fraction: Fraction of the slots in use where it runs.
    """
    return cold_excess_s * busy_fraction**2


def find_region(board: PlacementBoard, place: "Placement") -> str:
    """Return the region in which a request with this placement runs, empty for none."""
    match place:
        case LocalPlacement(instance=instance) | QueuedPlacement(instance=instance):
            # A VM may own servers of another region after that region has lost its VMs.
            return board.regions.get(instance.report.availability_zone, board.region)
        case ForwardPlacement(peer=peer):
            return peer.region
        case NoPlacement():
            return ""


Placement = LocalPlacement | ForwardPlacement | QueuedPlacement | NoPlacement


def find_run_times(board: PlacementBoard, service: str, route: str, promised_s: float) -> RunTimes:
    """Return the mean run times of a route at a service.

    Before the first run of the route, they are copied from the route with the most runs at the
    service, or else derived from the promised time.
    """
    times = board.run_times.get((service, route))
    if times is None:
        others = [item for key, item in board.run_times.items() if key[0] == service and item.runs]
        if others:
            busiest = max(others, key=lambda item: item.runs)
            times = RunTimes(busiest.warm_s, busiest.cold_s, busiest.mean_s, busiest.remembered)
        else:
            cold = promised_s * INITIAL_COLD_FRACTION
            times = RunTimes(cold * INITIAL_WARM_FRACTION, cold, cold)
        board.run_times[(service, route)] = times
    return times


def usable_instances(board: PlacementBoard, service: str, now: timedelta) -> list[Instance]:
    """Return the backend servers of a service that may be sent requests."""
    return [
        item
        for item in board.registry.by_service.get(service, ())
        if is_usable(item, board.evacuated_zones, now)
    ]
