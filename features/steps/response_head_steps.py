"""Steps about the head of a relayed response."""

import asyncio

from behave import given, then, when

from features.fixtures.owner import run
from features.steps.relay_steps import (
    TARGET,
    add_docs_service,
    caller_address,
    read_all,
    read_head_bytes,
)


@given('a backend server that sends "{first}" and {delay:d} ms later "{rest}"')
def step_send_in_two(context, first, delay, rest):
    async def handle(stream):
        await read_head_bytes(stream)
        await stream.write(first.replace(";", "\r\n").encode())
        await asyncio.sleep(delay / 1000)
        await stream.write(rest.replace(";", "\r\n").encode())
        await read_all(stream)

    add_docs_service(context, handle)


@when("a caller reads the response until its end")
def step_read_response(context):
    async def request():
        stream = await context.caller.connect(caller_address(context))
        began = context.loop.time()
        await stream.write(f"GET {TARGET} HTTP/1.1\r\nhost: a\r\n".encode())
        await stream.write(b"connection: close\r\n\r\n")
        head = await read_head_bytes(stream)
        context.head_seconds = context.loop.time() - began
        rest, _ = await asyncio.wait_for(read_all(stream), 20)
        context.body_seconds = context.loop.time() - began
        context.response_body = (head + rest).partition(b"\r\n\r\n")[2]

    run(context, request())


@then('the caller received the head within {limit:d} ms and the body "{body}" after {delay:d} ms')
def step_head_first(context, limit, body, delay):
    assert context.head_seconds < limit / 1000, context.head_seconds
    assert context.body_seconds >= delay / 1000, context.body_seconds
    assert context.response_body == body.replace(";", "\r\n").encode(), context.response_body
