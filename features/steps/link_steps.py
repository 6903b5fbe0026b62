"""Steps of messages between the project's own processes."""

import asyncio
import contextlib
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool
from features.fixtures.memory_network import MemoryHost, MemoryNetwork

ADDRESS = Address("10.1.0.1", 7620)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
NESTED = b"[" * 200_000
# Bytes before the request, bytes after it, and whether the latter are repeated without end; None
# closes the connection after them.
BEHAVIOURS = {
    "sends bytes before the request": (b"HTTP/1.1 408 Late\r\n\r\n", b"", False),
    "sends a body that isn't JSON": (b"", HEAD % 3 + b"{]}", False),
    "sends a body with 200000 nested brackets": (b"", HEAD % len(NESTED) + NESTED, False),
    "sends a head without end": (b"", b"X-Field: 1\r\n" * 300, True),
    "sends status 100 without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300, True),
    "closes the connection without a response": (b"", None, False),
    "closes the connection within a response": (b"", HEAD % 9 + b"{}", None),
    "never responds": (b"", b"", False),
    "counts the pieces of a message": (b"", HEAD % 2 + b"{}", False),
}


@attrs.frozen(eq=False)
class SlowHost:
    """A host on which bytes may arrive before the new connection is used."""

    host: MemoryHost

    async def connect(self, address):
        stream = await self.host.connect(address)
        await asyncio.sleep(0.01)
        return stream


@given("a process that {behaviour}")
def step_process(context, behaviour):
    first, response, is_endless = BEHAVIOURS[behaviour]
    context.network = MemoryNetwork(lambda _source, _target: 0.001)
    context.pieces = 0

    async def handle(stream):
        if first:
            await stream.write(first)
        with contextlib.suppress(ConnectionError):
            await stream.read()
            context.pieces += 1
            if response is None:
                return
            await stream.write(response)
            if is_endless is None:
                return
            while is_endless:
                await stream.write(response)
                await asyncio.sleep(0.002)
            while await stream.read():
                context.pieces += 1

    host = context.network.host(ADDRESS.host)
    context.loop.run_until_complete(host.listen(ADDRESS, handle))


@given(
    "a slow process that sends a response in {count:d} parts every {interval:g} s, and stops after "
    "{parts:d} parts"
)
def step_slow_process(context, count, interval, parts):
    context.network = MemoryNetwork(lambda _source, _target: 0.001)

    async def handle(stream):
        await stream.read()
        with contextlib.suppress(ConnectionError):
            for number in range(parts):
                await asyncio.sleep(interval)
                await stream.write((HEAD % count if number == 0 else b"") + b"1")
            await asyncio.Event().wait()

    host = context.network.host(ADDRESS.host)
    context.loop.run_until_complete(host.listen(ADDRESS, handle))


@when("a message is sent to it")
def step_send(context):
    send_message(context, timedelta(seconds=1))


@when("a message is sent to it with a limit of {limit:g} s, and of {stall:g} s without a byte")
def step_send_limited(context, limit, stall):
    send_message(context, timedelta(seconds=limit), timedelta(seconds=stall))


def send_message(context, *limits):
    """Send a message, and record the error and the time it took."""
    pool = ConnectionPool(SlowHost(context.network.host("10.1.0.2")), context.clock)

    async def send():
        started = context.clock.monotonic()
        try:
            await JsonLink(pool).call(ADDRESS, "POST", "/x", {"a": 1}, *limits)
        except LinkError as exc:
            context.error = exc
        context.spent = context.clock.monotonic() - started

    context.error = None
    context.loop.run_until_complete(send())


@then("the call fails with a link error within {seconds:g} s")
def step_link_error(context, seconds):
    assert context.error is not None
    assert context.spent <= timedelta(seconds=seconds), context.spent


@then("the call succeeds within {seconds:g} s")
def step_success(context, seconds):
    assert context.error is None, context.error
    assert context.spent <= timedelta(seconds=seconds), context.spent


@then("the error says that there was no response")
def step_no_response(context):
    assert "no response" in str(context.error), context.error


@then("the error says that the connection was closed before the {part}")
def step_error_text(context, part):
    assert f"the connection was closed before the {part}" in str(context.error), context.error


@then("it has received {count:d} piece")
def step_pieces(context, count):
    assert context.pieces == count, context.pieces
