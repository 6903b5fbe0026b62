"""Steps of requests on behalf of organisations, on the fleet."""

import asyncio
import json
from datetime import timedelta
from unittest import mock

from behave import given, then, when
from behave import step as any_step

from camphorspread.connection.client import open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead, find_header
from camphorspread.connection.network import Address
from camphorspread.platform.routing_codec import decode_table
from camphorspread.request.peer_forward_codec import (
    FORWARD_HEADER,
    ForwardMetadata,
    decode_forward_result,
    encode_forward,
)
from features.fixtures.memory_network import MemoryStream
from features.fixtures.platform_endpoint import call_address
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    CONTROL_PORT,
    FRONT_PORT,
    PEER_PORT,
    ZONES,
    make_configuration,
    make_route,
)

ENDPOINT_PORT = 8080
LIMITS = ConnectionLimits()
METRICS_PORTS = (9464, 9465)
START_WAIT_S = 6
# Runs after which the measured run times are near the real ones, so that requests are queued.
MEASURED_RUNS = 30
LONG_LIMIT_MS, LONG_PROMISE_MS = 9500, 8500
KEY_BYTES = b"key-"
KEYS = ("key-acme-1", "key-acme-2", "key-acme-3", "key-bolt-1", "key-none-1")


def make_organisations(text):
    """Return organisations such as `acme: key-1 key-2; cork: key-3 in varna`."""
    values = []
    for item in text.split("; "):
        name, _, rest = item.partition(": ")
        keys, _, regions = rest.partition(" in ")
        values.append({"name": name, "apiKeys": keys.split(), "allowedRegions": regions.split()})
    return values


def make_document(context, text):
    """Return the next configuration, with these organisations."""
    fields = getattr(context, "route_fields", {})
    context.revision = getattr(context, "revision", 0) + 1
    routes = [
        make_route("read", "/read/", "safe", "status", **fields),
        make_route("file", "/file/", "unsafe", "filing", **fields),
        make_route("open", "/open/", "safe", "status", public=True),
        make_route("near", "/near/", "safe", "status", allowedRegions=["sofia"]),
    ]
    return make_configuration(context.revision, routes, make_organisations(text))


def put(context, text):
    """Submit a configuration with these organisations; it is in force when this returns."""
    body = make_document(context, text)
    answer = context.fleet.send_operator_call("/-/Config.Put", body)
    assert answer[0] == 200, answer


def watch_streams(context):
    """Record what entry VMs send to endpoints and to each other."""
    context.sent = []
    own_hosts = {node.state.settings.peers.host for node in context.fleet.entries.values()}
    usual = MemoryStream.send

    def send(stream, data):
        if stream.own.host in own_hosts and stream.peer.port in (PEER_PORT, ENDPOINT_PORT):
            context.sent.append(bytes(data))
        return usual(stream, data)

    patch = mock.patch.object(MemoryStream, "send", send)
    patch.start()
    context.add_cleanup(patch.stop)


@given('the organisations are "{text}"')
def step_organisations(context, text):
    put(context, text)
    context.fleet.run(2)
    watch_streams(context)


@when('the organisations become "{text}"')
def step_change(context, text):
    put(context, text)


@given("keys are revoked strictly, after {limit:d} ms without contact")
def step_strict(context, limit):
    context.fleet.more_settings = (
        "terms.bounds.strictRevoke=true",
        f"terms.bounds.revokeMs={limit}",
    )


@given('a fleet with "{service}" endpoints in "{zone}" only')
def step_one_zone(context, service, zone):
    context.fleet.start_all()
    for number in range(2):
        name = f"{service}-{zone}" if not number else f"{service}-{zone}-{number}"
        context.fleet.add_endpoint(name, service, zone)
    context.fleet.run(START_WAIT_S)


def parse_headers(text):
    """Return the headers that a step lists."""
    if text == "none":
        return ()
    pairs = (item.partition(": ") for item in text.split(" / "))
    return tuple((name.encode(), value.encode()) for name, _, value in pairs)


