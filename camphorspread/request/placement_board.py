"""What the choice of a place depends on, and the places themselves."""

from collections import Counter
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import Instance, InstanceRegistry, is_usable

__all__ = [
    "Nowhere",
    "Pass",
    "Place",
    "PlacementBoard",
    "PlacementRequest",
    "RunTimes",
    "Start",
    "Wait",
    "find_run_times",
    "usable_instances",
]

# A run about an object that the server knows takes about a third of the time of another one;
# measured times replace this start.
FIRST_WARM_SHARE = 0.35
FIRST_COLD_SHARE = 0.9
ENOUGH_RUNS = 5
# Objects that a server is first assumed to remember; the assumption follows what runs show.
FIRST_REMEMBERED = 64


@attrs.define(eq=False)
class RunTimes:
    """Mean times of runs of one route at one service, in seconds.

    Attributes:
        warm: Of runs about an object that the server handled recently.
        cold: Of other runs.
        mean: Of all runs.
        remembered: Objects that a server is assumed to remember.
        runs: Runs that were measured.
    """

    warm: float
    cold: float
    mean: float
    remembered: float = FIRST_REMEMBERED
    runs: int = 0

    @property
    def is_measured(self) -> bool:
        """True if a request may be refused because of these times."""
        return self.runs >= ENOUGH_RUNS


@attrs.frozen
class PlacementRequest:
    """What the choice of a place needs to know of a request.

    Attributes:
        service: Service that it goes to.
        route: Name of its route.
        object_key: Object that it is about, empty if it names none or the route has no affinity.
        rank: Order under overload; 0 is the most urgent.
        promised_at: Instant until which its response counts as on time.
        deadline: Instant by which it must have its final response.
        home_regions: Regions that may run it; empty if all may.
        excluded: Backend servers and VMs that have failed it.
        may_pass: False if it was passed here, so that it isn't passed again.
    """

    service: str
    route: str
    object_key: str
    rank: int
    promised_at: timedelta
    deadline: timedelta
    home_regions: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    may_pass: bool = True


@attrs.define(eq=False)
class PlacementBoard:
    """Everything that the choice of places depends on.

    Attributes:
        vm: Name of this VM.
        availability_zone: Zone of this VM.
        region: Region of this VM.
        registry: Backend servers that announce themselves here.
        sharers: Entry VMs of this region, which all send to its servers.
        regions: Region of each availability zone.
        evacuated_zones: Availability zones whose backend servers get nothing.
        cold_bounds: Requests a second that a cold server of a service tolerates, from all VMs.
        peers: Other entry VMs by name.
        run_times: Mean times by (service, route).
        bound: Waiting requests by the server that they wait for.
        orders: Cached servers in the order for an object, by (service, object key).
        orders_at: State of the registry that the cache belongs to.
        homes: Cached homes of objects by service, with the VMs and slots that they belong to.
    """

    vm: str
    availability_zone: str
    region: str
    registry: InstanceRegistry
    sharers: int = 1
    regions: dict[str, str] = attrs.field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    cold_bounds: dict[str, float] = attrs.field(factory=dict)
    peers: dict[str, EntryVm] = attrs.field(factory=dict)
    run_times: dict[tuple[str, str], RunTimes] = attrs.field(factory=dict)
    bound: Counter[str] = attrs.field(factory=Counter)
    orders: dict[tuple[str, str], tuple[Instance, ...]] = attrs.field(factory=dict)
    orders_at: int = -1
    homes: dict[str, tuple[tuple, dict[str, tuple[str, str]]]] = attrs.field(factory=dict)


@attrs.frozen
class Start:
    """The request starts at a backend server of this VM."""

    instance: Instance
    cost_s: float
    is_warm: bool


@attrs.frozen
class Pass:
    """The request goes to another entry VM."""

    peer: EntryVm
    cost_s: float


@attrs.frozen
class Wait:
    """The request waits.

    Attributes:
        instance: The server that it is expected to get.
        cost_s: Expected time until the response.
        run_s: The part of it after the wait.
    """

    instance: Instance
    cost_s: float
    run_s: float


@attrs.frozen
class Nowhere:
    """No backend server of the service is known that may run the request."""


Place = Start | Pass | Wait | Nowhere


def find_run_times(board: PlacementBoard, service: str, route: str, promised_s: float) -> RunTimes:
    """Return the mean times of a route at a service.

    Before its first run they are those of the route that the service serves most, else they follow
    from what is promised.
    """
    times = board.run_times.get((service, route))
    if times is None:
        others = [item for key, item in board.run_times.items() if key[0] == service and item.runs]
        if others:
            model = max(others, key=lambda item: item.runs)
            times = RunTimes(model.warm, model.cold, model.mean, model.remembered)
        else:
            cold = promised_s * FIRST_COLD_SHARE
            times = RunTimes(cold * FIRST_WARM_SHARE, cold, cold)
        board.run_times[(service, route)] = times
    return times


def usable_instances(board: PlacementBoard, service: str, now: timedelta) -> list[Instance]:
    """Return the backend servers of a service that may get requests."""
    return [
        item
        for item in board.registry.by_service.get(service, ())
        if is_usable(item, board.evacuated_zones, now)
    ]
