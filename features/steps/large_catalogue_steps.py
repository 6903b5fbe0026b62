"""Steps for large configurations over slow links."""

import asyncio
from datetime import timedelta

from behave import given, then, when

from camphorspread.process.catalogue_fetch import choose_source
from camphorspread.process.steering_control import record_poll
from features.fixtures.platform_fleet import ZONES, make_configuration, make_route

NEW_PATH = "/new/x"
WEIGHTS = ((90, 10), (50, 50))
REQUEST_INTERVAL_S = 0.1
STEP_S = 0.05


def make_routes(added, weights=WEIGHTS[0]):
    """Return the routes of configuration 1, one with two services, and added ones."""
    parts = [
        {"service": name, "weight": weight}
        for name, weight in zip(("status", "filing"), weights, strict=True)
    ]
    return [
        make_route("read", "/read/", "safe", "status"),
        make_route("file", "/file/", "unsafe", "filing"),
        make_route("split", "/split/", "safe", "status", trafficSplit=parts),
        make_route("new", "/new/", "safe", "status"),
        *(
            make_route(
                f"r-{number * 7919:x}",
                f"/{number * 104729:x}/",
                "safe",
                "status",
                host=f"h{number * 1299709:x}.example",
            )
            for number in range(added)
        ),
    ]


async def put(context, version, routes):
    """Submit a configuration at a control VM within the loop, and note its acknowledgement."""
    fleet = context.fleet
    body = make_configuration(version, routes)
    status = await fleet.send_change("/-/Config.Put", body)
    assert status == 200, status
    context.acknowledged = fleet.clock.monotonic()
    context.revision = version


def find_revisions(context):
    """Return the revision of the routes in force at each entry VM."""
    return {
        vm: node.state.table.revision if node.state.table else 0
        for vm, node in context.fleet.entries.items()
    }


def wait_until_in_force(context, revision, until):
    """Run until a revision is in force at each entry VM, or until an instant."""
    fleet = context.fleet
    while set(find_revisions(context).values()) != {revision} and fleet.clock.monotonic() < until:
        fleet.run(STEP_S)


def count_received(context):
    """Return the bytes sent to each entry VM so far."""
    fleet = context.fleet
    hosts = {vm: node.state.settings.peers.host for vm, node in fleet.entries.items()}
    return {
        vm: sum(size for (_, target), size in fleet.network.sent_bytes.items() if target == host)
        for vm, host in hosts.items()
    }


@given("the links of the entry VMs carry {rate:g} Mbit/s each way")
def step_rate(context, rate):
    network = context.fleet.network
    network.kernel_bytes = 65536
    for zone in ZONES:
        network.link_rates[context.fleet.host(zone, 2)] = rate * 1e6 / 8


@given("configuration 2 with {added:d} more routes is in force at each entry VM")
def step_in_force(context, added):
    fleet = context.fleet
    rates, fleet.network.link_rates = fleet.network.link_rates, {}
    context.added = added
    fleet.run_coroutine(put(context, 2, make_routes(added)))
    wait_until_in_force(context, 2, fleet.clock.monotonic() + timedelta(seconds=10))
    assert set(find_revisions(context).values()) == {2}, find_revisions(context)
    fleet.network.link_rates = rates
    fleet.run(3)


@when("clients use each entry VM while configuration 2 with {added:d} more routes is sent")
def step_send_used(context, added):
    fleet = context.fleet
    context.used, context.tried = [], []

    async def use(zone, target, statuses):
        answer = await fleet.request(zone, target)
        statuses.append(answer and answer[0])

    async def run():
        sending = asyncio.create_task(put(context, 2, make_routes(added)))
        tasks = [sending]
        while not sending.done() or fleet.clock.monotonic() < context.acknowledged + timedelta(
            seconds=3
        ):
            tasks += [asyncio.create_task(use(zone, "/read/x", context.used)) for zone in ZONES]
            if sending.done():
                tasks += [asyncio.create_task(use(zone, NEW_PATH, context.tried)) for zone in ZONES]
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    fleet.run_coroutine(run())


@when(
    "configuration 2 with {added:d} more routes is sent, and the control VMs of "
    '"{zones}" {fail} at the acknowledgement'
)
def step_send_and_lose(context, added, zones, fail):
    fleet = context.fleet
    fleet.run_coroutine(put(context, 2, make_routes(added)))
    for zone in zones.split(", "):
        if fail == "are killed":
            fleet.kill(f"core-{zone}-1")
        else:
            others = {fleet.host(item, number) for item in ZONES for number in (1, 2)}
            fleet.network.cut({fleet.host(zone, 1)}, others)


@when("each message to the entry VMs waits {seconds:g} s behind other bytes")
def step_delayed(context, seconds):
    fleet = context.fleet
    network = fleet.network

    async def delay():
        while True:
            for zone in ZONES:
                link = fleet.host(zone, 2), "in"
                busy = network.busy_until.get(link, 0)
                network.busy_until[link] = max(busy, fleet.loop.time() + seconds)
            await asyncio.sleep(STEP_S)

    context.delaying = fleet.loop.create_task(delay())
    fleet.run(2)


@when("configuration 2 with {added:d} more routes is sent")
def step_send_large(context, added):
    context.fleet.run_coroutine(put(context, 2, make_routes(added)))


@when(
    "newer versions are announced every {interval:g} s for {seconds:g} s, but not by the nearest "
    "control VM"
)
def step_announced(context, interval, seconds):
    context.state = state = next(iter(context.fleet.entries.values())).state
    now = context.fleet.clock.monotonic()
    nearest, other, *_ = sorted(state.controls.values(), key=lambda item: item.round_trip)
    context.nearest = nearest
    for number in range(1, round(seconds / interval) + 1):
        version = state.catalogue_version + number
        other.catalogue_version = version
        state.announce(version, now + timedelta(seconds=number * interval))
    context.now = now + timedelta(seconds=seconds)


