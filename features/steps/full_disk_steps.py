"""Steps for disks of control VMs that are full in turn."""

import asyncio

from behave import given, then, when

from camphorspread.connection.network import Address
from features.fixtures.platform_endpoint import call_address
from features.fixtures.platform_fleet import (
    CLIENT_HOST,
    ZONES,
    make_configuration,
    make_route,
)

CHANGE_INTERVAL_S = 0.7
PAUSE_S = 1.0
JOIN_S = 15


@given("{count:d} more control VMs have joined")
def step_more(context, count):
    for zone in ZONES[:count]:
        context.fleet.start_control(zone, False, 3)
    if count:
        context.fleet.run(JOIN_S)
    context.revision = 1


def find_leader(fleet):
    """Return the name of the control VM that leads."""
    return next(
        (vm for vm, node in fleet.controls.items() if node.steering.control.view.is_leader), None
    )


async def send_changes(context, size):
    """Send changes until cancelled, whether or not they are acknowledged."""
    while True:
        await asyncio.sleep(CHANGE_INTERVAL_S)
        await send_change(context, size)


async def send_change(context, size):
    """Send a change to one control VM after another until it is acknowledged or refused."""
    fleet = context.fleet
    context.revision += 1
    body = make_document(context.revision, size)
    for vm in list(fleet.controls):
        address = fleet.controls[vm].steering.settings.role.operators
        status, headers = await put(fleet, address, body)
        if status == 307:
            host, _, port = headers[b"location"].decode().split("/")[2].rpartition(":")
            status, _ = await put(fleet, Address(host, int(port)), body)
        if status is not None and status < 300:
            return True
    return False


async def put(fleet, address, body):
    """Send a change to one control VM; return status and headers."""
    network = fleet.network.host(CLIENT_HOST)
    answer = await call_address(network, address, "POST", "/-/Config.Put", body)
    return (None, {}) if answer is None else answer[:2]


def make_document(revision, size):
    """Return a configuration of about a size."""
    routes = [
        make_route("read", "/read/", "safe", "status"),
        make_route("file", "/file/", "unsafe", "filing"),
        make_route("size", f"/{'x' * size}/", "safe", "status"),
    ]
    return make_configuration(revision, routes)


@when(
    "the disk of each control VM is full for {seconds:g} s, in the order of their zone, while "
    "changes of {size:d} characters are sent"
)
def step_in_order(context, seconds, size):
    fill_in_turn(context, seconds, size, lambda remaining: remaining[0])


@when(
    "the disk of each control VM is full for {seconds:g} s, each time the leader, while changes of "
    "{size:d} characters are sent"
)
def step_leaders(context, seconds, size):
    def pick(remaining):
        leader = find_leader(context.fleet)
        return leader if leader in remaining else remaining[0]

    fill_in_turn(context, seconds, size, pick)


def fill_in_turn(context, seconds, size, pick):
    """Let the disk of one control VM after another be full."""
    fleet = context.fleet
    changes = fleet.loop.create_task(send_changes(context, size))
    context.started = set(fleet.controls)
    remaining = list(fleet.controls)
    while remaining:
        vm = pick(remaining)
        remaining.remove(vm)
        fleet.full_disks.add(vm)
        fleet.run(seconds)
        fleet.full_disks.remove(vm)
        fleet.run(PAUSE_S)
    changes.cancel()


@when("each control VM is restarted with a full disk that has room again {seconds:g} s later")
def step_restart(context, seconds):
    fleet = context.fleet
    context.revision = 1
    context.started = set(fleet.controls)
    changes = fleet.loop.create_task(send_changes(context, 100))
    for zone in ZONES:
        vm = f"core-{zone}-1"
        fleet.full_disks.add(vm)
        fleet.kill(vm)
        fleet.run(0.5)
        fleet.start_control(zone, False)
        fleet.run(seconds)
        fleet.full_disks.remove(vm)
        fleet.run(PAUSE_S)
    changes.cancel()


@then("a change is acknowledged within {seconds:g} s")
def step_acknowledged(context, seconds):
    fleet = context.fleet
    started = fleet.clock.monotonic()
    assert fleet.run_coroutine(send_change(context, 100))
    spent = (fleet.clock.monotonic() - started).total_seconds()
    assert spent <= seconds, spent


@then("all control VMs hold it as voters within {seconds:g} s")
def step_all_hold(context, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    states = {vm: node.steering.shell.state for vm, node in fleet.controls.items()}
    revisions = {vm: state.committed.catalogue.routing.revision for vm, state in states.items()}
    assert set(revisions.values()) == {context.revision}, revisions
    faults = {vm: state.storage_fault for vm, state in states.items() if state.storage_fault}
    assert not faults, faults
    voters = {state.voters for state in states.values()}
    assert len(voters) == 1 and len(voters.pop()) == len(states), states


@then("no process has ended, and each has logged that its disk was full")
def step_all_run(context):
    assert set(context.fleet.controls) == context.started
    for vm in context.started:
        assert "the disk is full" in context.fleet.logs[vm].getvalue(), vm
