"""Steps of the relay, with backend servers that violate HTTP, stall or fail."""

import asyncio
import contextlib

import h11
from behave import given, then, when

from camphorspread.connection.client import open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.connection.server import HttpServer
from camphorspread.version.catalogue import ServiceClass, ServiceEntry
from features.fixtures.owner import (
    OWNER_HOST,
    add_backend,
    add_service,
    caller_head,
    owner_state,
    publish_owner_slots,
    run,
)
from features.fixtures.session import call

SERVICE = "docs-svc"
TARGET = f"/s/{SERVICE}/plans"
LONG_LIMIT_MS = 60000


def add_docs_service(context, handler=None, slots=2):
    entry = ServiceEntry(
        SERVICE, "plans", ServiceClass.UPLOAD, 10, 100, request_time_limit_ms=LONG_LIMIT_MS
    )
    add_service(context, entry)
    context.backend = add_backend(context, SERVICE, "docs-1", slots, handler=handler)
    publish_owner_slots(context, SERVICE, slots)


def caller_address(context, number=0):
    return context.fleet.plan.entry_vms()[number].callers


async def read_head_bytes(stream):
    received = b""
    while b"\r\n\r\n" not in received:
        try:
            part = await stream.read()
        except ConnectionError:
            return None
        if not part:
            return None
        received += part
    return received


async def read_all(stream):
    """Return what was received and whether the stream was reset."""
    received = b""
    try:
        while part := await stream.read():
            received += part
    except ConnectionError:
        return received, True
    return received, False


def check_no_slot_in_use(context):
    state = owner_state(context)
    assert state.admission.in_flight.total() == 0
    endpoints = state.registry.services[SERVICE].values()
    assert all(endpoint.in_use == 0 for endpoint in endpoints)


@given('a backend server that sends "{response}" and then {end} the connection')
def step_truncating(context, response, end):
    async def handle(stream):
        await read_head_bytes(stream)
        await stream.write(response.replace(";", "\r\n").encode())
        await asyncio.sleep(0.01)
        if end == "closes":
            stream.close()
        else:
            stream.abort()

    add_docs_service(context, handle)


@when("a caller of HTTP/{version} requests it")
def step_request_version(context, version):
    async def request():
        stream = await context.caller.connect(caller_address(context))
        await stream.write(f"GET {TARGET} HTTP/{version}\r\nhost: a\r\n".encode())
        await stream.write(b"connection: close\r\n\r\n")
        return await asyncio.wait_for(read_all(stream), 20)

    context.received, context.was_reset = run(context, request())


@then("the caller received {seen} and no complete response")
def step_received(context, seen):
    head, _, body = context.received.partition(b"\r\n\r\n")
    if seen.startswith("status"):
        assert head.startswith(b"HTTP/1.1 502"), context.received
        assert b"camphorspread-outcome: unknown" in head, head
        return
    assert context.was_reset, context.received
    assert b"12345" in body and not body.endswith(b"0\r\n\r\n"), context.received


def make_response(path, extra=b""):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s%s" % (len(path), path, extra)


@given("a backend server whose connections give {fault}")
def step_faulty(context, fault):
    context.connections = 0
    context.requests = 0

    async def handle(stream):
        context.connections += 1
        while received := await read_head_bytes(stream):
            context.requests += 1
            path = received.split()[1]
            if fault == "each second response late" and context.requests % 2:
                await asyncio.sleep(0.3)
            response = make_response(path)
            with contextlib.suppress(ConnectionError):
                await stream.write(response)
                if fault == "each response twice":
                    await asyncio.sleep(0.002)
                    await stream.write(response)

    add_docs_service(context, handle)