def send_raw(context, zone, headers, path="/read/x", body=b"", framing=()):
    """Send bytes to an entry VM; return status and headers of the response."""
    fleet = context.fleet
    fleet.next_request += 1
    context.own_headers = (
        (b"Host", b"water.example"),
        (b"Request-Id", b"q%d" % fleet.next_request),
        *headers,
    )
    lines = [b"%s: %s" % item for item in (*context.own_headers, *framing)]
    method = b"POST" if body else b"GET"
    data = b"%s %s HTTP/1.1\r\n%s\r\n\r\n%s" % (method, path.encode(), b"\r\n".join(lines), body)

    async def send():
        address = Address(fleet.host(zone, 2), FRONT_PORT)
        stream = await fleet.network.host(CLIENT_HOST).connect(address)
        await stream.write(data)
        received = b""
        async with asyncio.timeout(10):
            while b"\r\n\r\n" not in received:
                part = await stream.read()
                if not part:
                    break
                received += part
        stream.abort()
        return received

    context.response = fleet.run_coroutine(send())
    context.status = int(context.response.split(b" ", 2)[1])


@when('a client of "{zone}" sends a "{route}" request with the headers "{headers}"')
def step_request(context, zone, route, headers):
    body = b"form" if route == "file" else b""
    framing = ((b"Content-Length", b"%d" % len(body)),) if body else ()
    send_raw(context, zone, parse_headers(headers), f"/{route}/x", body, framing)


@when('a client of "{zone}" sends a body with the trailers "{trailers}"')
def step_trailer(context, zone, trailers):
    lines = b"".join(b"%s: %s\r\n" % item for item in parse_headers(trailers))
    headers = ((b"Authorization", b"Token key-acme-1"), (b"Trailer", b"Tenant, Authorization"))
    framing = ((b"Transfer-Encoding", b"chunked"),)
    send_raw(context, zone, headers, "/file/x", b"4\r\nform\r\n0\r\n%s\r\n" % lines, framing)


def list_heads(context):
    """Return the headers of all requests that endpoints got."""
    return [head for item in context.fleet.endpoints.values() for head in item.heads]


def find_identity_headers(head):
    """Return the headers of a head that identify its caller."""
    return tuple(item for item in head if item[0] in (b"tenant", b"authorization"))


@then('it gets {status:d} and an endpoint gets "{sent}"')
def step_result(context, status, sent):
    assert context.status == status, context.response
    heads = list_heads(context)
    if sent == "nothing":
        assert not heads, heads
    else:
        found = [find_identity_headers(head) for head in heads]
        assert found == [parse_headers(sent) if sent else ()], heads
    if status == 401:
        assert b"www-authenticate: token" in context.response.lower(), context.response


@then('it gets {status:d} and an endpoint gets ""')
def step_result_unnamed(context, status):
    step_result(context, status, "")


@then("the endpoint gets the client's headers, its own name and the time left, and nothing else")
def step_as_before(context):
    assert context.status == 200, context.response
    (endpoint,) = (item for item in context.fleet.endpoints.values() if item.heads)
    (head,) = endpoint.heads
    own = tuple((name.lower(), value) for name, value in context.own_headers)
    left = find_header(head, b"deadline-ms")
    expected = (
        *own,
        (b"deadline-ms", left),
        (b"expected-instance", endpoint.instance.encode()),
    )
    assert head == expected, head


@then("entry VMs have stated no organisation to each other")
def step_no_statement(context):
    assert not any(item.state.metrics.key_refusals for item in context.fleet.entries.values())
    logs = "".join(log.getvalue() for log in context.fleet.logs.values())
    assert "organisation" not in logs and "key_refused" not in logs


def authorize(key):
    """Return the header with a key."""
    return ((b"authorization", b"Token " + key.encode()),)


@when('clients of "{zone}" send {count:d} "{route}" requests with the key "{key}"')
def step_requests(context, zone, count, route, key):
    fleet = context.fleet
    for endpoint in fleet.endpoints.values():
        endpoint.heads.clear()
    context.sent.clear()

    async def send_all():
        return await asyncio.gather(
            *(
                fleet.request(zone, f"/{route}/x", key=f"k{number}", more_headers=authorize(key))
                for number in range(count)
            )
        )

    context.answers = fleet.run_coroutine(send_all())
    context.zone = zone


