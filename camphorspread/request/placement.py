"""Where one request goes: to a backend server of this VM, to another entry VM, or into the queue.

The load pattern that this answers: many requests about few objects, on backend servers that run a
request about an object they handled recently several times faster. Waiting a moment for such a
server is then better, for the caller and for everybody else's slots, than a free one that isn't.
Each place gets a cost, the expected time until the response, and the lowest one is taken.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.instances import Instance, InstanceRegistry, is_usable
from camphorspread.request.rendezvous import order_by_rendezvous
from camphorspread.request.window import count_recent, record_event

__all__ = [
    "EntryVm",
    "Nowhere",
    "Pass",
    "Place",
    "PlacementBoard",
    "PlacementRequest",
    "RunTimes",
    "ServiceLoad",
    "Start",
    "Wait",
    "choose_place",
    "cold_limit",
    "end_run",
    "find_run_times",
    "fits_freed_slot",
    "has_room",
    "learn_pass",
    "start_run",
    "usable_instances",
]

# A run about an object that the server knows takes about a third of the time of another one;
# measured times replace this start.
FIRST_WARM_SHARE = 0.35
FIRST_COLD_SHARE = 0.9
ENOUGH_RUNS = 5
# Weight of the newest run in a mean.
RUN_WEIGHT = 0.08
FAILURE_WEIGHT = 0.2
# Objects that a server is first assumed to remember; the assumption follows what runs show.
FIRST_REMEMBERED = 64
FEWEST_REMEMBERED = 4
MOST_REMEMBERED = 4096
# Part of the objects that the servers of an object's home are assumed to know before a pass has
# shown it; requests about an object go to one home in each region so that they meet there.
HOME_WARM_PART = 0.7
FAR_HOME_WARM_PART = 0.4
# Bytes between regions are dear, so another region must be this much faster.
REGION_SURCHARGE_S = 0.03
ZONE_SURCHARGE_S = 0.004
# Prefers the stable order of an object among servers that are equally good.
ORDER_STEP_S = 0.002
BALANCE_S = 0.02
# A server whose part of failed runs is this much above the lowest one of its service, or whose runs
# take this many times as long, gets single requests as probes only.
FAILING = 0.35
SLOW = 3.0
# Runs of a server that takes this many times as long say nothing about the usual times.
UNUSUAL_SPEED = 1.7
# What a server that has had no request yet gains, so that its first one finds out what it can do.
UNTRIED_BONUS_S = 10.0
PROBE_INTERVAL = timedelta(seconds=1)
# A cold server takes about this many times as long.
COLD_FACTOR = 2.0
# A cold server may be owned by two VMs for a moment, so each keeps to less than half of the bound.
COLD_PART = 0.45
# A summary older than this says nothing about free slots.
SUMMARY_TTL = timedelta(seconds=3)


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
        alive_until: Until when a control VM has vouched for it.
        first_alive: Since when it has been alive without a break.
        loads: Its backend servers by service, as of its newest summary.
        summary_at: When that summary arrived; None before the first one.
        round_trip_s: Measured time of a message and its response.
        suspended_until: Until when nothing is passed to it, after it didn't answer.
        warm_objects: Objects that its servers handled for requests passed from here.
    """

    vm: str
    incarnation: int
    availability_zone: str
    region: str
    callers: Address
    peers: Address
    is_accepting: bool = True
    is_leaving: bool = False
    alive_until: timedelta = timedelta(0)
    first_alive: timedelta = timedelta(0)
    loads: dict[str, ServiceLoad] = attrs.field(factory=dict)
    summary_at: timedelta | None = None
    round_trip_s: float = 0.0
    suspended_until: timedelta = timedelta(0)
    warm_objects: OrderedDict[tuple[str, str], bool] = attrs.field(factory=OrderedDict)


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
        regions: Region of each availability zone.
        evacuated_zones: Availability zones whose backend servers get nothing.
        cold_bounds: Requests a second that a cold server of a service tolerates, from all VMs.
        peers: Other entry VMs by name.
        run_times: Mean times by (service, route).
        bound: Waiting requests by the server that they wait for.
        orders: Cached order of servers by (service, object key).
        orders_at: State of the registry that the cache belongs to.
        homes: Cached homes of objects by service, with the VMs and slots that they belong to.
    """

    vm: str
    availability_zone: str
    region: str
    registry: InstanceRegistry
    regions: dict[str, str] = attrs.field(factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    cold_bounds: dict[str, float] = attrs.field(factory=dict)
    peers: dict[str, EntryVm] = attrs.field(factory=dict)
    run_times: dict[tuple[str, str], RunTimes] = attrs.field(factory=dict)
    bound: Counter[str] = attrs.field(factory=Counter)
    orders: dict[tuple[str, str], dict[str, int]] = attrs.field(factory=dict)
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
    lease = board.registry.lease
    return [
        item
        for item in board.registry.by_service.get(service, ())
        if is_usable(item, board.evacuated_zones, lease, now)
    ]


def cold_limit(board: PlacementBoard, service: str) -> int:
    """Return how many requests a second this VM may send to a cold backend server."""
    return max(int(board.cold_bounds.get(service, 10.0) * COLD_PART), 1)


def find_order(board: PlacementBoard, service: str, key: str) -> dict[str, int]:
    """Return the rank of each server of a service for an object, the same on every VM."""
    if board.orders_at != board.registry.changes or len(board.orders) > 20_000:
        board.orders.clear()
        board.orders_at = board.registry.changes
    order = board.orders.get((service, key))
    if order is None:
        weights = {
            item.name: float(item.report.slots)
            for item in board.registry.by_service.get(service, ())
        }
        names = order_by_rendezvous(f"{service}/{key}", weights)
        order = board.orders[(service, key)] = {name: rank for rank, name in enumerate(names)}
    return order


def find_homes(
    board: PlacementBoard, service: str, key: str, slots: int, now: timedelta
) -> tuple[str, str]:
    """Return the VMs at which requests about an object should meet.

    Args:
        board: State of servers and VMs.
        service: Name of the service.
        key: The object.
        slots: Slots of this VM's servers.
        now: The present instant.

    Returns:
        Its home among the VMs of this region, and its home in the other regions; empty if none.
    """
    near = {board.vm: float(slots)}
    far: dict[str, float] = {}
    for peer in board.peers.values():
        load = peer.loads.get(service)
        if load is not None and load.slots and now < peer.alive_until:
            part = near if peer.region == board.region else far
            part[peer.vm] = float(load.slots)
    known = (service, tuple(near.items()), tuple(far.items()))
    cache = board.homes.get(service)
    if cache is None or cache[0] != known:
        cache = board.homes[service] = (known, {})
    homes = cache[1].get(key)
    if homes is None:
        homes = cache[1][key] = (
            order_by_rendezvous(f"{service}/{key}", near)[0],
            order_by_rendezvous(f"{service}/{key}", far)[0] if far else "",
        )
    return homes


def choose_place(
    board: PlacementBoard, req: PlacementRequest, promised_s: float, now: timedelta
) -> Place:
    """Return the place at which the response is expected first.

    Args:
        board: State of servers and VMs.
        req: The request.
        promised_s: Promised time of its route in seconds.
        now: The present instant.
    """
    times = find_run_times(board, req.service, req.route, promised_s)
    instances = usable_instances(board, req.service, now)
    places: list[Place] = list(local_places(board, req, times, instances, now))
    if req.may_pass and board.peers:
        places += peer_places(board, req, times, instances, now)
    if not places:
        return Nowhere()
    return min(places, key=lambda place: place.cost_s)


def local_places(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    instances: list[Instance],
    now: timedelta,
) -> Iterator[Start | Wait]:
    """Yield each backend server of this VM with its cost."""
    if not instances:
        return
    slots = used = waiting = 0
    fewest_failures = 1.0
    for item in instances:
        slots += item.report.slots
        used += item.in_flight
        waiting += board.bound.get(item.name, 0)
        fewest_failures = min(fewest_failures, item.failures)
    busy = used / slots
    order = find_order(board, req.service, req.object_key) if req.object_key else {}
    for item in instances:
        if item.name in req.excluded or not is_home(board, req, item):
            continue
        is_cold = item.is_cold(now)
        if is_cold and count_recent(item.cold_sends, now) >= cold_limit(board, req.service):
            continue
        is_failing = item.failures - fewest_failures >= FAILING
        is_probed = is_failing or item.speed >= SLOW
        if is_probed and (item.in_flight or now < item.probe_due):
            continue
        is_warm = req.object_key in item.warm_objects if req.object_key else False
        # A probe is chosen as if the server had recovered.
        run = (times.warm if is_warm else times.cold) * (1.0 if is_probed else item.speed)
        if is_cold:
            run *= COLD_FACTOR
        if not is_probed:
            run *= 1.0 + 2.0 * (item.failures - fewest_failures)
        cost = run + ORDER_STEP_S * order.get(item.name, 0)
        if not is_warm and req.object_key:
            # A slower run takes slots away from others, which matters once slots are scarce.
            cost += (times.cold - times.warm) * busy * busy
        if item.in_flight < item.report.slots:
            if not item.sends:
                cost -= UNTRIED_BONUS_S
            cost += BALANCE_S * item.in_flight / item.report.slots
            yield Start(item, cost, is_warm)
        else:
            ahead = (board.bound.get(item.name, 0) + 1) * times.mean / item.report.slots
            # Servers that are free take requests that wait for others, so the whole queue counts.
            all_ahead = (waiting + 1) * times.mean / slots
            yield Wait(item, cost + max(ahead, all_ahead), run)


def fits_freed_slot(
    board: PlacementBoard,
    req: PlacementRequest,
    instance: Instance,
    expected: str,
    now: timedelta,
) -> Start | None:
    """Return the place at a server that has a free slot again, if a waiting request should take it.

    This is the part of the choice that each end of a run needs, so it looks at one server only.

    Args:
        board: State of servers and VMs.
        req: The waiting request.
        instance: The server.
        expected: Name of the server that the request waits for.
        now: The present instant.
    """
    if instance.name in req.excluded or not is_home(board, req, instance):
        return None
    times = board.run_times[(req.service, req.route)]
    is_warm = req.object_key in instance.warm_objects
    if is_warm or not req.object_key or instance.name == expected:
        return Start(instance, times.warm if is_warm else times.cold, is_warm)
    other = board.registry.instances.get(expected)
    if other is None:
        return Start(instance, times.cold, False)
    wait_there = board.bound.get(expected, 0) * times.mean * other.speed / other.report.slots
    if wait_there + times.warm > times.cold * instance.speed:
        return Start(instance, times.cold, False)
    return None


def has_room(board: PlacementBoard, instance: Instance, now: timedelta) -> bool:
    """Return True if a request may start at a server now."""
    if not is_usable(instance, board.evacuated_zones, board.registry.lease, now):
        return False
    if instance.in_flight >= instance.report.slots or instance.speed >= SLOW:
        return False
    if not instance.is_cold(now):
        return True
    limit = cold_limit(board, instance.report.service)
    return count_recent(instance.cold_sends, now) < limit


def is_home(board: PlacementBoard, req: PlacementRequest, instance: Instance) -> bool:
    """Return True if a backend server is in a region that may run the request."""
    if not req.home_regions:
        return True
    # A VM may own servers of another region whose own VMs are lost.
    region = board.regions.get(instance.report.availability_zone, board.region)
    return region in req.home_regions


def peer_places(
    board: PlacementBoard,
    req: PlacementRequest,
    times: RunTimes,
    instances: list[Instance],
    now: timedelta,
) -> Iterator[Pass]:
    """Yield each other entry VM that has room, with its cost."""
    homes = ("", "")
    if req.object_key:
        slots = sum(item.report.slots for item in instances)
        homes = find_homes(board, req.service, req.object_key, slots, now)
    for peer in board.peers.values():
        if not may_pass_to(board, peer, req, now):
            continue
        load = peer.loads[req.service]
        warm = peer.warm_objects.get((req.service, req.object_key)) if req.object_key else None
        match warm:
            case True:
                warm_part = 1.0
            case None if peer.vm == homes[0]:
                warm_part = HOME_WARM_PART
            case None if peer.vm == homes[1]:
                warm_part = FAR_HOME_WARM_PART
            case _:
                warm_part = 0.0
        run = times.cold - (times.cold - times.warm) * warm_part
        cost = run + peer.round_trip_s
        if peer.region != board.region:
            cost += REGION_SURCHARGE_S
        elif peer.availability_zone != board.availability_zone:
            cost += ZONE_SURCHARGE_S
        if load.free <= 0:
            cost += (load.queued + 1 - load.free) * load.mean_run_s / max(load.slots, 1)
        yield Pass(peer, cost)


def may_pass_to(
    board: PlacementBoard, peer: EntryVm, req: PlacementRequest, now: timedelta
) -> bool:
    """Return True if a request may be passed to another entry VM."""
    load = peer.loads.get(req.service)
    if load is None or not load.slots or peer.vm in req.excluded:
        return False
    if peer.summary_at is None or now - peer.summary_at > SUMMARY_TTL:
        return False
    if now >= peer.alive_until or now < peer.suspended_until:
        return False
    return not req.home_regions or peer.region in req.home_regions


def start_run(instance: Instance, now: timedelta) -> None:
    """Count a request that is about to be sent to a backend server."""
    instance.in_flight += 1
    if instance.is_cold(now):
        record_event(instance.cold_sends, now)
    instance.sends += 1
    instance.probe_due = now + PROBE_INTERVAL


def end_run(
    board: PlacementBoard,
    instance: Instance,
    req: PlacementRequest,
    is_good: bool,
    run_s: float | None,
    now: timedelta,
) -> None:
    """Learn from a request that has ended.

    Args:
        board: State of servers and VMs.
        instance: The backend server that had it.
        req: The request.
        is_good: True if the server answered it as it should.
        run_s: Time from sending to the response; None if there was none.
        now: The present instant.
    """
    instance.in_flight -= 1
    target = 0.0 if is_good else 1.0
    instance.failures += (target - instance.failures) * FAILURE_WEIGHT
    times = board.run_times.get((req.service, req.route))
    if not is_good or run_s is None or times is None:
        return
    if instance.is_cold(now):
        return
    was_warm = req.object_key in instance.warm_objects
    learn_speed(instance, run_s / max(times.warm if was_warm else times.cold, 0.001))
    is_slow = instance.speed >= UNUSUAL_SPEED
    is_fast = run_s <= (times.warm + times.cold) / 2
    if not is_slow:
        learn_times(times, run_s, is_fast)
    if req.object_key:
        if was_warm and not is_fast and not is_slow:
            forget_oldest(times, instance, req.object_key)
        elif was_warm:
            times.remembered = min(times.remembered + 0.05, MOST_REMEMBERED)
        instance.warm_objects[req.object_key] = None
        instance.warm_objects.move_to_end(req.object_key)
        while len(instance.warm_objects) > int(times.remembered):
            instance.warm_objects.popitem(last=False)


def learn_speed(instance: Instance, ratio: float) -> None:
    """Take how long a run took relative to what was expected.

    The lowest of the newest ratios counts: a server that has forgotten some objects has slow runs
    among usual ones, a slow server has only slow ones.
    """
    instance.run_ratios.append(min(ratio, 20.0))
    if len(instance.run_ratios) == instance.run_ratios.maxlen:
        instance.speed = max(min(instance.run_ratios), 1.0)


def learn_times(times: RunTimes, run_s: float, is_fast: bool) -> None:
    """Move the mean times towards a run of a server of usual speed."""
    times.runs += 1
    times.mean += (min(run_s, 2 * times.cold) - times.mean) * RUN_WEIGHT
    if is_fast:
        times.warm += (run_s - times.warm) * RUN_WEIGHT
    else:
        times.cold += (min(run_s, 2 * times.cold) - times.cold) * RUN_WEIGHT


def forget_oldest(times: RunTimes, instance: Instance, key: str) -> None:
    """Lower the number of remembered objects after a server had forgotten one."""
    newer = 0
    for name in reversed(instance.warm_objects):
        if name == key:
            break
        newer += 1
    lower = max(newer, FEWEST_REMEMBERED)
    times.remembered += (min(lower, times.remembered) - times.remembered) * 0.1


def learn_pass(peer: EntryVm, req: PlacementRequest, is_fast: bool) -> None:
    """Remember whether another VM's servers know an object."""
    if not req.object_key:
        return
    key = (req.service, req.object_key)
    peer.warm_objects[key] = is_fast
    peer.warm_objects.move_to_end(key)
    while len(peer.warm_objects) > MOST_REMEMBERED:
        peer.warm_objects.popitem(last=False)
