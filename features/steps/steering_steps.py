"""Steps for requests steered by entry VMs, over the in-memory network."""

import asyncio
import json
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.connection.server import HttpServer
from camphorspread.process.fleet import FleetView
from camphorspread.version.catalogue import ServiceClass, ServiceEntry
from features.fixtures.owner import (
    add_backend,
    add_service,
    caller_head,
    count_log,
    grant_shift,
    owner_state,
    publish_owner_slots,
    run,
)
from features.fixtures.session import call

OUTCOME = b"camphorspread-outcome"
ERROR = b"camphorspread-error"
REASON = b"camphorspread-reason"


def make_entry(name, queue_length=64):
    return ServiceEntry(
        name, "maps", ServiceClass.INTERACTIVE, 1000, 1000, queue_length=queue_length
    )


def send_from(context, number, method, target, *headers, body=b""):
    if body:
        headers += ((b"content-length", b"%d" % len(body)),)
    address = context.fleet.plan.entry_vms()[number].callers
    return call(context.caller, address, caller_head(method, target, *headers), body)


@given(
    'the owner has the endpoint "{name}" with {slots:d} slots and a queue of {length:d}'
    ' for "{service}"'
)
def step_one_endpoint(context, name, slots, length, service):
    add_service(context, make_entry(service, length))
    context.backend = add_backend(context, service, name, slots, service_time_ms=50)
    context.backends = [context.backend]
    grant_shift(context, service, 1000)
    publish_owner_slots(context, service, slots)


@given('the owner\'s shift share of "{service}" is {amount:d}')
def step_shift_share(context, service, amount):
    grant_shift(context, service, amount)


@when('each entry VM gets {count:d} requests for "{service}" at once')
def step_concurrent_requests(context, count, service):
    async def send_all():
        publish_owner_slots(context, service, 3)
        paths = [(vm, f"/from-{vm}/{number}") for vm in range(3) for number in range(count)]
        sent = [send_from(context, vm, "GET", f"/s/{service}{path}") for vm, path in paths]
        return dict(zip(paths, await asyncio.gather(*sent), strict=True))

    context.results = run(context, send_all())


@then("the endpoint never ran more than {slots:d} requests at once and ran some from each entry VM")
def step_most_busy(context, slots):
    assert context.backend.peak_busy == slots, context.backend.peak_busy
    for vm in range(3):
        assert any(f"/from-{vm}/" in item for item in context.backend.served), vm


@then("exactly the requests that got status 200 were run")
def step_run_exactly(context):
    served = sorted(
        item.removeprefix("GET ") for backend in context.backends for item in backend.served
    )
    succeeded = sorted(path for (_, path), got in context.results.items() if got.head.status == 200)
    assert served == succeeded, (served, succeeded)


@then("all other requests were refused as not run")
def step_refused_not_run(context):
    refused = [got.head for got in context.results.values() if got.head.status != 200]
    assert refused, "no request was refused, so the scenario shows nothing"
    assert all(find_header(head.headers, OUTCOME) == b"not_run" for head in refused)


@then('entry VM {number:d} served {count:d} requests and refused the rest with "{kind}"')
def step_shift_limited(context, number, count, kind):
    got = [result for (vm, _), result in context.results.items() if vm == number]
    errors = [find_header(item.head.headers, ERROR) for item in got]
    assert errors.count(None) == count, errors
    assert errors.count(kind.encode()) == len(got) - count, errors


@given('the owner has the endpoints "{good}" that serve and "{bad}" that refuse connections')
def step_half_refuse(context, good, bad):
    add_service(context, make_entry("gis-svc"))
    context.backends = [add_backend(context, "gis-svc", name, 4) for name in good.split()]
    for name in bad.split():
        add_backend(context, "gis-svc", name, 4, handler=False)


@when('callers send {count:d} requests of {time:d} ms for "{service}" over {seconds:d} seconds')
def step_steady(context, count, time, service, seconds):
    for backend in context.backends:
        backend.service_time = timedelta(milliseconds=time)

    async def send_all():
        tasks = []
        for number in range(count):
            target = f"/s/{service}/{number}"
            tasks.append(asyncio.create_task(send_from(context, 0, "GET", target)))
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(*tasks)

    context.responses = run(context, send_all())
    paths = [(0, f"/{number}") for number in range(count)]
    context.results = dict(zip(paths, context.responses, strict=True))


@then("the attempts stay within {percent:d} percent of the requests")
def step_attempts(context, percent):
    served = sum(len(backend.served) for backend in context.backends)
    failed = count_log(context, "connect_failed")
    retried = count_log(context, "request_retried")
    assert failed and retried, "no endpoint refused, so the scenario shows nothing"
    limit = len(context.responses) * percent // 100
    assert served + failed <= limit, (served, failed, retried, limit)


@then("at least {percent:d} percent of the requests got status 200")
def step_served(context, percent):
    served = sum(1 for item in context.responses if item.head.status == 200)
    assert served * 100 >= percent * len(context.responses), served


