"""Steps of faults on the platform."""

import asyncio
import contextlib
import json
from datetime import timedelta

import attrs
from behave import given, then, when
from behave import step as any_step

from camphorspread.connection.network import Address
from camphorspread.process.steering_node import stop_gracefully
from features.fixtures.platform_endpoint import call_address
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    CONTROL_PORT,
    FRONT_PORT,
    LOOKUP_PORT,
    PEER_PORT,
    ZONES,
    make_configuration,
    make_route,
)

FAULTS = {
    "reset connections after the run": "reset",
    "resets connections after the run": "reset",
    "cut answers short": "cut",
    "reject everything": "shed",
    "send another answer before each one": "stray",
    "write an earlier refusal first": "earlier refusal",
    "write an unnamed refusal first": "unnamed refusal",
    "write an unnamed success first": "unnamed success",
    "send one header without end": "endless header",
    "send headers without end": "endless headers",
    "send status 100 without end": "endless continues",
    "send status 103 without end": "endless hints",
    "send a chunk size without end": "endless chunk size",
    "send the body of another request without end": "endless other body",
    "send other responses without end": "endless responses",
    "send no HTTP without end": "endless bytes",
    "send a body without end": "endless body",
}
NEVER_S = 1000.0
MANY_SLOTS = 100
STOP_S = 6.0
AT_ONCE_S = 0.1
CROSSING_S = 0.05
# A head with the shortest identifiers, without framing and the empty line at its end.
SHORTEST_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Signature: s.q\r\n"
GROUP_SIZE = 12
LONG_DEADLINE_MS = 15000
# At this interval the whole head exceeds every time limit, although no single wait does.
BYTE_INTERVAL_S = 0.9


@given("configuration 1 is in force")
def step_in_force(context):
    assert context.fleet.send_operator_call("/-/Config.Put", make_configuration(1))[0] == 200
    context.fleet.run(2)


@given('the endpoints of "{service}" {fault}')
def step_all_fail(context, service, fault):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service:
            set_fault(endpoint, fault)


@given('the endpoint "{name}" resets connections after the run')
def step_one_fails(context, name):
    set_fault(context.fleet.endpoints[name], "resets connections after the run")


@given(
    'each endpoint of "{service}" closes the connection after each number of bytes of a head with '
    "{framing}"
)
def step_short_heads(context, service, framing):
    context.short_heads = [
        item for item in context.fleet.endpoints.values() if item.service == service
    ]
    for endpoint in context.short_heads:
        endpoint.framing = b"" if framing == "no framing" else framing.encode() + b"\r\n"


@when('a client of "{zone}" sends one "file" request for each of these numbers')
def step_send_for_short_heads(context, zone):
    fleet = context.fleet
    context.answers = []
    for size in range(len(SHORTEST_HEAD + context.short_heads[0].framing)):
        for endpoint in context.short_heads:
            endpoint.head_bytes = size
        context.answers.append(fleet.run_coroutine(fleet.request(zone, "/file/x", "POST", b"b")))


@then("none of them gets a success, and each of them gets 502")
def step_no_success(context):
    assert {answer and answer[0] for answer in context.answers} == {502}, context.answers


def set_fault(endpoint, fault):
    """Set the fault of an endpoint."""
    if fault == "never answer":
        endpoint.service_time_s = NEVER_S
    else:
        endpoint.fault = FAULTS[fault]


def send(context, zone, kind, count):
    """Send requests concurrently and return the responses."""
    method, body = ("GET", b"") if kind == "read" else ("POST", b"form")

    async def send_all():
        requests = [
            context.fleet.request(zone, f"/{kind}/x", method, body, key=f"k{number}")
            for number in range(count)
        ]
        return await asyncio.gather(*requests)

    before = count_runs(context)
    answers = context.fleet.run_coroutine(send_all())
    context.new_runs = {
        name: endpoint.runs[before[name] :] for name, endpoint in context.fleet.endpoints.items()
    }
    return answers


def count_runs(context):
    return {name: len(endpoint.runs) for name, endpoint in context.fleet.endpoints.items()}


def list_runs(context):
    return [item for runs in context.new_runs.values() for item in runs]


@when('a client of "{zone}" sends one "{kind}" request')
def step_send_one(context, zone, kind):
    context.answers = send(context, zone, kind, 1)


