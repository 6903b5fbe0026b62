"""Steps of end-to-end sessions on the local fleet in memory."""

import asyncio

from behave import given, step, then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.version.catalogue import ServiceClass, ServiceEntry
from camphorspread.version.changes import ChangeRequest, PutService
from camphorspread.version.codec import encode
from features.fixtures.golden import compare_with_golden
from features.fixtures.session import CallerResult, call

SHOWN_HEADERS = (b"content-length", b"camphorspread-error", b"camphorspread-outcome")


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def append_transcript(context, text):
    context.transcript.append(f"{context.loop.time():9.3f} {text}")


def append_result(context, title, result: CallerResult):
    status = result.head.status if result.head else "no response"
    append_transcript(context, f"{title} -> {status}{' ' + result.error if result.error else ''}")
    headers = result.head.headers if result.head else ()
    for name, value in headers:
        if name in SHOWN_HEADERS:
            context.transcript.append(f"          {name.decode()}: {value.decode()}")
    if result.body:
        context.transcript.append(f"          {result.body.decode().rstrip()}")


def send(context, method, target, body=b""):
    address = context.fleet.plan.entry_vms()[0].callers
    headers = [(b"host", b"entry")]
    if body:
        headers.append((b"content-length", b"%d" % len(body)))
    head = RequestHead(method.encode(), target.encode(), tuple(headers))
    append_result(
        context, f"{method} {target}", run(context, call(context.caller, address, head, body))
    )


def add_entry(context, name):
    entry = ServiceEntry(name, "water platform", ServiceClass.INTERACTIVE, 20, 100)
    change = encode(ChangeRequest(f"add-{name}", 0, "operator", PutService(entry)))
    address = context.fleet.plan.replicas()[0].operators
    response = run(
        context, context.fleet.link.call(address, "POST", "/v1/catalogue/changes", change)
    )
    append_transcript(context, f"change {name} -> {response.status} {response.value}")


@step('the operator adds the entry "{name}"')
def step_add_entry(context, name):
    add_entry(context, name)


@given('the operator adds the entries "{first}" and "{second}"')
def step_add_entries(context, first, second):
    add_entry(context, first)
    add_entry(context, second)


@step("{seconds:g} seconds pass")
def step_pass_time(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('a caller looks up "{service}"')
def step_look_up(context, service):
    send(context, "GET", f"/v1/lookup?service={service}")


@when('a caller sends GET "{target}"')
def step_send_get(context, target):
    send(context, "GET", target)


@when('a caller sends POST "{target}" with {size:d} bytes')
def step_send_post(context, target, size):
    send(context, "POST", target, b"x" * size)


async def send_raw(context, data):
    stream = await context.caller.connect(context.fleet.plan.entry_vms()[0].callers)
    await stream.write(data)
    received = b""
    while chunk := await stream.read():
        received += chunk
    stream.close()
    return received.splitlines()[0].decode() if received else "no response"


@when("a caller sends bytes that aren't HTTP")
def step_send_garbage(context):
    first_line = run(context, send_raw(context, bytes(range(200)) + b"\r\n\r\n"))
    append_transcript(context, f"not HTTP -> {first_line}")


@when("a caller sends a head of {size:d} bytes")
def step_send_large_head(context, size):
    head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * size
    append_transcript(context, f"large head -> {run(context, send_raw(context, head))}")


@then('the session matches "{name}"')
def step_compare(context, name):
    logs = [
        f"--- log of {vm}\n{output.getvalue()}" for vm, output in sorted(context.fleet.logs.items())
    ]
    compare_with_golden(name, "\n".join([*context.transcript, *logs]))
