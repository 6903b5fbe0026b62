"""Steps of the fleet on the platform."""

import asyncio
import json
import shutil
from unittest import mock

from behave import given, then, when
from behave import step as any_step

from camphorspread.process import catalogue_listener, vm_poll_listener
from features.fixtures.golden import compare_with_golden
from features.fixtures.platform_fleet import (
    CONTROL_PORT,
    LOOKUP_PORT,
    READY_PORT,
    ZONES,
    get_delay_s,
    make_configuration,
)

START_WAIT_S = 6
JOIN_LIMIT_S = 30


@given("a fleet with an endpoint of each service in each zone")
def step_fleet(context):
    context.fleet.start_all()
    for zone in ZONES:
        for service in ("status", "filing"):
            context.fleet.add_endpoint(f"{service}-{zone}", service, zone)
    context.fleet.run(START_WAIT_S)


@when("the operator sends configuration {version:d}")
def step_send(context, version):
    answer = context.fleet.send_operator_call("/-/Config.Put", make_configuration(version))
    assert answer[0] == 200, answer
    context.fleet.run(2)


@when("clients of each zone send {count:d} requests of each kind")
def step_requests(context, count):
    fleet = context.fleet

    async def send_all():
        requests = [
            fleet.request(zone, f"/{kind}/x", method, body, key=str(number))
            for zone in ZONES
            for number in range(count)
            for kind, method, body in (("read", "GET", b""), ("file", "POST", b"form"))
        ]
        return await asyncio.gather(*requests)

    context.answers = fleet.run_coroutine(send_all())


@then("all are answered by an endpoint of the right service with status 200")
def step_check_answers(context):
    for answer in context.answers:
        assert answer is not None and answer[0] == 200, answer
        service = {b"/read": b"status", b"/file": b"filing"}[answer[2].split()[1][:5]]
        assert answer[2].startswith(service), answer
        assert answer[1][b"response-signature"].endswith(answer[1][b"request-id"]), answer


@then("each request ran once")
def step_check_runs(context):
    runs = [item for endpoint in context.fleet.endpoints.values() for item in endpoint.runs]
    assert len(runs) == len(set(runs)) == len(context.answers), (len(runs), len(context.answers))


def list_voters(context):
    """Return the voters as each control VM knows them."""
    return {
        vm: set(node.steering.shell.state.voters) for vm, node in context.fleet.controls.items()
    }


def has_all_voters(context):
    """Return True if all control VMs are voters of one group."""
    own = {node.steering.shell.state.own_id for node in context.fleet.controls.values()}
    return all(voters == own for voters in list_voters(context).values())


@then("each control VM is a voter")
def step_check_voters(context):
    assert has_all_voters(context), list_voters(context)


@then("each control VM becomes a voter of one group")
def step_wait_voters(context):
    for _ in range(JOIN_LIMIT_S * 2):
        if has_all_voters(context):
            return
        context.fleet.run(0.5)
    raise AssertionError(list_voters(context))


@when("the control VMs start in the order {order} with {pause:g} s between them")
def step_start_order(context, order, pause):
    for number in order.split(","):
        context.fleet.start_control(ZONES[int(number)])
        context.fleet.run(pause)


@when("all control VMs start")
def step_start_controls(context):
    for zone in ZONES:
        context.fleet.start_control(zone)


@then("a configuration is accepted")
def step_accept(context):
    assert context.fleet.send_operator_call("/-/Config.Put", make_configuration(7))[0] == 200


@any_step('the control VM of "{zone}" is cut off from the others')
def step_cut(context, zone):
    fleet = context.fleet
    own = fleet.host(zone, 1)
    fleet.network.cut({own}, {fleet.host(item, 1) for item in ZONES if item != zone})
    context.cut_zone = zone


@when("the control VMs reach each other again")
def step_heal(context):
    context.fleet.network.heal()


@any_step("{seconds:g} s go by on the platform")
def step_time_passes(context, seconds):
    context.fleet.run(seconds)


def wipe(context, zone):
    """Remove the data folder of a control VM that isn't running."""
    shutil.rmtree(context.fleet.folder / f"core-{zone}-1")


@when('the control VM of "{zone}" comes back with an empty disk')
def step_wipe(context, zone):
    context.fleet.kill(f"core-{zone}-1")
    wipe(context, zone)
    context.fleet.run(1)
    context.fleet.start_control(zone, is_first=False)
    context.fleet.run(START_WAIT_S)


@when("all control VMs are killed at once and two come back with empty disks")
def step_kill_all(context):
    for zone in ZONES:
        context.fleet.kill(f"core-{zone}-1")
    for zone in ZONES[:2]:
        wipe(context, zone)
    context.fleet.run(1)
    for zone in ZONES:
        context.fleet.start_control(zone, is_first=False)


@then("the configuration is read back as configuration {version:d}")
def step_read_back(context, version):
    answer = context.fleet.send_operator_call("/-/Config.Get", method="GET")
    assert answer[0] == 200, answer
    assert json.loads(answer[2]) == json.loads(make_configuration(version)), answer


