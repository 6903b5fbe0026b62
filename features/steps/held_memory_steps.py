"""Steps for the bytes that entry VMs hold for callers and servers, on the fleet."""

import asyncio
import random

from behave import given, then, when

from camphorspread.connection.network import READ_BYTES, Address
from camphorspread.process.held_memory import HeldKind, Holding, hold
from features.fixtures.body_faults import EndConnection
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    FRONT_PORT,
    ZONES,
    make_configuration,
    make_route,
)
from features.fixtures.slow_callers import HeldWatch, send_raw, watch_held
from features.fixtures.upload_callers import (
    InvalidChunk,
    LeaveAfterBody,
    LeaveMidway,
    PauseMidway,
    SendAll,
    make_upload,
    send_upload,
)

ZONE = "sofia-a"
VM = f"front-{ZONE}-2"
USUAL_RANK, URGENT_RANK = 2, 0
# The largest response that is buffered, and the read that shows that a response is larger.
BUFFER_BYTES = 64 * 1024 + READ_BYTES
# When nothing usual runs any more, and the first connections haven't been reset yet.
QUIET_S = 2.6
# Below the capacity of the fleet, so that only memory is scarce.
ARRIVAL_INTERVAL_S = 0.006
READ_AFTER_S = 8.0
SETTLE_S = 6
# Of the routes, for the beginning of the response.
TIME_LIMIT_MS = 2000
# Of the callers, for its end.
CALLER_LIMIT_MS = 12_000
MAX_URGENT_RUNS = 8
METRICS_PORT = 9464


@given("entry VMs with {size:d} MB of memory and buffers of the network of {buffer:d} bytes")
def step_fleet(context, size, buffer):
    fleet = context.fleet
    fleet.more_settings = (f"self.limits.memoryMb={size}",)
    fleet.start_all()
    for zone in ZONES:
        fleet.add_endpoint(f"status-{zone}", "status", zone)
    fleet.run(SETTLE_S)
    fleet.network.kernel_bytes = buffer


@given("an endpoint of each service in each zone responds with {size:d} bytes")
def step_size(context, size):
    context.reply_bytes = size
    for endpoint in context.fleet.endpoints.values():
        endpoint.reply_bytes = size


@given("a configuration with usual and urgent routes is in force")
def step_configuration(context):
    routes = [
        make_route("usual", "/usual/", "safe", "status", priority=USUAL_RANK),
        make_route("urgent", "/urgent/", "safe", "status", priority=URGENT_RANK),
    ]
    document = make_configuration(1, routes)
    assert context.fleet.send_operator_call("/-/Config.Put", document)[0] == 200
    context.fleet.run(2)


def make_request(name, path, size=None):
    """Return the head of a request, with the length of its body if it has one."""
    length = b"" if size is None else b"Content-Length: %d\r\n" % size
    method = b"GET" if size is None else b"POST"
    return (
        b"%s %s HTTP/1.1\r\nHost: water.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
        b"Cookie: Affinity-Key=%s\r\n%s\r\n"
    ) % (method, path.encode(), name.encode(), CALLER_LIMIT_MS, name.encode(), length)


def send(context, name, path, parts=(), size=None, **fields):
    """Return a coroutine that sends a request to the entry VM and reads the response."""
    fleet = context.fleet
    address = Address(fleet.host(ZONE, 2), FRONT_PORT)
    first, *others = parts or (b"",)
    parts = (make_request(name, path, size) + first, *others)
    return send_raw(fleet.network.host(CLIENT_HOST), address, parts, **fields)


def run_watched(context, work):
    """Run a coroutine while the held bytes are sampled, and return its result."""
    context.watch = HeldWatch()

    async def run():
        watching = asyncio.create_task(watch_held(context.fleet, context.watch, BUFFER_BYTES))
        try:
            return await work
        finally:
            watching.cancel()

    context.started = context.fleet.loop.time()
    return context.fleet.run_coroutine(run())


