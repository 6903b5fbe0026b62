"""Steps for bodies that break off, and for servers and VMs that fail while they receive one."""

import asyncio
import random
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.connection.network import Address
from camphorspread.process.steering_node import stop_gracefully
from features.fixtures.body_faults import (
    EndConnection,
    ReadLate,
    RespondFirst,
    WriteOther,
)
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    FRONT_PORT,
    find_zone,
    get_delay_s,
    make_configuration,
    make_route,
)
from features.fixtures.upload_callers import (
    ActMidway,
    InvalidChunk,
    LeaveAfterBody,
    LeaveMidway,
    PauseMidway,
    SendAll,
    find_faults,
    make_upload,
    send_upload,
)

PATHS = {"/file/x": "filing", "/read/x": "status"}
# More than the part of a body that an entry VM buffers.
MIN_SIZE, MAX_SIZE = 160_000, 220_000
SMALL_SIZE = 1000
LIMIT_S = 25
SETTLE_S = 3
# One-way delay that a region is farther, so that warm servers there don't outweigh it, and the time
# until both VMs of each pair have measured it.
FARTHER_S = 0.15
MEASURING_S = 8
SUCCESS_HEAD = ResponseHead(200)
REFUSAL_HEAD = ResponseHead(503, ((b"not-executed", b"1"),))
STOPPING_TIME = timedelta(milliseconds=-1)


def list_entries(context, region):
    """Return the entry VMs of a region by name."""
    return {
        name: node
        for name, node in context.fleet.entries.items()
        if name.startswith(f"front-{region}")
    }


def list_endpoints(context, region=""):
    """Return the endpoints of a region, or of all."""
    return [item for item in context.fleet.endpoints.values() if item.zone.startswith(region)]


def upload_all(
    context, make_behaviour, seed, size=None, count=2, zone="sofia-a", settle_s=SETTLE_S, **fields
):
    """Send uploads in each framing on each route at once, and record what became of them."""
    rng = random.Random(seed)
    fleet = context.fleet
    address = Address(fleet.host(zone, 2), FRONT_PORT)
    network = fleet.network.host(CLIENT_HOST)
    if not hasattr(context, "uploads"):
        context.uploads, context.statuses = {}, {}
    made = [
        make_upload(
            rng,
            f"u{len(context.uploads) + number}",
            size or rng.randint(MIN_SIZE, MAX_SIZE),
            path=path,
            is_chunked=is_chunked,
            is_once=path.startswith("/file/"),
            **fields,
        )
        for number, (path, is_chunked, _) in enumerate(
            (path, is_chunked, index)
            for path in PATHS
            for is_chunked in (True, False)
            for index in range(count)
        )
    ]
    context.uploads |= {item.request_id: item for item in made}

    async def send_all():
        return await asyncio.gather(
            *(send_upload(network, address, item, make_behaviour(), LIMIT_S) for item in made)
        )

    results = fleet.run_coroutine(send_all())
    fleet.run(settle_s)
    context.latest = {item.request_id: status for item, status in zip(made, results, strict=True)}
    context.statuses |= context.latest


@given("connections to all endpoints are kept")
def step_kept(context):
    for _ in range(2):
        for zone in ("sofia-a", "sofia-b", "plovdiv-a", "plovdiv-b"):
            upload_all(
                context, SendAll, f"kept {zone}", SMALL_SIZE, count=4, zone=zone, settle_s=0.1
            )
    assert set(context.statuses.values()) == {200}, context.statuses


@given("each endpoint {fault} after {size:d} bytes of a body")
def step_endpoint_fault(context, fault, size):
    for endpoint in list_endpoints(context):
        endpoint.body_fault = make_body_fault(fault, size)