@then("each of these requests gets {status:d}")
def step_all(context, status):
    assert {answer and answer[0] for answer in context.answers} == {status}, context.answers


def check_heads(context, name):
    """Check that all requests that endpoints got are those of one organisation."""
    heads = list_heads(context)
    assert heads
    expected = ((b"tenant", name.encode()),) if name else ()
    assert {find_identity_headers(head) for head in heads} == {expected}, heads
    return heads


@then('all of them ran for "{name}" and some of them came from another region')
def step_forwarded(context, name):
    check_heads(context, name)
    assert any(b'"organisation":"%s"' % name.encode() in data for data in context.sent)


@then('all of them ran for "{name}"')
def step_ran_for(context, name):
    check_heads(context, name)


@then('each of them ran in "{region}" for "{name}"')
def step_ran_in(context, name, region):
    check_heads(context, name)
    ran = {item.zone[:-2] for item in context.fleet.endpoints.values() if item.heads}
    assert ran == {region}, ran


@then("none of them left their entry VM")
def step_not_forwarded(context):
    assert not list_heads(context)
    assert not [data for data in context.sent if FORWARD_HEADER in data.lower()]


@then("some of them were sent more than once")
def step_repeated(context):
    repeats = sum(
        sum(item.state.metrics.repeats.values()) for item in context.fleet.entries.values()
    )
    assert repeats, "no request was repeated"


@then("no entry VM has sent a key to an endpoint or to another entry VM")
def step_no_key_sent(context):
    assert context.sent
    leaks = [data for data in context.sent if KEY_BYTES in data]
    assert not leaks, leaks[:2]


@given('in "{region}" each "{service}" endpoint {fault}')
def step_faults(context, service, region, fault):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service and endpoint.zone.startswith(f"{region}-"):
            endpoint.fault = {"rejects everything": "shed"}.get(fault, "reset")


async def send_on(fleet, conn, key):
    """Send a request on an open connection and return the status of its response."""
    fleet.next_request += 1
    headers = (
        (b"host", b"water.example"),
        (b"request-id", b"q%d" % fleet.next_request),
        *authorize(key),
    )
    await conn.send_head(RequestHead(b"GET", b"/read/x", headers))
    await conn.finish_request()
    head = await conn.read_final_head()
    while await conn.read_body():
        pass
    assert conn.is_reusable
    conn.prepare_next_request()
    return head.status


@when('each entry VM gets a request with the key "{key}" on a connection that stays open')
def step_open(context, key):
    fleet = context.fleet

    async def open_all():
        network = fleet.network.host(CLIENT_HOST)
        return [
            await open_connection(network, Address(fleet.host(zone, 2), FRONT_PORT), LIMITS)
            for zone in ZONES
        ]

    context.connections = fleet.run_coroutine(open_all())
    step_same_connection(context, key)


@when('each entry VM gets a request with the key "{key}" on the same connection')
def step_same_connection(context, key):
    fleet = context.fleet

    async def send_all():
        return await asyncio.gather(*(send_on(fleet, conn, key) for conn in context.connections))

    context.statuses = fleet.run_coroutine(send_all())


@then("each of them gets {status:d}")
def step_each(context, status):
    assert set(context.statuses) == {status}, context.statuses


@given(
    'a fleet with one busy "{service}" endpoint that takes {seconds:d} s, and the organisations '
    '"{text}"'
)
def step_busy(context, service, seconds, text):
    fleet = context.fleet
    context.route_fields = {"timeoutMs": LONG_LIMIT_MS, "targetLatencyMs": LONG_PROMISE_MS}
    fleet.start_all()
    context.endpoint = fleet.add_endpoint(
        f"{service}-sofia-a", service, "sofia-a", slots=1, service_time_s=float(seconds)
    )
    fleet.run(START_WAIT_S)
    step_organisations(context, text)
    for _ in range(MEASURED_RUNS):
        answer = fleet.run_coroutine(send_long(fleet, "key-bolt-1"))
        assert answer is not None and answer[0] == 200, answer
    context.running = []
    while not count_queued(context):
        context.running.append(fleet.loop.create_task(send_long(fleet, "key-bolt-1")))
        fleet.run(0.05)
    context.endpoint.heads.clear()