@any_step('a client of "{zone}" sends {count:d} "{kind}" requests about different objects')
def step_send_many(context, zone, count, kind):
    context.answers = send(context, zone, kind, count)


@then("it gets {status:d} and the request ran {runs}")
def step_check_one(context, status, runs):
    answer = context.answers[0]
    assert answer is not None and answer[0] == status, answer
    allowed = {"once": (1,), "never": (0,), "at most twice": (1, 2)}[runs]
    assert len(list_runs(context)) in allowed, context.new_runs
    if status == 200:
        assert answer[2].startswith(b"filing"), answer


@then("all of them get 200")
def step_all_served(context):
    statuses = [answer and answer[0] for answer in context.answers]
    assert set(statuses) == {200}, statuses


@then("each of them ran once at most, and those without 200 got 502")
def step_once(context):
    runs = list_runs(context)
    assert len(runs) == len(set(runs)), runs
    statuses = {answer and answer[0] for answer in context.answers}
    assert statuses <= {200, 502} and 502 in statuses, statuses


@then("all of them get the response of their own run")
def step_own_responses(context):
    runs = list_runs(context)
    assert len(runs) == len(set(runs)) == len(context.answers), runs
    signatures = {answer[1][b"response-signature"].decode() for answer in context.answers}
    assert signatures == {f"s.{item}" for item in runs}, signatures


@then("its endpoint could write at most {size:d} KiB")
def step_written(context, size):
    context.fleet.run(1)
    written = max(endpoint.written for endpoint in context.fleet.endpoints.values())
    assert 0 < written <= size * 1024, written


@then('all of {count:d} "read" requests of "{zone}" get 200 within {seconds:g} s')
def step_others_served(context, count, zone, seconds):
    started = context.fleet.clock.monotonic()
    answers = send(context, zone, "read", count)
    assert {answer and answer[0] for answer in answers} == {200}, answers
    spent = (context.fleet.clock.monotonic() - started).total_seconds()
    assert spent <= seconds, spent


@when('a client of "{zone}" sends one "file" request and reads its response')
def step_read_endless(context, zone):
    fleet = context.fleet
    started = fleet.clock.monotonic()

    async def wait_for_end():
        written = 0
        while True:
            await asyncio.sleep(0.05)
            total = sum(item.written for item in fleet.endpoints.values())
            if 0 < total == written:
                return (fleet.clock.monotonic() - started).total_seconds()
            written = total

    async def send_and_wait():
        return await asyncio.gather(fleet.request(zone, "/file/x", "POST", b"form"), wait_for_end())

    answer, context.ended_s = fleet.run_coroutine(send_and_wait())
    context.answers = [answer]


@then("it gets no complete response")
def step_incomplete(context):
    assert context.answers == [None], context.answers


@then("its endpoint can write nothing more after {seconds:g} s")
def step_cut(context, seconds):
    assert context.ended_s <= seconds, context.ended_s


@then("no entry VM reviews its queue within {seconds:g} s")
def step_no_review(context, seconds):
    for entry in context.fleet.entries.values():
        entry.state.waiting.by_service = CountingDict(entry.state.waiting.by_service)
    context.fleet.run(seconds)
    reviews = {
        name: entry.state.waiting.by_service.listings
        for name, entry in context.fleet.entries.items()
    }
    assert not any(reviews.values()), reviews


class CountingDict(dict):
    """A dictionary that counts how often its items are listed."""

    listings = 0

    def items(self):
        """Count and return the items."""
        self.listings += 1
        return super().items()


@then("some of them got {status:d}")
def step_some_status(context, status):
    assert status in [answer and answer[0] for answer in context.answers]


def list_ended(context):
    """Return the log lines of the requests that ended."""
    return [
        json.loads(line)
        for log in context.fleet.logs.values()
        for line in log.getvalue().splitlines()
        if "steering_ended" in line
    ]


@then("none of them was forwarded to more than {count:d} other VMs")
def step_passes(context, count):
    ended = list_ended(context)
    forwards = [sum(step.startswith("pass ") for step in item["trail"]) for item in ended]
    assert 0 < max(forwards) <= count, max(forwards)


@then("the log states the use of the slots on which each placement was based")
def step_use(context):
    for item in list_ended(context):
        assert 0 <= item["use"]["known"] <= item["use"]["estimated"] <= 1, item
        is_forwarded = bool(item["trail"]) and item["trail"][0].startswith("pass ")
        assert ("elsewhere" in item["use"]) == is_forwarded, item


