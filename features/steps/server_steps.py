"""Steps of the HTTP server and of TCP streams, without a fleet."""

import asyncio

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.connection.network import READ_BYTES, WRITE_BYTES, Address, TcpNetwork
from camphorspread.connection.server import HttpServer
from features.fixtures.memory_network import MemoryNetwork
from features.fixtures.owner import OWNER_HOST, caller_head, run
from features.fixtures.session import CALLER_HOST, call


@given("a server whose handler {fault}")
def step_faulty_handler(context, fault):
    async def handle(exchange):
        if fault == "raises an unexpected exception":
            raise KeyError("fault")
        if fault == "ends a response that hasn't begun":
            await exchange.finish()
        await exchange.send_head(ResponseHead(200, ((b"bad name", b"x"),)))

    context.faults = []
    context.network = MemoryNetwork(lambda _source, _target: 0.0)
    server = HttpServer(handle, on_failed=context.faults.append)
    address = Address(OWNER_HOST, 7400)
    run(context, context.network.host(OWNER_HOST).listen(address, server.serve))


@when("a caller sends a request and then another one")
def step_two_requests(context):
    caller = context.network.host(CALLER_HOST)
    context.responses = [
        run(context, call(caller, Address(OWNER_HOST, 7400), caller_head("GET", "/")))
        for _ in range(2)
    ]


@then('both got status {status:d} with "{kind}" and "{outcome}" and {count:d} faults were reported')
def step_internal(context, status, kind, outcome, count):
    for reply in context.responses:
        assert reply.head is not None and reply.head.status == status, reply
        assert find_header(reply.head.headers, b"camphorspread-error") == kind.encode()
        assert find_header(reply.head.headers, b"camphorspread-outcome") == outcome.encode()
        assert not reply.error, reply
    assert len(context.faults) == count


@then(
    "a server answers {count:d} requests without a body on one connection,"
    " and closes it when a body stays unread"
)
def step_keep_open(context, count):
    async def handle(exchange):
        await exchange.respond(ResponseHead(200))

    async def check():
        network = MemoryNetwork(lambda _source, _target: 0.0)
        address = Address(OWNER_HOST, 7400)
        await network.host(OWNER_HOST).listen(address, HttpServer(handle).serve)
        stream = await network.host(CALLER_HOST).connect(address)
        for _ in range(count):
            await stream.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            assert b"close" not in (await stream.read()).lower()
        await stream.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n")
        assert b"connection: close" in (await stream.read()).lower()
        assert await stream.read() == b""

    run(context, check())


async def check_tcp():
    streams = asyncio.Queue()

    async def hold_open(stream):
        await streams.put(stream)
        await asyncio.sleep(3600)

    network = TcpNetwork()
    listener = await network.listen(Address("127.0.0.1", 0), hold_open)
    client_stream = await network.connect(listener.address)
    server_stream = await streams.get()
    await server_stream.write(b"part")
    assert await client_stream.read() == b"part"
    writing = asyncio.create_task(server_stream.write(b"x" * 4_000_000))
    while client_stream.unread_bytes < READ_BYTES:  # noqa: ASYNC110
        await asyncio.sleep(0)  # The stream has no event for a full buffer.
    assert len(await client_stream.read()) == READ_BYTES
    writing.cancel()
    server_stream.abort()
    try:
        while await client_stream.read():
            pass
    except ConnectionResetError:
        return True
    finally:
        client_stream.close()
        await listener.shutdown()
    return False


@then("a reset TCP stream raises an error at the other end, and at most {limit:d} bytes are unread")
def step_tcp_reset(context, limit):
    assert limit == READ_BYTES
    assert asyncio.run(asyncio.wait_for(check_tcp(), 10)), "the reset looked like a clean end"


WRITE_PART = 4096


async def check_unsent():
    """Check what a TCP stream says about bytes that the kernel doesn't accept."""
    streams = asyncio.Queue()

    async def hold_open(stream):
        await streams.put(stream)
        await asyncio.sleep(3600)

    network = TcpNetwork()
    listener = await network.listen(Address("127.0.0.1", 0), hold_open)
    client_stream = await network.connect(listener.address)
    server_stream = await streams.get()
    size = 0
    # Small writes leave less in the send buffer than its limit, at which `drain` would wait.
    while not server_stream.unsent_bytes:
        assert server_stream.send(b"x" * WRITE_PART)
        size += WRITE_PART
        await asyncio.sleep(0)
    assert not server_stream.is_write_paused
    waiting = asyncio.create_task(server_stream.wait_sent())
    await asyncio.sleep(0.05)
    assert not waiting.done(), "it didn't wait for the kernel"
    received = 0
    while received < size:
        received += len(await client_stream.read())
    await waiting
    assert not server_stream.unsent_bytes and not server_stream.is_write_paused
    while server_stream.send(b"x" * WRITE_PART):
        pass
    assert server_stream.unsent_bytes > WRITE_BYTES, "the usual limit isn't in force again"
    waiting = asyncio.create_task(server_stream.wait_sent())
    await asyncio.sleep(0)
    server_stream.abort()
    try:
        await waiting
    except ConnectionResetError:
        return True
    finally:
        client_stream.close()
        await listener.shutdown()
    return False


@then("a TCP stream waits until the kernel has accepted all bytes, or raises an error at a reset")
def step_tcp_unsent(_context):
    assert asyncio.run(asyncio.wait_for(check_unsent(), 10)), "the reset went unnoticed"