@when("a caller sends {count:d} requests in sequence with {milliseconds:d} ms each")
def step_sequential_requests(context, count, milliseconds):
    context.bodies = {}

    async def send_all():
        header = (b"camphorspread-deadline-ms", b"%d" % milliseconds)
        for number in range(count):
            head = caller_head("POST", f"{TARGET}/{number}", header, (b"content-length", b"0"))
            reply = await call(context.caller, caller_address(context), head)
            if reply.head and reply.head.status == 200 and not reply.error:
                context.bodies[f"/plans/{number}"] = reply.body.decode()
            await asyncio.sleep(0.4)

    run(context, send_all())


@then("each response that the caller received contains the path of its own request")
def step_own_response(context):
    assert all(path == body for path, body in context.bodies.items()), context.bodies


@then("at least {served:d} requests were served on {connections:d} connections or more")
def step_served_connections(context, served, connections):
    assert len(context.bodies) >= served, context.bodies
    assert context.connections >= connections, context.connections


@given("a stub backend server with {slots:d} slots")
def step_stub(context, slots):
    add_docs_service(context, slots=slots)


@when(
    "an upload of {size:d} bytes stalls after {sent:d} bytes while {count:d} other requests"
    " are sent"
)
def step_stall(context, size, sent, count):
    async def send_stalled_upload():
        stream = await context.caller.connect(caller_address(context))
        head = f"POST {TARGET} HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n"
        await stream.write(head.encode() + b"x" * sent)
        return await read_all(stream)

    async def send_all():
        stalled = asyncio.create_task(send_stalled_upload())
        context.others = []
        for _ in range(count):
            began = context.loop.time()
            reply = await call(context.caller, caller_address(context), caller_head("GET", TARGET))
            context.others.append((reply.head.status, context.loop.time() - began))
            await asyncio.sleep(0.4)
        return await stalled

    context.stalled = run(context, send_all())


@then("the other requests got status 200 within {milliseconds:d} ms each")
def step_others(context, milliseconds):
    slow = [item for item in context.others if item[0] != 200 or item[1] * 1000 > milliseconds]
    assert not slow, slow


@then('the stalled upload got status {status:d} and "{outcome}", and no slot is in use')
def step_stalled(context, status, outcome):
    received, _ = context.stalled
    assert received.startswith(f"HTTP/1.1 {status}".encode()), received
    assert f"camphorspread-outcome: {outcome}".encode() in received, received
    check_no_slot_in_use(context)


@given("a backend server that reads only the head")
def step_head_only(context):
    async def handle(stream):
        await read_head_bytes(stream)
        await asyncio.sleep(3600)

    add_docs_service(context, handle)


@given("a backend server that reads {size:d} bytes each {milliseconds:d} ms")
def step_slow_reader(context, size, milliseconds):
    context.received_bytes = 0
    context.max_in_transit = 0

    async def handle(stream):
        head = await read_head_bytes(stream)
        context.received_bytes = len(head.partition(b"\r\n\r\n")[2])
        while context.received_bytes < context.upload_bytes:
            update_in_transit(context)
            context.received_bytes += len(await stream.read())
            await asyncio.sleep(milliseconds / 1000)
        await stream.write(make_response(b"done"))
        await stream.read()

    add_docs_service(context, handle)


def update_in_transit(context):
    """Update the maximum of the bytes that the caller sent and the backend server hasn't read."""
    context.max_in_transit = max(
        context.max_in_transit, context.sent_bytes - context.received_bytes
    )


@when("a caller uploads {size:d} bytes to it")
def step_upload_large(context, size):
    context.upload_bytes = size
    context.sent_bytes = 0

    async def send_part(conn, data):
        context.sent_bytes += len(data)
        # Bypasses the progress limit of the client connection, since this caller may wait longer.
        await conn.stream.write(conn.state.send(h11.Data(data=data)))

    async def upload():
        conn = await open_connection(context.caller, caller_address(context), ConnectionLimits())
        length = (b"content-length", b"%d" % size)
        await conn.send_head(caller_head("POST", TARGET, length))
        sending = asyncio.create_task(send_parts(conn, size))
        context.result = await conn.read_final_head()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    async def send_parts(conn, left):
        while left:
            part = min(left, 16000)
            await send_part(conn, b"x" * part)
            left -= part

    context.began = context.loop.time()
    run(context, upload())