async def send_long(fleet, key):
    """Send a request that may wait for long; return its response."""
    return await fleet.request(
        "sofia-a", "/read/x", left=LONG_LIMIT_MS, more_headers=authorize(key)
    )


async def measure(fleet, work):
    """Return the result of a coroutine and the time that it took, in seconds."""
    started = fleet.loop.time()
    return await work, fleet.loop.time() - started


def count_queued(context):
    """Return the number of requests that wait at the entry VM."""
    return context.fleet.entries["front-sofia-a-2"].state.waiting.count("status")


@when(
    'a request with the key "{first}" and one with "{second}" are queued, and the organisations '
    'become "{text}"'
)
def step_queue(context, first, second, text):
    fleet = context.fleet
    tasks = [
        fleet.loop.create_task(measure(fleet, send_long(fleet, key))) for key in (first, second)
    ]
    fleet.run(0.1)
    assert count_queued(context) == 3, count_queued(context)
    put(context, text)
    assert not context.running[0].done()
    (first_result, context.first_s), (context.second, _) = (
        fleet.run_coroutine(task) for task in tasks
    )
    context.first = first_result


@then("the first one gets {status:d} within {seconds:g} s and never runs")
def step_first(context, status, seconds):
    assert context.first[0] == status and context.first_s <= seconds, (
        context.first,
        context.first_s,
    )
    assert status != 503 or float(context.first[1][b"retry-after"]) > 0, context.first
    context.fleet.run(3)
    ran = [find_identity_headers(head) for head in context.endpoint.heads]
    assert ((b"tenant", b"acme"),) not in ran, ran
    assert count_queued(context) == 0


@then('the other one gets {status:d} and runs for "{name}"')
def step_other(context, status, name):
    assert context.second[0] == status, context.second
    # The request that was queued before these is one of the same organisation.
    queued = context.fleet.run_coroutine(context.running[-1])
    assert queued[0] == status, queued
    ran = [find_identity_headers(head) for head in context.endpoint.heads]
    assert ran == ([((b"tenant", name.encode()),)] * 2 if name else []), ran


@then('the other one gets {status:d} and runs for ""')
def step_other_none(context, status):
    step_other(context, status, "")


async def forward(context, more_headers=(), left_s=8, **fields):
    """Forward a request to the entry VM of sofia-a as another VM would."""
    fleet = context.fleet
    fleet.next_request += 1
    headers = (
        (b"host", b"water.example"),
        (b"request-id", b"q%d" % fleet.next_request),
        *more_headers,
    )
    left = timedelta(seconds=left_s)
    metadata = ForwardMetadata("status", "read", "read/1", 1, left, left, left, **fields)
    head = encode_forward(RequestHead(b"GET", b"/read/x", headers), metadata)
    address = Address(fleet.host("sofia-a", 2), PEER_PORT)
    network = fleet.network.host(CLIENT_HOST)
    return await call_address(network, address, "GET", "/read/x", b"", head.headers, 10)


@when(
    'a request that another VM forwarded for "{name}" is queued, and the organisations become '
    '"{text}"'
)
def step_queue_forwarded(context, name, text):
    fleet = context.fleet
    task = fleet.loop.create_task(
        forward(context, organisation=name, routes_revision=context.revision)
    )
    fleet.run(0.1)
    assert count_queued(context) == 2, count_queued(context)
    put(context, text)
    assert not context.running[0].done()
    context.answer = fleet.run_coroutine(task)