@when('a client of "{zone}" sends one "read" request and disconnects after {seconds:g} s')
def step_disconnect(context, zone, seconds):
    async def disconnect():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await context.fleet.request(zone, "/read/x")

    context.fleet.run_coroutine(disconnect())


@then("no endpoint runs it {seconds:g} s later")
def step_no_work(context, seconds):
    context.fleet.run(seconds)
    running = {name: item.running for name, item in context.fleet.endpoints.items()}
    # A stub notices a closed connection only when it responds, so the requests that the entry VMs
    # have in flight are checked instead.
    for entry in context.fleet.entries.values():
        used = [item.in_flight for item in entry.state.board.registry.instances.values()]
        assert not any(used), (used, running)


@when('the endpoint "{name}" says that it is draining')
def step_drain(context, name):
    endpoint = context.fleet.endpoints[name]
    endpoint.state = "draining"
    context.acknowledged = context.fleet.run_coroutine(endpoint.send_heartbeat())
    context.departed = name


@given('connections to "{name}" take {seconds:g} s to open')
def step_slow_connections(context, name, seconds):
    context.named = name
    network = context.fleet.network
    usual, host = network.delay, context.fleet.endpoints[name].address.host
    network.delay = lambda source, target: seconds / 2 if target == host else usual(source, target)


@given('no other "{service}" endpoint accepts connections')
def step_close_others(context, service):
    for name, endpoint in context.fleet.endpoints.items():
        if endpoint.service == service and name != context.named:
            context.fleet.run_coroutine(endpoint.stop())
    context.fleet.run(8)


async def act_after(seconds, act):
    """Call an asynchronous function after a time and return its result."""
    await asyncio.sleep(seconds)
    return await act()


@when(
    "it says that it is draining {seconds:g} s after a client of "
    '"{zone}" sent {count:d} "{kind}" requests'
)
def step_drain_meanwhile(context, seconds, zone, count, kind):
    endpoint = context.fleet.endpoints[context.named]

    async def drain():
        endpoint.state = "draining"
        return await endpoint.send_heartbeat()

    draining = context.fleet.loop.create_task(act_after(seconds, drain))
    context.answers = send(context, zone, kind, count)
    assert context.fleet.run_coroutine(draining)


@attrs.frozen
class SuspendedClock:
    """The clock of a process that was suspended for a time."""

    clock: object
    suspended: timedelta

    def monotonic(self):
        """Return the time, including the time of the suspension."""
        return self.clock.monotonic() + self.suspended


@when(
    'the entry VM of "{zone}" is suspended for {duration:g} s, {seconds:g} s after a client sent '
    'a "{kind}" request'
)
def step_suspend(context, zone, duration, seconds, kind):
    state = context.fleet.entries[f"front-{zone}-2"].state

    async def suspend():
        state.clock = SuspendedClock(state.clock, timedelta(seconds=duration))

    context.fleet.loop.create_task(act_after(seconds, suspend))
    context.answers = send(context, zone, kind, 1)


@then("the client gets {status:d}")
def step_client_status(context, status):
    assert [answer[0] for answer in context.answers] == [status], context.answers


@then('none of them ran at "{name}"')
def step_none_ran(context, name):
    assert not context.new_runs[name], context.new_runs


@when('the endpoint "{name}" departs through the control VM of "{zone}"')
def step_depart(context, name, zone):
    endpoint = context.fleet.endpoints[name]
    endpoint.owner_address = None
    endpoint.controls = (Address(context.fleet.host(zone, 1), CONTROL_PORT),)
    context.acknowledged = context.fleet.run_coroutine(
        endpoint.send_heartbeat("/-/Instances.Deregister/")
    )
    endpoint.task.cancel()
    context.departed = name


@then("its call is acknowledged")
def step_acknowledged(context):
    assert context.acknowledged


@then("its call isn't acknowledged")
def step_not_acknowledged(context):
    assert not context.acknowledged


def list_leader_missing(context):
    """Return the log lines on a missing leader, by control VM."""
    return {
        vm: [json.loads(line) for line in log.getvalue().splitlines() if "leader_missing" in line]
        for vm, log in context.fleet.logs.items()
        if vm.startswith("core-")
    }


