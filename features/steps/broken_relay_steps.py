"""Steps for bodies that break off on the product's own interface, which buffers no part of them."""

import asyncio
import random

import attrs
from behave import given, then, when

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.connection.server import HttpServer
from camphorspread.version.catalogue import ServiceClass, ServiceEntry
from features.fixtures.body_faults import ReceivedBody, receive_body
from features.fixtures.owner import add_backend, add_service, publish_owner_slots, run
from features.fixtures.upload_callers import (
    LeaveAfterBody,
    SendAll,
    find_faults,
    make_upload,
    send_upload,
)
from features.steps.broken_upload_steps import check_amount, make_behaviour, make_body_fault

SERVICE = "docs-svc"
TARGET = f"/s/{SERVICE}/plans"
SLOTS = 8
TIME_LIMIT_MS = 15_000
MIN_SIZE, MAX_SIZE = 160_000, 220_000
SMALL_SIZE = 1000
LIMIT_S = 25
SETTLE_S = 0.5
KEPT_REQUESTS = 3


@attrs.define(eq=False)
class BodyEndpoint:
    """An endpoint that keeps what it has received; see `StubEndpoint` for the attributes."""

    instance: str
    service_time_s: float = 0.01
    runs: list[str] = attrs.field(factory=list)
    bodies: list[ReceivedBody] = attrs.field(factory=list)
    body_fault: object = None
    injected: int = 0
    earlier_requests: dict[int, str] = attrs.field(factory=dict)
    refused_heads: list = attrs.field(factory=list)
    serving: list[Exchange] = attrs.field(factory=list)

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request."""
        name = (find_header(exchange.head.headers, b"request-id") or b"").decode()
        if await receive_body(self, exchange, name) is None:
            return
        self.earlier_requests[id(exchange.stream)] = name
        self.runs.append(name)
        if exchange.response_started:
            return
        self.serving.append(exchange)
        await asyncio.sleep(self.service_time_s)
        self.serving.remove(exchange)
        await exchange.respond(ResponseHead(200))


@given("two endpoints that keep the bodies that they receive, with a limit of {size:d} bytes")
def step_endpoints(context, size):
    entry = ServiceEntry(
        SERVICE,
        "plans",
        ServiceClass.UPLOAD,
        10,
        100,
        request_time_limit_ms=TIME_LIMIT_MS,
        body_limit_bytes=size,
    )
    add_service(context, entry)
    context.receivers = [BodyEndpoint("docs-1"), BodyEndpoint("docs-2")]
    context.uploads, context.statuses = {}, {}
    for receiver in context.receivers:
        refusals = receiver.refused_heads
        server = HttpServer(
            receiver.serve, on_refused=lambda refusal, _peer, to=refusals: to.append(refusal)
        )
        add_backend(context, SERVICE, receiver.instance, SLOTS, handler=server.serve)
    publish_owner_slots(context, SERVICE, 2 * SLOTS)


def upload_all(context, behaviour, seed, number, sizes=(MIN_SIZE, MAX_SIZE), settle_s=SETTLE_S):
    """Send an upload for each framing and method at once, to one entry VM."""
    rng = random.Random(seed)
    address = context.fleet.plan.entry_vms()[number].callers
    made = [
        make_upload(
            rng,
            f"u{len(context.uploads) + index}",
            rng.randint(*sizes),
            path=TARGET,
            is_chunked=is_chunked,
            is_once=method == "POST",
            method=method,
        )
        for index, (method, is_chunked) in enumerate(
            (method, is_chunked) for method in ("POST", "PUT") for is_chunked in (True, False)
        )
    ]
    context.uploads |= {item.request_id: item for item in made}

    async def send_all():
        results = await asyncio.gather(
            *(send_upload(context.caller, address, item, behaviour, LIMIT_S) for item in made)
        )
        await asyncio.sleep(settle_s)
        return results

    results = run(context, send_all())
    context.latest = {item.request_id: status for item, status in zip(made, results, strict=True)}
    context.statuses |= context.latest


@given("its connections are kept by entry VM {number:d}")
def step_kept(context, number):
    for index in range(KEPT_REQUESTS):
        upload_all(context, SendAll(), index, number, (SMALL_SIZE, SMALL_SIZE), 0.01)
    assert set(context.statuses.values()) == {200}, context.statuses


@given("each of them {fault} after {size:d} bytes of a body")
def step_fault(context, fault, size):
    for receiver in context.receivers:
        receiver.body_fault = make_body_fault(fault, size)


@when("callers upload to entry VM {number:d}, with seed {seed:d}")
def step_upload(context, number, seed):
    upload_all(context, SendAll(), seed, number)


@when(
    "callers upload to entry VM {number:d} and each {action} after {size:d} bytes, "
    "with seed {seed:d}"
)
def step_action(context, number, action, size, seed):
    upload_all(context, make_behaviour(action, size), seed, number)


@when("callers of entry VM {number:d} leave {seconds:g} s after their bodies, with seed {seed:d}")
def step_leave_after(context, number, seconds, seed):
    for receiver in context.receivers:
        receiver.service_time_s = LIMIT_S
    upload_all(context, LeaveAfterBody(seconds), seed, number)


@then("no receiver takes a body for whole that isn't its caller's, and no caller is told wrong")
def step_check(context):
    faults = find_faults(context.uploads, context.statuses, context.receivers)
    assert not faults, faults


@then("no receiver gets an invalid head, or a body for whole that isn't its caller's")
def step_check_bodies(context):
    # A response that an endpoint sends before it has read the body promises no run.
    faults = find_faults(context.uploads, {}, context.receivers)
    assert not faults, faults


@then("the receivers had the fault, and callers got {statuses}")
def step_statuses(context, statuses):
    assert sum(receiver.injected for receiver in context.receivers)
    check_statuses(context, statuses)


@then("callers got {statuses}")
def step_only_statuses(context, statuses):
    check_statuses(context, statuses)


def check_statuses(context, statuses):
    """Check what the callers of the latest uploads got."""
    allowed = {None if item == "nothing" else int(item) for item in statuses.split(" or ")}
    assert set(context.latest.values()) <= allowed, (context.latest, list_bodies(context))


def list_bodies(context):
    """Return what the endpoints have received of the latest uploads."""
    return [
        (receiver.instance, item.request_id, item.size, bool(item.digest), item.is_broken)
        for receiver in context.receivers
        for item in receiver.bodies
        if item.request_id in context.latest
    ]


@then("{whole} of the bodies are received whole, and {broken} broken")
def step_bodies(context, whole, broken):
    bodies = list_bodies(context)
    total = len(context.latest)
    check_amount(whole, len({item[1] for item in bodies if item[3]}), total, bodies)
    check_amount(broken, len({item[1] for item in bodies if item[4]}), total, bodies)


@then("no run has a sender that is still connected")
def step_no_work(context):
    serving = [item for receiver in context.receivers for item in receiver.serving]
    assert serving and all(item.stream.is_ended for item in serving), serving
