"""Steps of responses that are sent before the request body."""

import asyncio
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.connection.server import HttpServer

CHUNK = b"x" * 20_000
REFUSAL_BODY = b"refused"
TEST_LIMIT_S = 10


@given("a TCP server that refuses a request before its body and then discards it")
def step_server(context):
    async def handle(exchange):
        await exchange.respond(ResponseHead(401), REFUSAL_BODY)
        await exchange.discard_body(timedelta(seconds=2))

    context.server = HttpServer(handle)


@when("a client sends a body of {size:d} bytes and then reads the response")
def step_upload(context, size):
    async def upload():
        network = TcpNetwork()
        listener = await network.listen(Address("127.0.0.1", 0), context.server.serve)
        stream = await network.connect(listener.address)
        try:
            await stream.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size)
            for _ in range(size // len(CHUNK)):
                await stream.write(CHUNK)
                await asyncio.sleep(0)
            received = b""
            while data := await stream.read():
                received += data
            return received
        finally:
            stream.close()
            await listener.shutdown()

    try:
        context.received = asyncio.run(asyncio.wait_for(upload(), TEST_LIMIT_S))
    except ConnectionResetError as exc:
        context.received = repr(exc).encode()


@then("it reads the whole response and the end of the connection")
def step_response(context):
    assert context.received.startswith(b"HTTP/1.1 401"), context.received
    assert context.received.endswith(REFUSAL_BODY), context.received