async def send_urgent(context, until_s):
    """Send urgent requests at an interval and return their responses."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < context.started + until_s:
        tasks.append(asyncio.create_task(send(context, f"v{len(tasks)}", "/urgent/x")))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


def count_used_slots(context):
    """Return the running requests at endpoints, and those that entry VMs count."""
    fleet = context.fleet
    running = sum(endpoint.running for endpoint in fleet.endpoints.values())
    counted = sum(
        instance.in_flight
        for node in fleet.entries.values()
        for instance in node.state.board.registry.instances.values()
    )
    return running, counted


@when(
    "{count:d} callers {reading} responses of the usual route, with urgent ones every 50 ms",
)
def step_slow(context, count, reading):
    async def work():
        may_read = asyncio.Event()
        fields = {"read_pause_s": 2.0} if reading.startswith("read") else {"wait": may_read}
        urgent = asyncio.create_task(send_urgent(context, READ_AFTER_S - 1))
        usual = []
        for number in range(count):
            usual.append(asyncio.create_task(send(context, f"u{number}", "/usual/x", **fields)))
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
        await asyncio.sleep(context.started + QUIET_S - asyncio.get_running_loop().time())
        context.quiet_slots = count_used_slots(context)
        context.quiet_unsent = context.fleet.entries[VM].state.held.by_kind[HeldKind.UNSENT]
        await asyncio.sleep(READ_AFTER_S - QUIET_S)
        may_read.set()
        return await asyncio.gather(*usual), await urgent

    context.usual, context.urgent = run_watched(context, work())


@then("the held bytes stay within the bound and one buffer for each request in flight")
def step_bounded(context):
    assert max(context.watch.excess.values()) <= 0, context.watch
    # The samples would be worth nothing if the VM's send buffers weren't counted.
    assert max(context.watch.uncounted.values()) <= 0, context.watch


@then("at least {count:d} usual requests were refused with a retry time, none of them ran")
def step_refused(context, count):
    runs = {item for endpoint in context.fleet.endpoints.values() for item in endpoint.runs}
    refused = [(number, item) for number, item in enumerate(context.usual) if item.status == 503]
    assert len(refused) >= count, len(refused)
    for number, item in refused:
        assert item.find(b"retry-after") is not None, item
        assert f"u{number}" not in runs, item


@then("every urgent request got its whole response")
def step_urgent(context):
    assert len(context.urgent) > 100, len(context.urgent)
    for item in context.urgent:
        assert item.status == 200 and item.is_whole, item
        assert len(item.body) >= context.reply_bytes, item


@then("each usual response was whole, refused or cut by a reset")
def step_endings(context):
    for item in context.usual:
        if item.status == 200 and item.is_whole:
            assert len(item.body) >= context.reply_bytes, item
        elif item.status in (503, 504):
            assert item.is_whole, item
        else:
            assert item.is_reset and not item.is_whole, (item.status, len(item.body), item.is_reset)


@then("at least {count:d} usual responses were reset at the progress limit of {limit:d} s")
def step_resets(context, count, limit):
    times = [item.ended_at - context.started for item in context.usual if item.is_reset]
    assert len(times) >= count, len(times)
    latest = limit + TIME_LIMIT_MS / 1000 + 0.5
    assert limit <= min(times) and max(times) <= latest, (min(times), max(times))


@then("all slots were free while callers hadn't read their responses")
def step_slots(context):
    assert context.quiet_unsent > 1_000_000, context.quiet_unsent
    # Those of the urgent requests.
    assert max(context.quiet_slots) <= MAX_URGENT_RUNS, context.quiet_slots


@then("nothing is held at the end")
def step_nothing(context):
    context.fleet.run(SETTLE_S)
    for vm, node in context.fleet.entries.items():
        state = node.state
        sizes = (state.held.total, *state.held.by_kind.values(), *state.held.by_urgency.values())
        assert not any(sizes), (vm, state.held)
        assert not state.paused_readers and state.held.on_released is None, vm
        assert state.in_flight == 0, vm


@then("the log says that the thresholds were passed and left, in at most {count:d} lines")
def step_log(context, count):
    lines = [
        line
        for line in context.fleet.logs[VM].getvalue().splitlines()
        if "memory_pressure_changed" in line
    ]
    assert 2 <= len(lines) <= count, lines
    assert any('"refusing"' in line for line in lines), lines
    assert '"none"' in lines[-1], lines


@then("the entry VM of the callers held at most {size:d} bytes for each of the {count:d} callers")
def step_each(context, size, count):
    # Urgent requests are in flight too.
    limit = size * (count + MAX_URGENT_RUNS)
    assert size * count / 2 <= context.watch.peaks[VM] <= limit, context.watch


@then("no connection to an endpoint carries an unfinished response")
def step_connections(context):
    addresses = {endpoint.address for endpoint in context.fleet.endpoints.values()}
    for stream in context.fleet.network.streams:
        if stream.own in addresses:
            assert not stream.unsent_bytes, stream.own


@when("{count:d} callers send {size:d} of {whole:d} bytes and the rest after {pause:d} s")
def step_partial(context, count, size, whole, pause):
    async def work():
        parts = (bytes(size), bytes(whole - size))
        return await asyncio.gather(
            *(
                send(context, f"u{number}", "/usual/x", parts, whole, pause_s=pause)
                for number in range(count)
            )
        )

    context.count = count
    context.usual = run_watched(context, work())


@when("{count:d} callers send {size:d} bytes at once")
def step_at_once(context, count, size):
    async def work():
        return await asyncio.gather(
            *(
                send(context, f"u{number}", "/usual/x", (bytes(size),), size)
                for number in range(count)
            )
        )

    context.count = count
    context.usual = run_watched(context, work())


@then("reading was paused")
def step_paused(context):
    state = context.fleet.entries[VM].state
    assert state.next_reader > 0, state.next_reader


@then("the held bytes stay within half of the bound and one body")
def step_half(context):
    state = context.fleet.entries[VM].state
    limit = state.held.bound // 2 + BUFFER_BYTES
    assert context.watch.peaks[VM] <= limit, (context.watch, limit)


@then("callers were served, or refused with a retry time")
def step_served_or_refused(context):
    for item in context.usual:
        assert item.is_reset or item.status in (200, 503), item
        assert item.status != 503 or item.find(b"retry-after") is not None, item
    assert any(item.status == 503 for item in context.usual), context.usual


@then("all uploads were served")
def step_all_served(context):
    others = [(item.status, item.body) for item in context.usual if item.status != 200]
    assert not others, others


ENDINGS = {
    "callers that leave midway": LeaveMidway(30_000, is_reset=False),
    "callers that leave later": LeaveAfterBody(0.05),
    "callers that reset": LeaveMidway(120_000, is_reset=True),
    "invalid chunks": InvalidChunk(30_000),
    "callers that pause too long": PauseMidway(90_000, 4.0),
}


EXPECTED = {
    "their deadlines": {504},
    "endpoints that reject": {503},
    "forwards to other zones": {200},
    "refusals of zones without room": {503},
}


def prepare_ending(fleet, ending, size):
    """Make endpoints and entry VMs end uploads in this way."""
    for endpoint in fleet.endpoints.values():
        match ending:
            case "their deadlines":
                endpoint.service_time_s = 1000.0
            case "endpoints that reset":
                endpoint.body_fault = EndConnection(size // 2, is_reset=True)
            case "endpoints that reject":
                endpoint.fault = "shed"
    if "zones" in ending:
        for name in (VM, "front-sofia-b-2"):
            for item in fleet.entries[name].state.board.registry.instances.values():
                if item.report.availability_zone.startswith("sofia"):
                    item.in_flight += 100


def fill_other_zones(fleet):
    """Hold bytes at the VMs outside the callers' region; return what they hold."""
    held = []
    for vm, node in fleet.entries.items():
        if not vm.startswith("front-sofia"):
            held.append((node.state.held, Holding((0, USUAL_RANK))))
            hold(*held[-1], HeldKind.UNSENT, 1_900_000)
    return held