@then("it has logged once that it hears from no leader, and that it received nothing")
def step_leader_missing(context):
    (line,) = list_leader_missing(context)["core-varna-a-1"]
    assert line["received"] == {} and line["voter"] and line["members"] == len(ZONES), line
    assert line["seconds"] >= 2, line


@then("the other control VMs haven't logged this")
def step_others_have_leader(context):
    others = {vm: lines for vm, lines in list_leader_missing(context).items() if lines}
    assert set(others) == {"core-varna-a-1"}, others


@then('none of {count:d} "{kind}" requests of "{zone}" runs at this endpoint')
def step_none_at_departed(context, count, kind, zone):
    check_not_run_at(context, count, kind, zone, context.departed)


@then('none of {count:d} "{kind}" requests of "{zone}" runs at "{name}"')
def step_none_at(context, count, kind, zone, name):
    check_not_run_at(context, count, kind, zone, name)


def check_not_run_at(context, count, kind, zone, name):
    """Check that requests are served, and none of them by the endpoint `name`.

    They are sent in groups that the slots of a region and its queue can take.
    """
    for start in range(0, count, GROUP_SIZE):
        answers = send(context, zone, kind, min(GROUP_SIZE, count - start))
        assert {answer and answer[0] for answer in answers} == {200}, answers
        assert not context.new_runs[name], context.new_runs


@then('some of {count:d} "{kind}" requests of "{zone}" run at "{name}"')
def step_some(context, count, kind, zone, name):
    send(context, zone, kind, count)
    assert context.new_runs[name], context.new_runs


@any_step('the entry VM of "{zone}" is killed')
def step_kill(context, zone):
    context.fleet.kill(f"front-{zone}-2")
    context.killed = context.fleet.host(zone, 2)


@then('"{name}" has another owner')
def step_owner(context, name):
    owner = context.fleet.endpoints[name].owner_address
    assert owner is not None and owner.host != context.killed, owner


@when('a client of "{zone}" sends {count:d} "read" requests while its entry VM stops')
def step_stop(context, zone, count):
    fleet = context.fleet
    node = fleet.entries.pop(f"front-{zone}-2")
    context.stopped = Address(fleet.host(zone, 2), FRONT_PORT)
    context.stopped_zone = zone

    async def stop():
        await asyncio.sleep(0.05)
        started = fleet.clock.monotonic()
        await stop_gracefully(node)
        return (fleet.clock.monotonic() - started).total_seconds()

    async def stop_and_send():
        requests = [fleet.request(zone, "/read/x", key=f"k{number}") for number in range(count)]
        return await asyncio.gather(stop(), *requests)

    context.stop_s, *context.answers = fleet.run_coroutine(stop_and_send())


@then("the process ends within {seconds:g} s")
def step_ended(context, seconds):
    assert context.stop_s <= seconds, context.stop_s


@then("the lookup response doesn't contain its address")
def step_directory(context):
    zone = context.stopped_zone
    target = f"/-/resolve?name=water.example&region={zone[:-2]}&zone={zone}"
    answer = context.fleet.call(zone, LOOKUP_PORT, "GET", target)
    named = json.loads(answer[2])["frontAddresses"]
    assert named and str(context.stopped) not in named, named


@when('the operator evacuates "{zone}"')
def step_evacuate(context, zone):
    assert context.fleet.send_operator_call(f"/-/Evacuations.Start/{zone}")[0] == 200


@when('the operator ends the evacuation of "{zone}"')
def step_end_evacuation(context, zone):
    for _ in range(2):  # A repeated call is acknowledged as well.
        assert context.fleet.send_operator_call(f"/-/Evacuations.Finish/{zone}")[0] == 200


@when('the operator submits a configuration in which "{kind}" may run only in "{region}"')
def step_home(context, kind, region):
    routes = [make_route("read", f"/{kind}/", "safe", "status", allowedRegions=[region])]
    assert (
        context.fleet.send_operator_call("/-/Config.Put", make_configuration(2, routes))[0] == 200
    )
    context.fleet.run(2)


@given('the operator submits a configuration in which "{name}" has the kind "{kind}"')
def step_kind(context, name, kind):
    configuration = make_configuration(2, [make_route(name, f"/{name}/", kind, "status")])
    assert context.fleet.send_operator_call("/-/Config.Put", configuration)[0] == 200
    context.fleet.run(2)