def make_body_fault(fault, size):
    """Return the fault of the text in a feature."""
    match fault.split():
        case ["closes", *_]:
            return EndConnection(size, is_reset=False, is_kept="kept" in fault)
        case ["resets", *_]:
            return EndConnection(size, is_reset=True, is_kept="kept" in fault)
        case ["pauses", "for", seconds, "s"]:
            return ReadLate(size, float(seconds))
        case ["responds", "with", status, "and", "pauses", "for", seconds, "s"]:
            head = SUCCESS_HEAD if status == "200" else REFUSAL_HEAD
            return RespondFirst(size, float(seconds), head)
        case ["repeats", "an", "earlier", "response"]:
            return WriteOther(size, b"HTTP/1.1 200 OK\r\n")
        case ["repeats", "an", "earlier", "refusal"]:
            return WriteOther(size, b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n")
    raise ValueError(fault)


@given("varna is farther from sofia than plovdiv is")
def step_farther(context):
    # With equal delays, a part of the bodies is forwarded to each of both regions.
    def get_longer_delay_s(source, target):
        regions = {find_zone(source)[:-2], find_zone(target)[:-2]}
        return get_delay_s(source, target) + (FARTHER_S if regions == {"sofia", "varna"} else 0.0)

    context.fleet.network.delay = get_longer_delay_s
    context.fleet.run(MEASURING_S)


@given('no endpoint of "{region}" has room')
def step_no_room(context, region):
    for node in list_entries(context, region).values():
        for item in node.state.board.registry.instances.values():
            if item.report.availability_zone.startswith(region):
                item.in_flight += 100


@given("the first VM to which requests are forwarded is unreachable")
def step_unreachable(context):
    for zone in ("plovdiv-a",):
        vm = f"front-{zone}-2"
        address = context.fleet.entries[vm].state.settings.peers
        del context.fleet.network.listeners[address]


@given("the retry budget is used up")
def step_no_budget(context):
    for node in context.fleet.entries.values():
        node.state.retry_budget.ratio = 0.0
        node.state.retry_budget.slack = 0


@given("configuration 2 with a limit of {size:d} bytes for bodies")
def step_body_limit(context, size):
    submit(context, maxBodyBytes=size)


@given("configuration 2 with a time limit of {seconds:d} s")
def step_time_limit(context, seconds):
    submit(context, seconds * 1000)


def submit(context, limit_ms=2000, **limits):
    """Submit configuration 2 and wait until it is in force."""
    routes = [
        make_route("read", "/read/", "safe", "status", timeoutMs=limit_ms),
        make_route("file", "/file/", "unsafe", "filing", timeoutMs=limit_ms),
    ]
    answer = context.fleet.send_operator_call(
        "/-/Config.Put", make_configuration(2, routes, **limits)
    )
    assert answer[0] == 200, answer
    context.fleet.run(3)


@when("callers upload with seed {seed:d}")
def step_upload(context, seed):
    upload_all(context, SendAll, seed)


@given("callers upload once and are refused, with seed {seed:d}")
def step_refused_uploads(context, seed):
    for endpoint in list_endpoints(context):
        endpoint.fault = "shed"
    upload_all(context, SendAll, seed, settle_s=0.1)
    assert set(context.latest.values()) == {503}, context.latest
    context.seed = seed
    for endpoint in list_endpoints(context):
        endpoint.fault = ""


@when("callers repeat their uploads with the same identifiers")
def step_repeat(context):
    context.uploads, context.statuses = {}, {}
    for endpoint in list_endpoints(context):
        endpoint.bodies.clear()
    upload_all(context, SendAll, context.seed)


@when("callers upload {size:d} bytes with seed {seed:d}")
def step_upload_size(context, size, seed):
    upload_all(context, SendAll, seed, size)


@when("each caller {action} after {size:d} bytes, with seed {seed:d}")
def step_caller_action(context, action, size, seed):
    behaviour = make_behaviour(action, size)
    deadline_ms = 20_000 if isinstance(behaviour, PauseMidway) else 2000
    upload_all(context, lambda: behaviour, seed, deadline_ms=deadline_ms)


def make_behaviour(action, size):
    """Return what a caller does after so many bytes, from the text of a feature."""
    match action.split():
        case ["leaves"]:
            return LeaveMidway(size, is_reset=False)
        case ["resets"]:
            return LeaveMidway(size, is_reset=True)
        case ["sends", "an", "invalid", "chunk"]:
            return InvalidChunk(size)
        case ["pauses", "for", seconds, "s"]:
            return PauseMidway(size, float(seconds))
    raise ValueError(action)


@when("each caller leaves {seconds:g} s after the end of its body, with seed {seed:d}")
def step_leave_after(context, seconds, seed):
    upload_all(context, lambda: LeaveAfterBody(seconds), seed, settle_s=0)
    # Guards against a check that holds because no request ran.
    assert any(item.serving for item in list_endpoints(context))


@when("{event} once the callers have sent {size:d} bytes, with seed {seed:d}")
def step_event(context, event, size, seed):
    act = make_act(context, event)
    state = {"done": False}

    async def act_once():
        if not state["done"]:
            state["done"] = True
            await act()

    upload_all(context, lambda: ActMidway(size, act_once), seed)
    assert state["done"]


def make_act(context, event):
    """Return the asynchronous function that makes an event of a feature happen."""
    match event.split():
        case ["all", "endpoints", "of", region, "leave"]:
            return lambda: leave(context, region)
        case ["the", "endpoints", "of", region, "are", "replaced"]:
            return lambda: replace(context, region)
        case ["the", "entry", "VMs", "of", region, "refuse"]:
            return lambda: refuse(context, region)
        case ["the", "entry", "VMs", "of", region, "die"]:
            return lambda: kill(context, region, is_restarted=False)
        case ["the", "entry", "VMs", "of", region, "restart"]:
            return lambda: kill(context, region, is_restarted=True)
        case ["the", "entry", "VM", "of", zone, "stops"]:
            return lambda: stop(context, zone)
        case ["the", "entry", "VMs", "of", region, "pause", "for", seconds, "s"]:
            return lambda: pause(context, list_entry_hosts(context, region), float(seconds))
        case ["the", "endpoints", "of", region, "pause", "for", seconds, "s"]:
            return lambda: pause(context, list_endpoint_hosts(context, region), float(seconds))
    raise ValueError(event)


def list_entry_hosts(context, region):
    return {node.state.settings.peers.host for node in list_entries(context, region).values()}


def list_endpoint_hosts(context, region):
    return {item.address.host for item in list_endpoints(context, region)}


async def leave(context, region):
    """Let endpoints announce that they are draining."""
    for endpoint in list_endpoints(context, region):
        endpoint.state = "draining"
    await asyncio.gather(*(item.send_heartbeat() for item in list_endpoints(context, region)))


async def replace(context, region):
    """Let new endpoints take the addresses of endpoints, without an announcement."""
    for endpoint in list_endpoints(context, region):
        endpoint.task.cancel()
        endpoint.instance = f"new-{endpoint.instance}"


async def refuse(context, region):
    """Let entry VMs refuse what is forwarded to them from now on."""
    for node in list_entries(context, region).values():
        node.state.exit_at = node.state.clock.monotonic() + STOPPING_TIME


async def kill(context, region, is_restarted):
    """End entry VMs without draining."""
    fleet = context.fleet
    names = list(list_entries(context, region))
    for name in names:
        node = fleet.entries.pop(name)
        fleet.network.kill(node.state.settings.peers.host)
        await node.stop()
    if is_restarted:
        for name in names:
            zone = name.removeprefix("front-").removesuffix("-2")
            await fleet.open_entry(zone)


async def stop(context, zone):
    """Begin a planned stop of an entry VM, which hands its endpoints over."""
    node = context.fleet.entries.pop(f"front-{zone}-2")
    context.stopping = asyncio.create_task(stop_gracefully(node))


async def pause(context, hosts, seconds):
    """Hold everything that goes to or from hosts for a time, as when their processes are paused."""
    network = context.fleet.network
    others = {address.host for address in network.listeners} | {CLIENT_HOST}
    network.cut(hosts, others)

    async def resume():
        await asyncio.sleep(seconds)
        network.heal()

    context.resuming = asyncio.create_task(resume())


@then("no endpoint takes a body for whole that isn't its caller's, and no caller is told wrong")
def step_check(context):
    faults = find_faults(context.uploads, context.statuses, list_endpoints(context))
    assert not faults, faults


@then("callers get {statuses}")
def step_statuses(context, statuses):
    allowed = {None if item == "nothing" else int(item) for item in statuses.split(" or ")}
    seen = set(context.latest.values())
    assert seen <= allowed, (context.latest, list_bodies(context))


def list_bodies(context):
    """Return what endpoints have received of the latest uploads."""
    return [
        (endpoint.instance, item.request_id, item.size, bool(item.digest), item.is_broken)
        for endpoint in list_endpoints(context)
        for item in endpoint.bodies
        if item.request_id in context.latest
    ]


@then("{count} bodies arrive whole, and {broken} are seen broken")
def step_bodies(context, count, broken):
    bodies = list_bodies(context)
    whole = {request_id for _, request_id, _, is_whole, _ in bodies if is_whole}
    cut = {request_id for _, request_id, _, _, is_broken in bodies if is_broken}
    check_amount(count, len(whole), len(context.latest), bodies)
    check_amount(broken, len(cut), len(context.latest), bodies)


def check_amount(text, count, total, bodies):
    """Check that none, some or all of the latest uploads are counted."""
    match text:
        case "all":
            assert count == total, (count, bodies)
        case "some":
            assert 0 < count <= total, (count, bodies)
        case "no" | "none":
            assert count == 0, (count, bodies)
        case "any":
            pass
        case _:
            raise ValueError(text)


@then("the fault has occurred")
def step_occurred(context):
    assert sum(item.injected for item in list_endpoints(context)), "no endpoint had the fault"


@then("{seconds:g} s after that no work goes on")
def step_no_work(context, seconds):
    context.fleet.run(seconds)
    working = {item.instance: item.count_connected_runs() for item in list_endpoints(context)}
    assert not any(working.values()), working