@when("uploads of {size:d} bytes end by {ending}")
def step_end(context, size, ending):
    fleet = context.fleet
    prepare_ending(fleet, ending, size)
    held = fill_other_zones(fleet) if "without room" in ending else []
    behaviour = ENDINGS.get(ending, SendAll())
    rng = random.Random(ending)
    uploads = [
        make_upload(
            rng,
            f"e{number}",
            size,
            path="/usual/x",
            is_chunked=ending == "invalid chunks" or bool(number % 2),
            is_once=False,
        )
        for number in range(8)
    ]
    address = Address(fleet.host(ZONE, 2), FRONT_PORT)
    network = fleet.network.host(CLIENT_HOST)

    async def work():
        return await asyncio.gather(
            *(send_upload(network, address, item, behaviour, 12) for item in uploads)
        )

    statuses = run_watched(context, work())
    for memory, holding in held:
        hold(memory, holding, HeldKind.UNSENT, 0)
    assert set(statuses) == EXPECTED.get(ending, set(statuses)), statuses
    others = [vm for vm in fleet.entries if not vm.startswith("front-sofia")]
    if "zones" in ending:
        assert any(context.watch.peaks[vm] for vm in others), context.watch
    if held:
        refused = [fleet.entries[vm].state.metrics.memory_refusals for vm in others]
        assert sum(item[("forward",)] for item in refused) > 0, refused