@then("another control VM is the source")
def step_other_source(context):
    source = choose_source(context.state, context.now)
    assert source is not None and source is not context.nearest, source


@when(
    "an entry VM whose poll is held confirms its version, and an older message arrives after that"
)
def step_confirm(context):
    node = next(iter(context.fleet.controls.values()))
    listed = next(item for item in node.steering.vms.values() if item.hold)
    context.listed, context.held_until = listed, listed.last_poll_at + listed.hold
    context.version = listed.catalogue_version + 1
    record_poll(node.steering, listed.record, timedelta(0), context.version)
    record_poll(node.steering, listed.record, timedelta(0), context.version - 1)


@then("the control VM counts the entry VM as alive for as long as the poll is held")
def step_held(context):
    listed = context.listed
    assert listed.last_poll_at + listed.hold >= context.held_until, listed


@then("it knows the newer version")
def step_newer(context):
    assert context.listed.catalogue_version == context.version, context.listed


@when("configuration 3 changes the weights of one route")
def step_change_weights(context):
    fleet = context.fleet
    before = count_received(context)
    fleet.run(3)
    context.usual = {vm: size - before[vm] for vm, size in count_received(context).items()}
    context.before = count_received(context)
    context.started = fleet.clock.monotonic()
    fleet.run_coroutine(put(context, 3, make_routes(context.added, WEIGHTS[1])))


@when("all entry VMs are killed and started again")
def step_restart(context):
    fleet = context.fleet
    for vm in list(fleet.entries):
        fleet.kill(vm)
    fleet.run(1)
    hosts = [fleet.host(zone, 2) for zone in ZONES]
    context.before = {
        f"front-{zone}-2": sum(
            size for (_, target), size in fleet.network.sent_bytes.items() if target == host
        )
        for zone, host in zip(ZONES, hosts, strict=True)
    }
    for zone in ZONES:
        fleet.start_entry(zone)
    context.started = fleet.clock.monotonic()


@when('the entry VM of "{zone}" is cut off from the control VMs for {seconds:g} s')
def step_cut_off(context, zone, seconds):
    fleet = context.fleet
    fleet.network.cut({fleet.host(zone, 2)}, {fleet.host(item, 1) for item in ZONES})
    fleet.run(seconds)


@when("the control VMs are cut off from each other for {seconds:g} s")
def step_cut_controls(context, seconds):
    fleet = context.fleet
    hosts = {fleet.host(item, 1) for item in ZONES}
    fleet.network.cut(hosts, hosts)
    fleet.run(seconds)


@when("configuration 2 with a new route is acknowledged")
def step_new_route(context):
    context.fleet.run_coroutine(put(context, 2, make_routes(0)))


@when('the entry VM of "{zone}" knows of a newer configuration that it doesn\'t have')
def step_behind(context, zone):
    state = context.fleet.entries[f"front-{zone}-2"].state
    state.announced_version = state.catalogue_version + 1


@then("it is in force at each entry VM within {seconds:g} s of its acknowledgement")
def step_check_in_force(context, seconds):
    limit = context.acknowledged + timedelta(seconds=seconds)
    wait_until_in_force(context, context.revision, limit)
    revisions = find_revisions(context)
    assert set(revisions.values()) == {context.revision}, revisions


@then("configuration {revision:d} is in force at each entry VM within {seconds:g} s")
def step_check_started(context, revision, seconds):
    wait_until_in_force(context, revision, context.started + timedelta(seconds=seconds))
    revisions = find_revisions(context)
    assert set(revisions.values()) == {revision}, revisions
    context.fleet.run((context.started - context.fleet.clock.monotonic()).total_seconds() + seconds)


@then("each request of the clients was served")
def step_check_used(context):
    assert context.used and set(context.used) == {200}, context.used


@then("no request on a new route was answered 404")
def step_check_tried(context):
    assert context.tried and 404 not in context.tried, context.tried


@then("each entry VM has received at most {size:g} KB more than in the same time without a change")
def step_check_change_size(context, size):
    remaining = context.started + timedelta(seconds=3) - context.fleet.clock.monotonic()
    context.fleet.run(max(remaining.total_seconds(), 0))
    received = {vm: total - context.before[vm] for vm, total in count_received(context).items()}
    more = {vm: received[vm] - context.usual[vm] for vm in received}
    assert max(more.values()) <= size * 1000, more


@then("each entry VM has received at most {size:g} KB in that time")
def step_check_start_size(context, size):
    received = {vm: total - context.before[vm] for vm, total in count_received(context).items()}
    assert max(received.values()) <= size * 1000, received


@then('the entry VM of "{zone}" refuses a request on the new route with 503 and a retry time')
def step_check_refused(context, zone):
    context.vm = f"front-{zone}-2"
    status, headers, _ = context.fleet.run_coroutine(context.fleet.request(zone, NEW_PATH))
    assert status == 503, status
    assert float(headers[b"retry-after"]) > 0, headers


@then('its log names the cause "{cause}"')
def step_check_log(context, cause):
    lines = context.fleet.logs[context.vm].getvalue().splitlines()
    assert any("route_not_found" in line and f'"{cause}"' in line for line in lines), lines[-5:]


@then('the entry VM of "{zone}" answers 404 on a path without a route')
def step_check_denied(context, zone):
    status, _, _ = context.fleet.run_coroutine(context.fleet.request(zone, "/none/x"))
    assert status == 404, status
