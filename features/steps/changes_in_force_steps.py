"""Steps for changes that are in force when they are acknowledged."""

import asyncio

from behave import given, then, when

from features.fixtures.platform_fleet import make_configuration, make_route

NEW_ROUTE = make_route("new", "/new/", "safe", "status")
FILE_ROUTE = make_route("file", "/file/", "unsafe", "filing")
READ_ROUTE = make_route("read", "/read/", "safe", "status")


def put(context, routes):
    """Submit configuration 2 and record how long its acknowledgement took."""
    fleet = context.fleet
    started = fleet.clock.monotonic()
    body = make_configuration(2, routes)
    assert fleet.send_operator_call("/-/Config.Put", body)[0] == 200
    context.ack_s = (fleet.clock.monotonic() - started).total_seconds()


def kill_controls(context):
    for vm in list(context.fleet.controls):
        context.fleet.kill(vm)


@when(
    "configuration 2 with a new route is acknowledged, and all control VMs are killed at that "
    "moment"
)
def step_add_route(context):
    put(context, [READ_ROUTE, FILE_ROUTE, NEW_ROUTE])
    kill_controls(context)


@when(
    "configuration 2 without the route is acknowledged, and all control VMs are killed at that "
    "moment"
)
def step_drop_route(context):
    put(context, [FILE_ROUTE])
    kill_controls(context)


@when('the evacuation of "{zone}" is acknowledged, and all control VMs are killed at that moment')
def step_evacuate(context, zone):
    assert context.fleet.send_operator_call(f"/-/Evacuations.Start/{zone}")[0] == 200
    kill_controls(context)


def send_to_each(context, target):
    """Return the status of a request to each entry VM."""
    fleet = context.fleet
    statuses = {}
    for vm in fleet.entries:
        zone = vm.removeprefix("front-").removesuffix("-2")
        answer = fleet.run_coroutine(fleet.request(zone, target))
        statuses[vm] = answer and answer[0]
    return statuses


@then("each entry VM serves a request on the new route")
def step_served(context):
    statuses = send_to_each(context, "/new/x")
    assert set(statuses.values()) == {200}, statuses


@then("each entry VM answers 404 on the dropped route")
def step_dropped(context):
    statuses = send_to_each(context, "/read/x")
    assert set(statuses.values()) == {404}, statuses


@then('each entry VM sends nothing to the endpoints of "{zone}"')
def step_evacuated(context, zone):
    endpoints = [item for item in context.fleet.endpoints.values() if item.zone == zone]
    before = [len(item.runs) for item in endpoints]
    statuses = send_to_each(context, "/read/x")
    assert set(statuses.values()) == {200}, statuses
    assert [len(item.runs) for item in endpoints] == before


@given('the entry VM of "{zone}" is cut off from the control VMs')
def step_cut(context, zone):
    fleet = context.fleet
    controls = {fleet.host(item.removeprefix("core-")[:-2], 1) for item in fleet.controls}
    fleet.network.cut({fleet.host(zone, 2)}, controls)


@given('the entry VM of "{zone}" is killed {seconds:g} s later')
def step_killed_later(context, zone, seconds):
    fleet = context.fleet
    node = fleet.entries.pop(f"front-{zone}-2")

    async def kill():
        await asyncio.sleep(seconds)
        fleet.network.kill(node.state.settings.peers.host)
        await node.stop()

    context.killing = fleet.loop.create_task(kill())


@when("the operator sends configuration 2 with a new route")
def step_send(context):
    put(context, [READ_ROUTE, FILE_ROUTE, NEW_ROUTE])


@then("it is acknowledged within {seconds:g} s")
def step_in_time(context, seconds):
    assert context.ack_s <= seconds, context.ack_s


def list_unconfirmed(context):
    """Return the log lines on changes that entry VMs haven't confirmed."""
    return [
        line
        for log in context.fleet.logs.values()
        for line in log.getvalue().splitlines()
        if "change_unconfirmed" in line and '"version": 2' in line
    ]


@then('a control VM has logged that "{vm}" hasn\'t confirmed it')
def step_logged(context, vm):
    lines = list_unconfirmed(context)
    assert any(vm in line for line in lines), lines


@then("no control VM has logged that an entry VM hasn't confirmed it")
def step_not_logged(context):
    assert not list_unconfirmed(context)
