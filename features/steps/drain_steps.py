"""Steps for the graceful shutdown of backend servers and entry VMs."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from datetime import timedelta
from pathlib import Path

import attrs
from behave import given, then, when
from cattrs.preconf.json import make_converter

from camphorspread.connection.messages import ResponseHead, find_header, without_headers
from camphorspread.connection.network import Address
from camphorspread.process import drain as drains
from camphorspread.process import ledger as ledgers
from camphorspread.process.drain_watch import handle_sigterm
from camphorspread.process.handover import (
    HandedEndpoint,
    Handover,
    decode_handover,
    encode_handover,
    split_handover,
)
from camphorspread.process.ownership import list_owners
from camphorspread.process.settings import EntrySettings, PlaceSettings, ReplicaSettings
from camphorspread.request.once_key import HomeIdentity, OnceKey
from camphorspread.version.catalogue import DrainEntry, DrainKind, Versioned
from features.fixtures.entry_fleet import CONVERGENCE_S, make_service

SERVICE = "filing-svc"


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def skip_ramp_up(fleet):
    """Skip the ramp-up, which other scenarios test."""
    for node in fleet.nodes.values():
        for endpoint in node.state.registry.services.get(SERVICE, {}).values():
            endpoint.ramp_slots = endpoint.announcement.slots


@given('two drain-test backends with {slots:d} slots and requests of {time:g} s beside "{vm}"')
def step_two_backends(context, slots, time, vm):
    fleet = context.entry_fleet
    # Requests wait in the queue throughout, and none reaches its deadline.
    fleet.put_service(make_service(SERVICE, request_time_limit_ms=60000))
    for name in ("filing-1", "filing-2"):
        run(context, fleet.start_backend(SERVICE, name, vm, slots, time))
    run(context, asyncio.sleep(0.1))
    skip_ramp_up(fleet)


@given('a steady load of drain-test requests through "{vm}"')
def step_load(context, vm):
    fleet = context.entry_fleet
    context.results = []
    # Other VMs learn from summaries which VM owns the endpoints.
    run(context, asyncio.sleep(CONVERGENCE_S))

    async def send_request():
        context.results.append(await fleet.request(vm, "GET", f"/s/{SERVICE}/status"))

    async def load():
        tasks = set()
        while True:
            task = asyncio.create_task(send_request())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.2)

    fleet.tasks.append(context.loop.create_task(load()))
    run(context, asyncio.sleep(1.5))


@when("the first drain-test backend says that it is leaving")
def step_backend_leaves(context):
    first = context.entry_fleet.backends[0]
    assert first.busy > 0, "no request is in flight"
    run(context, first.leave())
    context.in_flight = first.busy
    context.left_at = context.loop.time()


@then("it gets no request after 2 s and completes those in flight")
def step_check_backend(context):
    first = context.entry_fleet.backends[0]
    run(context, asyncio.sleep(2))
    count = len(first.started)
    run(context, asyncio.sleep(10))
    assert len(first.started) == count, first.started[count:]
    assert len(first.served) == count, "a request in flight was interrupted"


@then('no drain-test request has ended with an error other than "{kind}"')
def step_check_errors(context, kind):
    errors = {find_header(item.head.headers, b"camphorspread-error") for item in context.results}
    assert errors <= {None, kind.encode()}, errors
    assert not any(item.error for item in context.results)


@when("a request chooses the first drain-test backend, which leaves before the connection is open")
def step_leave_during_connect(context):
    fleet = context.entry_fleet

    async def leave_during_connect():
        request = asyncio.create_task(fleet.request("sofia-b-1", "GET", f"/s/{SERVICE}/status"))
        # The request arrives at 3 ms; the connection to the backend server takes until 6 ms.
        await asyncio.sleep(0.0035)
        await fleet.backends[0].leave()
        return await request

    # The announcement arrives first: it takes one delay of 1.5 ms on an open connection.
    context.result = run(context, leave_during_connect())


@then("the request is served by the second drain-test backend")
def step_check_second(context):
    assert context.result.body.startswith(b"filing-2"), context.result
    assert not context.entry_fleet.backends[0].started


@given('drain-test backends at each VM of "{zone}"')
def step_backends_at_each(context, zone):
    fleet = context.entry_fleet
    fleet.put_service(make_service(SERVICE))
    view = fleet.state("sofia-a-1").fleet
    context.names = {}
    for number in range(50):
        name = f"filing-{number}"
        vm = list_owners(view, SERVICE, name, zone)[0].vm
        if vm not in context.names:
            context.names[vm] = name
            run(context, fleet.start_backend(SERVICE, name, vm, 20, 0.1))
    assert len(context.names) == 2, context.names
    run(context, asyncio.sleep(0.1))
    skip_ramp_up(fleet)


@given('callers of "{vm}" that follow lookups and cache them for 2 s')
def step_callers(context, vm):
    """Start callers that follow lookups of a VM and send keyed payments and reads."""
    fleet = context.entry_fleet
    context.vm, context.payments, context.reads = vm, {}, []

    async def look_up():
        result = await fleet.request(vm, "GET", f"/v1/lookup?service={SERVICE}")
        if result.head is None or result.head.status != 200:
            result = await fleet.request("sofia-a-2", "GET", f"/v1/lookup?service={SERVICE}")
        return json.loads(result.body)

    async def pay(target, key):
        body = b"amount=17"
        result = await fleet.request(target, "POST", f"/s/{SERVICE}/fees", body, key)
        context.payments[key] = result

    async def read(target):
        context.reads.append(await fleet.request(target, "GET", f"/s/{SERVICE}/status"))

    async def call_until_stopped(caller):
        await asyncio.sleep(caller * 0.07)
        end = asyncio.get_running_loop().time() + 14
        number, cached, kept_until = 0, None, 0.0
        while asyncio.get_running_loop().time() < end:
            if asyncio.get_running_loop().time() >= kept_until:
                cached = await look_up()
                kept_until = asyncio.get_running_loop().time() + cached["ttl_ms"] / 1000
            target = cached["targets"][0]["vm"]
            await pay(target, f"{cached['once_key_prefix']}.fee-{caller}-{number}")
            if asyncio.get_running_loop().time() < kept_until:
                await read(target)
            number += 1

    context.callers = [context.loop.create_task(call_until_stopped(item)) for item in range(4)]
    run(context, asyncio.sleep(3))


@when('"{vm}" gets SIGTERM')
def step_signal(context, vm):
    context.vm = vm
    handle_sigterm(context.entry_fleet.nodes[vm].drain_watch)


@when('a drain entry names "{vm}"')
def step_drain_entry(context, vm):
    context.vm = vm
    fleet = context.entry_fleet
    entry = Versioned(DrainEntry(DrainKind.VM, vm, "water"), 9)
    for node in fleet.nodes.values():
        node.state.catalogue = attrs.evolve(fleet.catalogue, drains={f"vm/{vm}": entry})


@when("the drain entry is taken back")
def step_undrain(context):
    for node in context.entry_fleet.nodes.values():
        node.state.catalogue = context.entry_fleet.catalogue


def list_named(context):
    request = context.entry_fleet.request("sofia-a-2", "GET", f"/v1/lookup?service={SERVICE}")
    return {item["vm"] for item in json.loads(run(context, request).body)["targets"]}


@then('lookups no longer name "{vm}"')
def step_not_named(context, vm):
    assert vm not in list_named(context)


@then('lookups name "{vm}" again')
def step_named_again(context, vm):
    assert vm in list_named(context)


@then('"{vm}" still serves payments after {seconds:d} seconds')
def step_still_serves(context, vm, seconds):
    run(context, asyncio.sleep(seconds))
    node = context.entry_fleet.nodes[vm]
    assert not node.drain_watch.ended.done()
    key = f"{vm.rpartition('-')[0]}.{vm}.{node.state.incarnation}.{int(seconds)}.still-served"
    request = context.entry_fleet.request(vm, "POST", f"/s/{SERVICE}/fees", b"amount=17", key)
    result = run(context, request)
    assert result.head is not None and result.head.status == 200, result


async def wait_for_exit(context):
    node = context.entry_fleet.nodes.pop(context.vm)
    code = await asyncio.wait_for(node.drain_watch.ended, 60)
    await node.stop()
    return code


@then("it exits with code {code:d}")
def step_check_exit(context, code):
    assert run(context, wait_for_exit(context)) == code


@then("it exits with code {code:d} and its callers saw no error")
def step_check_callers(context, code):
    assert run(context, wait_for_exit(context)) == code
    run(context, asyncio.gather(*context.callers))
    results = [*context.payments.values(), *context.reads]
    failed = [item for item in results if item.head is None or item.head.status != 200]
    assert len(results) > 200, len(results)
    assert not failed, (len(failed), failed[0])
    homes = {key.split(".")[1] for key in context.payments}
    assert homes == {"sofia-a-1", "sofia-a-2"}, homes


@then('repeats of their keyed requests through "{vm}" get the recorded responses')
def step_check_repeats(context, vm):
    for key, first in context.payments.items():
        request = context.entry_fleet.request(vm, "POST", f"/s/{SERVICE}/fees", b"amount=17", key)
        repeat = run(context, request)
        # A draining VM adds the hop-by-hop header `connection`, which isn't part of the response.
        hop = frozenset({b"connection"})
        heads = [without_headers(item.head.headers, hop) for item in (first, repeat)]
        assert heads[0] == heads[1], (key, heads)
        assert (repeat.head.status, repeat.body) == (200, first.body), (key, repeat)


@then("the backend servers have new owners without reserved slots")
def step_check_moved(context):
    registry = context.entry_fleet.state("sofia-a-2").registry
    endpoints = registry.services[SERVICE]
    assert sorted(endpoints) == sorted(context.names.values()), endpoints
    assert not any(endpoint.former_in_use for endpoint in endpoints.values())


@then("each key of the drain has run once")
def step_check_drain_runs(context):
    assert set(context.entry_fleet.count_runs().values()) == {1}


@then('the log of "{vm}" says how many requests would be interrupted')
def step_check_remainder(context, vm):
    lines = [json.loads(line) for line in context.entry_fleet.logs[vm].getvalue().splitlines()]
    reports = [line for line in lines if line["number"] == 106]
    assert len(reports) == 1, reports
    assert reports[0]["requests"] > 0, reports


def apply_tick(state):
    """Return the effects of a tick in one state of a drain that usually began 10 s ago."""
    start, now = timedelta(0), timedelta(seconds=10)
    drain = drains.Drain()
    drains.apply_event(drain, drains.SignalReceived(), start)
    ttl = timedelta(seconds=2)
    event = drains.Tick(start, ttl, 0)
    match state:
        case "a lookup response 1.9 s ago":
            event = drains.Tick(now - timedelta(seconds=1.9), ttl, 0)
        case "a lookup response 2 s ago":
            event = drains.Tick(now - ttl, ttl, 0)
        case "a request in flight":
            event = drains.Tick(start, ttl, 1)
        case "a leaving state not yet spread":
            now = timedelta(seconds=4.9)
        case "no catalogue":
            event, now = drains.Tick(start, timedelta(0), 0), timedelta(0)
    return drains.apply_event(drain, event, now)


@then('a drain with "{state}" {step}')
def step_check_drain(context, state, step):
    effects = apply_tick(state)
    assert effects == ([drains.HandOver()] if step == "proceeds" else []), effects


@then("{count:d} records of 64 KiB are handed over in parts below 1 MiB and read back unchanged")
def step_check_parts(context, count):
    home = HomeIdentity("sofia-a", "sofia-a-1", "ab")
    shape = ledgers.RequestShape(SERVICE, b"POST", b"/fees", None)
    kept = ledgers.KeptResponse(ResponseHead(201, ((b"x", b"\xff"),)), bytes(range(256)) * 256)
    states = (kept, ledgers.ResponseTooLarge(), ledgers.OutcomeUnknown())
    records = {
        OnceKey(home, timedelta(seconds=1), f"fee-{number}"): ledgers.LedgerRecord(shape, state)
        for number in range(count)
        for state in [kept if number > 2 else states[number]]
    }
    endpoints = (HandedEndpoint(SERVICE, "filing-1", 2),)
    received, handed = {}, ()
    for part in split_handover(Handover(home, "sofia-a-2", endpoints, records)):
        encoded = json.dumps(encode_handover(part))
        assert len(encoded) < 1048576, len(encoded)
        decoded = decode_handover(json.loads(encoded)).unwrap()
        received |= decoded.records
        handed += decoded.endpoints
    assert received == records
    assert handed == endpoints


def find_free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


@then("a real entry process on loopback exits with code 0 after SIGTERM")
def step_check_real_process(context):
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_text("secret")
        *ports, unused = find_free_ports(5)
        addresses = [Address("127.0.0.1", port) for port in ports]
        unused_address = Address("127.0.0.1", unused)
        place = PlaceSettings("sofia-a-1", "sofia-a", "sofia")
        vm = {**attrs.asdict(place), "callers": addresses[0], "peers": addresses[2]}
        replicas = (ReplicaSettings("control-1", unused_address, unused_address),)
        settings = EntrySettings(place, *addresses, replicas, (), str(key), folder)
        value = make_converter().unstructure(settings)
        vm |= {name: attrs.asdict(vm[name]) for name in ("callers", "peers")}
        file = Path(folder) / "settings.json"
        file.write_text(json.dumps({**value, "role": "entry", "entry_vms": [vm]}))
        command = [sys.executable, "-m", "camphorspread", "run", str(file)]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            try:
                first = process.stderr.readline()
                assert "process_started" in first, first
                os.kill(process.pid, signal.SIGTERM)
                _, rest = process.communicate(timeout=10)
            finally:
                process.kill()
        assert process.returncode == 0, (process.returncode, rest)
        assert "drain_ended" in rest, rest