@then('all of {count:d} "{kind}" requests of "{zone}" run in "{region}"')
def step_run_home(context, count, kind, zone, region):
    answers = send(context, zone, kind, count)
    assert {answer and answer[0] for answer in answers} == {200}, answers
    used = {name for name, runs in context.new_runs.items() if runs}
    assert used and all(f"-{region}-" in name for name in used), used


@when("the operator tries to submit {configuration}")
def step_submit(context, configuration):
    body = {
        "configuration 1 again": make_configuration(1),
        "configuration 1 with other content": make_configuration(1, []),
        "configuration 0": make_configuration(0),
        "an invalid configuration 9": make_configuration(
            9, [make_route("read", "/read/", "safe", "none")]
        ),
        "half a configuration": make_configuration(9)[:200],
    }[configuration]
    context.answer = context.fleet.send_operator_call("/-/Config.Put", body)


@then("the answer is {status:d} and configuration 1 is read back")
def step_read_back(context, status):
    assert context.answer[0] == status, context.answer
    context.fleet.run(1)
    answer = context.fleet.send_operator_call("/-/Config.Get", method="GET")
    assert json.loads(answer[2]) == json.loads(make_configuration(1)), answer


INPUTS = {
    "a head with two lengths": (
        b"POST /file/x HTTP/1.1\r\nHost: water.example\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "a broken chunk size": (
        b"POST /file/x HTTP/1.1\r\nHost: water.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"
    ),
    "a head over the limit": b"GET /read/x HTTP/1.1\r\nX: " + b"a" * 20_000,
    "bytes that aren't HTTP": b"\x16\x03\x01\x02\x00\r\n\r\n",
    "200000 brackets as heartbeat": (
        b"POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"
        + b"[" * 200_000
    ),
    "a head that stops": b"GET /read/x HTTP/1.1\r\nHost: water.exam",
    "a head in single bytes": b"GET /read/x HTTP/1.1\r\nHost: water.exam",
    "a path that doesn't exist": b"GET /-/nothing HTTP/1.1\r\nHost: x\r\n\r\n",
}
LISTENERS = {
    "front": (2, FRONT_PORT),
    "inner": (2, PEER_PORT),
    "control": (1, CONTROL_PORT),
    "lookup": (1, LOOKUP_PORT),
}


@when("the input {what} reaches the {listener} listener")
def step_input(context, what, listener):
    number, port = LISTENERS[listener]
    address = Address(context.fleet.host("sofia-a", number), port)

    async def exchange():
        stream = await context.fleet.network.host(CLIENT_HOST).connect(address)
        with contextlib.suppress(ConnectionError):
            step = 1 if what.endswith("single bytes") else 10_000
            for start in range(0, len(INPUTS[what]), step):
                await stream.write(INPUTS[what][start : start + step])
                if step == 1:
                    await asyncio.sleep(BYTE_INTERVAL_S)
        received = b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(20):
                while part := await stream.read():
                    received += part
        stream.abort()
        return received

    context.received = context.fleet.run_coroutine(exchange())