@then("the caller received status {status:d} after {seconds:d} seconds and no slot is in use")
def step_status_after(context, status, seconds):
    assert context.result.status == status, context.result
    assert seconds <= context.loop.time() - context.began < seconds + 1
    check_no_slot_in_use(context)


@then("at most {limit:d} bytes were in transit between the caller and the backend server")
def step_in_transit(context, limit):
    assert 0 < context.max_in_transit <= limit, context.max_in_transit


@then("the backend server received {size:d} bytes")
def step_got_bytes(context, size):
    assert context.received_bytes == size and context.result.status == 200


@given("its requests take {milliseconds:d} ms")
def step_slow_stub(context, milliseconds):
    async def handle(exchange):
        context.backend.busy += 1
        try:
            await exchange.read_body()
            done = asyncio.create_task(asyncio.sleep(milliseconds / 1000))
            disconnected = asyncio.create_task(exchange.wait_for_disconnect())
            await asyncio.wait({done, disconnected}, return_when=asyncio.FIRST_COMPLETED)
            context.backend.was_cancelled = not done.done()
        finally:
            context.backend.busy -= 1
        await exchange.respond(ResponseHead(200))

    async def replace():
        address = context.backend.announcement.address
        await context.network.listeners[address].shutdown()
        await context.network.host(OWNER_HOST).listen(address, HttpServer(handle).serve)

    # Replaces the stub by an object with the attributes that this handler uses.
    context.backend = type("Backend", (), {"announcement": context.backend.announcement})()
    context.backend.busy = 0
    context.backend.was_cancelled = False
    run(context, replace())


@when("a caller of entry VM {number:d} closes its connection after {milliseconds:d} ms")
def step_close_early(context, number, milliseconds):
    async def send():
        stream = await context.caller.connect(caller_address(context, number))
        await stream.write(f"GET {TARGET} HTTP/1.1\r\nhost: a\r\n\r\n".encode())
        await asyncio.sleep(milliseconds / 1000)
        assert context.backend.busy == 1
        stream.close()

    run(context, send())


@when("a caller of entry VM {number:d} sends a deadline of {milliseconds:d} ms and gets {outcome}")
def step_deadline(context, number, milliseconds, outcome):
    header = (b"camphorspread-deadline-ms", b"%d" % milliseconds)
    began = context.loop.time()
    head = caller_head("GET", TARGET, header)
    reply = run(context, call(context.caller, caller_address(context, number), head))
    assert find_header(reply.head.headers, b"camphorspread-error") == b"deadline_exceeded", reply
    assert find_header(reply.head.headers, b"camphorspread-outcome") == outcome.encode(), reply
    assert context.loop.time() - began < (milliseconds + 20) / 1000


@then("the backend server runs no request {milliseconds:d} ms later and no slot is in use")
def step_cancelled(context, milliseconds):
    run(context, asyncio.sleep(milliseconds / 1000))
    assert context.backend.busy == 0 and context.backend.was_cancelled
    check_no_slot_in_use(context)


@when("a caller sends {count:d} requests of {size:d} bytes each without waiting")
def step_pipeline(context, count, size):
    async def send():
        stream = await context.caller.connect(caller_address(context))
        request = f"GET {TARGET} HTTP/1.1\r\nhost: a\r\nx-padding: {'y' * size}\r\n\r\n"

        async def write():
            for _ in range(count):
                await stream.write(request.encode())

        writing = asyncio.create_task(write())
        received = b""
        while received.count(b"HTTP/1.1 200") < count or not received.endswith(b"\n"):
            part = await asyncio.wait_for(stream.read(), 20)
            assert part, received[-200:]
            received += part
        await writing
        return received

    context.received = run(context, send())


@then("it received {count:d} responses of status 200 on one connection")
def step_pipelined(context, count):
    assert context.received.count(b"HTTP/1.1 200") == count