@given(
    'endpoints of "{service}" that break the connection after the request, {lease} catalogue lease'
)
def step_breaking(context, service, lease):
    add_service(context, make_entry(service))
    context.sent = []

    async def break_after_head(stream):
        context.sent.append(await stream.read())
        stream.abort()

    for name in ("1", "2"):
        add_backend(context, service, name, 4, handler=break_after_head)
    state = owner_state(context)
    state.catalogue_lease_end = timedelta(days=1) if lease == "with a" else timedelta(0)


@given('entry VM {number:d} is listed with slots of "{service}" but has none')
def step_outdated_slots(context, number, service):
    # With one endpoint less, the only retry that a VM without load may make goes to the other VM.
    state = owner_state(context)
    state.registry.services[service]["2"].lease_end = timedelta(0)
    context.announcements.cancel()
    vm = context.fleet.entries[number].state.fleet.own_vm
    vms = dict(state.fleet.vms)
    vms[vm] = attrs.evolve(vms[vm], free_slots={service: 4}, total_slots={service: 4})
    state.fleet = FleetView(state.fleet.own_vm, vms)


@when('a caller with {left:d} ms left waits behind a request of {time:d} ms for "{service}"')
def step_wait_behind(context, left, time, service):
    context.backend.service_time = timedelta(milliseconds=time)

    async def send_both():
        first = asyncio.create_task(send_from(context, 0, "GET", f"/s/{service}/first"))
        await asyncio.sleep(0.02)
        header = (b"camphorspread-deadline-ms", b"%d" % left)
        result = await send_from(context, 0, "GET", f"/s/{service}/second", header)
        state = owner_state(context)
        context.waiting_after = [*state.admission.waiting, *state.waiting]
        assert (await first).head.status == 200
        return result

    context.result = run(context, send_both())


@then("the queue is empty and only the first request was run")
def step_queue_empty(context):
    assert not context.waiting_after, context.waiting_after
    assert not count_log(context, "handler_failed")
    assert context.backend.served == ["GET /first"], context.backend.served


@when('a caller sends {method} "{target}" to the owner')
def step_send_to_owner(context, method, target):
    context.result = run(context, send_from(context, 0, method, target))


@then("the request was sent {times:d} times")
def step_sent_times(context, times):
    assert len(context.sent) == times, context.sent


@then('the caller got "{kind}", "{outcome}" and the reason "{reason}"')
def step_error_headers(context, kind, outcome, reason):
    headers = context.result.head.headers
    found = [find_header(headers, name) for name in (ERROR, OUTCOME, REASON)]
    assert found == [kind.encode(), outcome.encode(), reason.encode()], found


@given('the owner refuses uploads for "{service}" as its only slot is in use')
def step_owner_full(context, service):
    add_service(context, make_entry(service, queue_length=0))
    add_backend(context, service, "1", 1, service_time_ms=3000)
    publish_owner_slots(context, service, 1)
    request = send_from(context, 0, "GET", f"/s/{service}/")
    context.holder = context.loop.create_task(request)
    run(context, asyncio.sleep(0.1))


@when('a caller of entry VM {number:d} uploads {size:d} bytes for "{service}"')
def step_upload(context, number, size, service):
    context.state = context.fleet.entries[number].state

    async def upload():
        address = context.fleet.plan.entry_vms()[number].callers
        stream = await context.caller.connect(address)
        head = f"POST /s/{service}/ HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
        await stream.write(f"{head}content-length: {size}\r\n\r\n".encode())
        return await stream.read()

    context.received = run(context, upload())


@then('the upload was refused as "{kind}" and entry VM {number:d} read no byte of it')
def step_upload_refused(context, kind, number):
    # Status 100 would have been received before the first body byte was read.
    assert context.received.startswith(b"HTTP/1.1 503"), context.received
    assert f"camphorspread-error: {kind}".encode() in context.received, context.received
    assert b"camphorspread-outcome: not_run" in context.received, context.received


@given('the owner has an endpoint of "{service}" that returns the headers it got')
def step_echo(context, service):
    add_service(context, make_entry(service))

    async def echo(exchange):
        names = {name.decode(): value.decode() for name, value in exchange.head.headers}
        await exchange.read_body()
        head = ResponseHead(503, ((OUTCOME, b"not_run"), (ERROR, b"overloaded")))
        await exchange.respond(head, json.dumps(names).encode())

    add_backend(context, service, "1", 4, handler=HttpServer(echo).serve)
    publish_owner_slots(context, service, 4)


@when('a caller of entry VM {number:d} sends the header "{name}" and a traceparent')
def step_send_headers(context, number, name):
    headers = ((name.encode(), b"varna"), (b"traceparent", b"00-1-2-01"))
    context.result = run(context, send_from(context, number, "GET", "/s/gis-svc/", *headers))


@then("the endpoint got the traceparent, the time left and no other internal header")
def step_headers_passed(context):
    got = json.loads(context.result.body)
    assert got["traceparent"].startswith("00-"), got
    own = [name for name in got if name.startswith("camphorspread-")]
    assert own == ["camphorspread-deadline-ms"], got


@then('the endpoint\'s own "{name}" header did not reach the caller')
def step_header_stripped(context, name):
    assert context.result.head.status == 503
    assert find_header(context.result.head.headers, name.encode()) is None
