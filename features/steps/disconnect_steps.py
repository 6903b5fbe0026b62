"""Steps for work on behalf of a client that may disconnect."""

import asyncio
import gc
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.disconnect import run_while_connected
from camphorspread.connection.network import Address
from features.fixtures.memory_network import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
CLIENT_HOST = "10.0.0.2"
DELAY_S = 0.01


@given("work that takes {seconds:g} s for a client")
def step_work(context, seconds):
    context.fate = "started"

    async def work():
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            context.fate = "cancelled"
            raise
        context.fate = "done"

    context.work = work


@given("work that fails after {seconds:g} s for a client")
def step_failing_work(context, seconds):
    async def work():
        await asyncio.sleep(seconds)
        raise ValueError

    context.work = work


@given("work for a client that fails while it is being cancelled from outside")
def step_work_fails_at_cancel(context):
    context.reported = reported = []
    context.loop.set_exception_handler(lambda _loop, report: reported.append(report))

    async def work():
        context.serving.cancel()
        raise ValueError

    context.work = work


@when("the client {action} after {seconds:g} s and the time limit is {limit:g} s")
def step_run(context, action, seconds, limit):
    network = MemoryNetwork(lambda _source, _target: DELAY_S)

    async def serve(stream):
        context.stream = stream
        context.serving = asyncio.current_task()
        started = context.loop.time()
        try:
            result = await run_while_connected(context.work(), stream, timedelta(seconds=limit))
            context.result = type(result).__name__
        except ValueError as exc:
            context.result = type(exc).__name__
        context.ended_s = context.loop.time() - started
        if action == "sends bytes":
            context.unread = await stream.read()

    async def run():
        await network.host(SERVER.host).listen(SERVER, serve)
        stream = await network.host(CLIENT_HOST).connect(SERVER)
        await asyncio.sleep(seconds)
        match action:
            case "disconnects":
                stream.close()
            case "resets":
                stream.abort()
            case "sends bytes":
                await stream.write(b"next request")
        await asyncio.sleep(10)

    context.loop.run_until_complete(run())


@then('the result after {seconds:g} s is "{result}"')
def step_result(context, seconds, result):
    assert context.result == result, context.result
    assert abs(context.ended_s - seconds) < 2 * DELAY_S, context.ended_s


@then("the work was {fate}")
def step_fate(context, fate):
    assert context.fate == fate, context.fate


@then("the bytes can still be read")
def step_unread(context):
    assert context.unread == b"next request", context.unread


@then("no error is reported as never retrieved")
def step_no_report(context):
    # The task refers to the work, whose end the loop reports when it is collected.
    del context.serving
    gc.collect()
    assert not context.reported, context.reported