@then("bytes were held meanwhile")
def step_meanwhile(context):
    assert context.watch.peaks[VM] > 0, context.watch


def send_sample(context):
    """Send requests of several kinds and return the responses."""
    fleet = context.fleet
    endpoint = fleet.endpoints["status-only"]

    async def work():
        responses = []
        for reply_bytes in (0, 60_000, 65_536, 65_537, 200_000):
            endpoint.reply_bytes = reply_bytes
            for size in (None, 0, 100, 60_000, 200_000):
                name = f"s{reply_bytes}-{size}"
                parts = (bytes(size),) if size else ()
                response = await send(context, name, "/usual/x", parts, size)
                assert response.status == 200 and response.is_whole, response
                responses.append((response.status, response.headers, response.body))
        return responses

    return fleet.run_coroutine(work())


@given('one "status" endpoint, whose responses are recorded without a memory limit')
def step_recorded(context):
    fleet = context.fleet
    fleet.start_all()
    fleet.add_endpoint("status-only", "status", ZONE)
    fleet.run(SETTLE_S)
    step_configuration(context)
    assert fleet.entries[VM].state.held.bound is None
    context.recorded = send_sample(context)


@when("the same requests are sent with a memory limit of {size:d} MB")
def step_same(context, size):
    fleet = context.fleet
    fleet.kill(VM)
    fleet.more_settings = (f"self.limits.memoryMb={size}",)
    fleet.start_entry(ZONE)
    fleet.run(SETTLE_S)
    assert fleet.entries[VM].state.held.bound == size * 250_000
    context.repeated = send_sample(context)


@then("the responses are the same byte for byte")
def step_check_same(context):
    assert len(context.recorded) == 25, len(context.recorded)
    assert context.repeated == context.recorded


@when("an entry VM holds {size:d} bytes for usual requests")
def step_artificial(context, size):
    if not hasattr(context, "artificial"):
        context.artificial = Holding((0, USUAL_RANK))
    hold(context.fleet.entries[VM].state.held, context.artificial, HeldKind.UNSENT, size)


def upload(context, path, body):
    """Send an upload of 30,000 bytes; return the response and how long it took."""
    context.uploads = getattr(context, "uploads", 0) + 1
    started = context.fleet.loop.time()
    work = send(context, f"a{context.uploads}", path, (body,) if body else (), 30_000)
    response = context.fleet.run_coroutine(work)
    return response, response.ended_at - started


@then("an upload on the usual route gets 503 with a retry time, before its body is read")
def step_refused_unread(context):
    # The caller sends its body only once it gets status 100, which never comes.
    response, spent_s = upload(context, "/usual/x", b"")
    assert response.status == 503 and response.find(b"retry-after"), response
    assert spent_s < 0.1, spent_s


@then("an upload on the usual route gets 503 with a retry time, after half of its time")
def step_refused_late(context):
    response, spent_s = upload(context, "/usual/x", bytes(30_000))
    assert response.status == 503 and response.find(b"retry-after"), response
    assert 0.9 <= spent_s <= 1.1, spent_s


@then("an upload on the urgent route gets 200")
def step_urgent_upload(context):
    response, _ = upload(context, "/urgent/x", bytes(30_000))
    assert response.status == 200, response


@then("a request without a body on the usual route gets 200")
def step_no_body(context):
    response = context.fleet.run_coroutine(send(context, "n1", "/usual/x"))
    assert response.status == 200, response


@then(
    "the metrics have {unsent:d} unsent bytes, a bound of {bound:d} and these refusals: "
    "arrival {arrival:d}, body {body:d}"
)
def step_metrics(context, unsent, bound, arrival, body):
    answer = context.fleet.call(ZONE, METRICS_PORT, "GET", "/metrics", number=2)
    lines = answer[2].decode().splitlines()
    for line in (
        f"camphorspread_held_unsent_bytes {unsent}",
        "camphorspread_held_body_bytes 0",
        "camphorspread_held_response_bytes 0",
        f"camphorspread_held_bytes_bound {bound}",
        f'camphorspread_steering_memory_refusals_total{{stage="arrival"}} {arrival}',
        f'camphorspread_steering_memory_refusals_total{{stage="body"}} {body}',
    ):
        assert line in lines, (line, [item for item in lines if "held" in item or "memory" in item])