@when('another VM forwards a request {kind} to "sofia-a"')
def step_forward(context, kind):
    match kind.split('"'):
        case ["for ", name, ""]:
            work = forward(context, organisation=name, routes_revision=context.revision)
        case ["for ", name, " of newer routes"]:
            work = forward(context, organisation=name, routes_revision=context.revision + 1)
        case _:
            claim = (*authorize("key-acme-1"), (b"tenant", b"acme"))
            work = forward(context, claim)
    context.answer = context.fleet.run_coroutine(work)


@then("the other VM gets {result}")
def step_forward_result(context, result):
    status, headers, _ = context.answer
    facts = decode_forward_result(RequestHead(b"", b"", tuple(headers.items())))
    outcome, _, rest = result.partition(" ")
    assert facts.outcome.value == outcome.removesuffix(","), (status, facts)
    if outcome == "not_run,":
        assert facts.kind.value == rest and facts.sends == 0, facts
        assert not list_heads(context)
    elif rest:
        check_heads(context, rest.removeprefix('for "').removesuffix('"'))


@when(
    'a client of "{zone}" sends a "read" request with the key "{key}" and {delay:g} s later the '
    'organisations become "{text}"'
)
def step_change_meanwhile(context, zone, key, delay, text):
    fleet = context.fleet
    changed = decode_table(make_document(context, text)).unwrap()

    def apply():
        for node in fleet.entries.values():
            node.state.table = changed

    async def send():
        fleet.loop.call_later(delay, apply)
        return await fleet.request(zone, "/read/x", more_headers=authorize(key))

    answer = fleet.run_coroutine(send())
    context.status = answer[0]
    context.response = b"".join(b"%s: %s\r\n" % item for item in answer[1].items())


@then("it gets {status:d}")
def step_status(context, status):
    assert context.status == status, context.response


@then("it ran {count:d} times")
def step_runs(context, count):
    assert len(list_heads(context)) == count, list_heads(context)


@then("no slot is in use")
def step_free(context):
    for node in context.fleet.entries.values():
        for instance in node.state.board.registry.instances.values():
            assert instance.in_flight == 0, (instance.name, instance.in_flight)


def cut(context, zone):
    """Cut the entry VM of a zone off from all control VMs."""
    fleet = context.fleet
    fleet.network.cut({fleet.host(zone, 2)}, {fleet.host(item, 1) for item in ZONES})


@given('the entry VM of "{zone}" hears every control VM')
def step_in_contact(context, zone):
    context.fleet.run(1)


@given('the entry VM of "{zone}" is cut off from them for {duration:g} s')
def step_cut_off(context, zone, duration):
    cut(context, zone)
    context.fleet.run(duration)


@given('the entry VM of "{zone}" was cut off from them for {duration:g} s')
def step_was_cut_off(context, zone, duration):
    step_cut_off(context, zone, duration)
    context.fleet.network.heal()
    context.fleet.run(3)


@given('the entry VM of "{zone}" has heard of a newer catalogue')
def step_behind(context, zone):
    state = context.fleet.entries[f"front-{zone}-2"].state
    state.announced_version = state.catalogue_version + 1


@given('the entry VM of "{zone}" has just been restarted')
def step_restarted(context, zone):
    context.fleet.kill(f"front-{zone}-2")
    context.fleet.start_entry(zone)
    context.fleet.run(1.5)


@when('all control VMs and the entry VM of "{zone}" are killed, and the latter is restarted')
def step_restarted_alone(context, zone):
    fleet = context.fleet
    for vm in list(fleet.controls):
        fleet.kill(vm)
    fleet.kill(f"front-{zone}-2")
    fleet.start_entry(zone)
    fleet.run(1.5)


def check_request(context, zone, headers, expected):
    """Send a request and compare its status, with a time to return if it is expected."""
    fleet = context.fleet
    answer = fleet.run_coroutine(fleet.request(zone, "/read/x", more_headers=headers))
    status, _, rest = expected.partition(" ")
    assert answer is not None and answer[0] == int(status), answer
    if rest:
        assert float(answer[1][b"retry-after"]) > 0, answer
    assert answer[0] != 401 or answer[1][b"www-authenticate"] == b"Token", answer