@then("the answer is {status:d} or the connection is closed")
def step_input_answer(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received[:200]


@then('a client of "{zone}" is still served')
def step_still_served(context, zone):
    assert send(context, zone, "read", 1)[0][0] == 200
    assert set(context.fleet.entries) == {f"front-{item}-2" for item in ZONES}


@given("configuration 2 with a time limit of {limit:d} ms, and endpoints that take {seconds:g} s")
def step_slow_endpoints(context, limit, seconds):
    route = make_route("file", "/file/", "unsafe", "filing", timeoutMs=limit)
    assert context.fleet.send_operator_call("/-/Config.Put", make_configuration(2, [route]))
    context.fleet.run(3)
    for endpoint in context.fleet.endpoints.values():
        endpoint.service_time_s = seconds
        endpoint.slots = MANY_SLOTS
    context.fleet.run(2)


@when(
    'a client of "{zone}" sends a "file" request each {gap:g} s on open connections while its '
    "entry VM stops"
)
def step_send_while_stopping(context, zone, gap):
    fleet = context.fleet
    node = fleet.entries.pop(f"front-{zone}-2")
    address = Address(fleet.host(zone, 2), FRONT_PORT)
    count = int(STOP_S / gap)

    async def send(number):
        headers = (
            (b"host", b"water.example"),
            (b"request-id", b"late%d" % number),
            (b"deadline-ms", b"9000"),
        )
        network = fleet.network.host(CLIENT_HOST)
        answer = await call_address(
            network, address, "POST", "/file/x", b"b", headers, NEVER_S, number * gap
        )
        return f"late{number}", answer, fleet.clock.monotonic()

    async def stop_and_send():
        started = fleet.clock.monotonic()
        work = [asyncio.create_task(send(number)) for number in range(1, count)]
        await asyncio.sleep(gap / 2)
        await stop_gracefully(node)
        exited = fleet.clock.monotonic()
        return started, exited, await asyncio.gather(*work)

    started, exited, results = fleet.run_coroutine(stop_and_send())
    # A request that is sent as the process exits may cross the end of the connection.
    running_s = (exited - started).total_seconds() - CROSSING_S
    context.results = [
        (name, answer, (ended - started).total_seconds() - number * gap)
        for number, (name, answer, ended) in enumerate(results, 1)
        if number * gap < running_s
    ]


@then("each of them gets 200, or 503 at once with a time to return")
def step_served_or_refused(context):
    for name, answer, spent in context.results:
        assert answer is not None, name
        assert answer[0] in (200, 503), (name, answer)
        if answer[0] == 503:
            assert spent < AT_ONCE_S and float(answer[1][b"retry-after"]) > 0, (name, answer, spent)


@then("those with 503 never ran")
def step_refused_never_ran(context):
    ran = {name for item in context.fleet.endpoints.values() for name in item.runs}
    refused = {name for name, answer, _ in context.results if answer[0] == 503}
    assert not ran & refused, ran & refused


@then("some of them got 200, and some of them 503")
def step_both(context):
    assert {answer[0] for _, answer, _ in context.results} == {200, 503}


@given(
    'configuration 2 with a time limit of {limit:d} ms in "{region}", and endpoints that take '
    "{seconds:g} s"
)
def step_long_runs(context, limit, region, seconds):
    route = make_route("read", "/read/", "safe", "status", timeoutMs=limit, allowedRegions=[region])
    assert context.fleet.send_operator_call("/-/Config.Put", make_configuration(2, [route]))
    context.fleet.run(3)
    for endpoint in context.fleet.endpoints.values():
        endpoint.service_time_s = seconds


@given(
    '{running:d} "read" requests of "{first}" and then {waiting:d} of "{zone}" have been sent '
    "{seconds:g} s ago"
)
def step_running_and_waiting(context, running, first, waiting, zone, seconds):
    fleet = context.fleet

    async def send(number, sender):
        request = fleet.request(
            sender, "/read/x", key=f"k{number}", left=LONG_DEADLINE_MS, limit_s=NEVER_S
        )
        name = f"q{fleet.next_request + 1}"
        answer = await request
        return name, answer, fleet.clock.monotonic()

    async def start():
        tasks = []
        for count, sender in ((running, first), (waiting, zone)):
            for number in range(count):
                tasks.append(asyncio.create_task(send(number, sender)))
                await asyncio.sleep(0)
            await asyncio.sleep(seconds)
        return tasks

    context.sent = fleet.run_coroutine(start())


@when('the entry VM of "{zone}" stops')
def step_stops(context, zone):
    fleet = context.fleet
    context.signalled = fleet.clock.monotonic()
    context.begun = {name for item in fleet.endpoints.values() for name in item.runs}
    fleet.run_coroutine(stop_gracefully(fleet.entries.pop(f"front-{zone}-2")))


@then(
    "those of the last {count:d} that no endpoint ran by then get {statuses} within {seconds:g} s"
)
def step_waiting_answered(context, count, statuses, seconds):
    results = context.fleet.run_coroutine(asyncio.wait_for(asyncio.gather(*context.sent), NEVER_S))
    waited = [item for item in results[-count:] if item[0] not in context.begun]
    assert waited, results
    ran = {name for item in context.fleet.endpoints.values() for name in item.runs}
    for name, answer, ended in waited:
        assert answer is not None, (name, name in ran)
        assert str(answer[0]) in statuses.split(" or "), (name, answer)
        spent = (ended - context.signalled).total_seconds()
        assert 0 <= spent <= seconds, (name, spent)
        if answer[0] == 503:
            assert name not in ran and float(answer[1][b"retry-after"]) > 0, (name, answer)