@then("it answers a read of the configuration with {status:d}")
def step_read_cut(context, status):
    answer = context.fleet.call(context.cut_zone, CONTROL_PORT, "GET", "/-/Config.Get")
    assert answer is not None and answer[0] == status, answer


def describe(name, answer):
    """Return the lines of one call in the transcript of a session."""
    status, headers, body = answer
    lines = [f"{name} -> {status}"]
    lines += [f"  {key.decode()}: {value.decode()}" for key, value in sorted(headers.items())]
    return [*lines, f"  {body.decode()}"]


@when("the operator, a client, the platform and an endpoint make each call once")
def step_session(context):
    fleet = context.fleet
    lines = []

    def call_operator(name, target, body=b"", method="POST"):
        lines.extend(describe(name, fleet.send_operator_call(target, body, method)))

    def get(name, port, target, number):
        lines.extend(describe(name, fleet.call("sofia-a", port, "GET", target, number=number)))

    def request(name, target, method="GET", body=b""):
        lines.extend(
            describe(name, fleet.run_coroutine(fleet.request("sofia-a", target, method, body)))
        )

    get("readiness before the first configuration", READY_PORT, "/-/readyz", 2)
    request("request before the first configuration", "/read/1")
    call_operator("configuration 1", "/-/Config.Put", make_configuration(1))
    fleet.run(2)
    get("readiness", READY_PORT, "/-/readyz", 2)
    get("resolve", LOOKUP_PORT, "/-/resolve?name=water.example&region=sofia&zone=sofia-a", 1)
    request("safe request", "/read/1?full=1")
    request("unsafe request", "/file/1", "POST", b"form")
    request("request without a route", "/none/1")
    call_operator("invalid configuration", "/-/Config.Put", make_configuration(2, [{}]))
    call_operator("configuration 1 again", "/-/Config.Put", make_configuration(1))
    call_operator("read of the configuration", "/-/Config.Get", method="GET")
    call_operator("evacuation", "/-/Evacuations.Start/varna-a")
    call_operator("end of the evacuation", "/-/Evacuations.Finish/varna-a")
    endpoint = fleet.endpoints["status-sofia-b"]
    host, port = fleet.host("sofia-a", 1), CONTROL_PORT
    beat = {
        "service": "status",
        "address": str(endpoint.address),
        "zone": "sofia-b",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 900,
        "born": endpoint.born,
    }
    for name, path, state in (
        ("heartbeat", "Heartbeat", "ready"),
        ("heartbeat of an endpoint that leaves", "Heartbeat", "draining"),
        ("departure", "Deregister", "draining"),
        ("heartbeat of another writer", "Heartbeat", "sleeping"),
    ):
        beat = {**beat, "state": state, "seq": beat["seq"] + 1}
        body = json.dumps(beat).encode()
        target = f"/-/Instances.{path}/status-sofia-b"
        lines.extend(describe(name, fleet.call("sofia-a", port, "POST", target, body)))
    context.session = "\n".join(lines).replace(host, "CONTROL") + "\n"


@then('the session equals the golden file "{name}"')
def step_golden(context, name):
    compare_with_golden(name, context.session)


@when("configuration {version:d} is put while catalogues are counted")
def step_put_counted(context, version):
    cut = catalogue_listener.cut_part
    encode = vm_poll_listener.encode_poll_response
    context.sent = 0

    def count_first_part(update, request):
        part = cut(update, request)
        context.sent += part.offset == 0
        return part

    def count_whole(steering, poll):
        value = encode(steering, poll)
        context.sent += "catalogue" in value
        return value

    with (
        mock.patch.object(catalogue_listener, "cut_part", count_first_part),
        mock.patch.object(vm_poll_listener, "encode_poll_response", count_whole),
    ):
        answer = context.fleet.send_operator_call("/-/Config.Put", make_configuration(version))
        assert answer[0] == 200, answer
        context.fleet.run(2.5)


@then("configuration {version:d} is in force on every entry VM")
def step_in_force_everywhere(context, version):
    found = {vm: node.state.table.revision for vm, node in context.fleet.entries.items()}
    assert set(found.values()) == {version}, found


@then("each entry VM was sent {count:d} catalogues at most for it")
def step_sent(context, count):
    assert context.sent <= count * len(context.fleet.entries), context.sent


@when('the control VM of "{zone}" is cut off from all entry VMs')
def step_cut_control(context, zone):
    fleet = context.fleet
    fleet.network.cut({fleet.host(zone, 1)}, {fleet.host(item, 2) for item in ZONES})


@then("each entry VM knows the round-trip time to each other one")
def step_round_trips(context):
    vms = context.fleet.entries.values()
    for state in (vm.state for vm in vms):
        assert len(state.board.peers) == len(vms) - 1
        for peer in state.board.peers.values():
            shortest = 2 * get_delay_s(state.settings.peers.host, peer.peers.host)
            assert shortest <= peer.round_trip_s <= 3 * shortest, (state.board.vm, peer)