@then('a request of "{zone}" with the key "{key}" gets {expected}')
def step_expect(context, zone, key, expected):
    check_request(context, zone, authorize(key), expected)


@then('a request of "{zone}" without a key gets {expected}')
def step_expect_keyless(context, zone, expected):
    check_request(context, zone, (), expected)


@any_step("clients of each zone send requests with all keys, also unknown ones, and malformed ones")
def step_mixed(context):
    fleet = context.fleet
    odd = (
        ((b"authorization", b"Basic key-acme-1"),),
        ((b"authorization", b"Token key-acme-1 key-acme-2"),),
        (*authorize("key-acme-1"), *authorize("key-bolt-1")),
        (*authorize("key-acme-1"), (b"tenant", b"key-bolt-1")),
        (),
    )

    async def send_all():
        # The scheme of other systems passes on the public route, so that it has no odd requests.
        paths = [("GET", "/read/x", b""), ("POST", "/file/x", b"form")]
        known = [authorize(key) for key in KEYS]
        return await asyncio.gather(
            *(
                fleet.request(zone, path, method, body, more_headers=headers)
                for zone in ZONES
                for method, path, body in paths
                for headers in (*known, *odd)
            ),
            *(
                fleet.request(zone, "/open/x", more_headers=headers)
                for zone in ZONES
                for headers in known
            ),
        )

    answers = fleet.run_coroutine(send_all())
    statuses = {answer and answer[0] for answer in answers}
    assert {200, 401} <= statuses, statuses
    context.texts = getattr(context, "texts", []) + [repr(answer) for answer in answers]


@when("the operator tries configurations that share a key, can't be read or aren't UTF-8")
def step_invalid(context):
    shared = json.loads(make_document(context, "acme: key-acme-1; bolt: key-acme-1"))
    odd = json.loads(make_document(context, "acme: key-acme-1"))
    odd["tenants"][0]["apiKeys"] = "key-acme-1"
    moved = json.loads(make_document(context, "acme: key-acme-1"))
    moved["routes"][0]["timeoutMs"] = "key-acme-1"
    documents = [json.dumps(item).encode() for item in (shared, odd, moved)]
    documents += [documents[0].replace(b"acme", b"ac\xffme"), json.dumps(odd).encode("utf-16")]
    for data in documents:
        for zone in ZONES[:2]:
            answer = context.fleet.call(zone, CONTROL_PORT, "POST", "/-/Config.Put", data)
            assert answer is None or answer[0] != 200, answer
            context.texts.append(repr(answer))


@then("no log, metric, response or error text contains a key")
def step_nowhere(context):
    fleet = context.fleet
    texts = list(context.texts)
    texts += [log.getvalue() for log in fleet.logs.values()]
    network = fleet.network.host(CLIENT_HOST)
    addresses = [item for item in fleet.network.listeners if item.port in METRICS_PORTS]
    assert len(addresses) == 2 * len(ZONES), addresses
    for address in addresses:
        answer = fleet.run_coroutine(call_address(network, address, "GET", "/metrics"))
        assert answer is not None and answer[0] == 200, answer
        texts.append(answer[2].decode())
    context.metrics = texts[-len(addresses) :]
    found = [text[:400] for text in texts if KEY_BYTES.decode() in text]
    assert not found, found[:3]


@then("refused keys are logged and counted by reason")
def step_counted(context):
    lines = [
        json.loads(line)
        for log in context.fleet.logs.values()
        for line in log.getvalue().splitlines()
        if '"key_refused"' in line
    ]
    events = [item for item in lines if item["event"] == "key_refused"]
    assert {"missing", "malformed", "unknown"} <= {item["reason"] for item in events}
    assert all(item["route"] in ("read", "file") and item["revision"] for item in events), events
    assert all(item["contact_age_ms"] >= 0 for item in events), events
    for reason in ("missing", "malformed", "unknown"):
        name = f'camphorspread_steering_key_refusals_total{{reason="{reason}"}}'
        assert any(name in text for text in context.metrics), name
