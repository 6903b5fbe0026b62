"""Steps about operators' commands."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool
from camphorspread.connection.server import HttpServer
from camphorspread.process.command.catalogue import show_history
from camphorspread.process.command.catalogue_change import (
    ChangeOptions,
    drain,
    send_change,
    undrain,
)
from camphorspread.process.command.explain import explain
from camphorspread.process.command.operator import Operator
from camphorspread.process.command.status import show_status
from camphorspread.process.command.wait import find_lagging_and_isolated
from camphorspread.process.local_fleet import ACCESS_KEY
from camphorspread.process.settings import FleetSettings, FleetVmSettings
from features.fixtures.command_line import call_command
from features.fixtures.memory_network import MemoryNetwork

WAIT_S = 5


def make_operator(context, replicas, entry_vms):
    link = JsonLink(ConnectionPool(context.caller, context.clock), ACCESS_KEY)
    context.notes = []
    fleet = FleetSettings(replicas, entry_vms, "")
    return Operator(fleet, link, context.clock, context.notes.append)


def run_on_fleet(context, operation):
    plan = context.fleet.plan
    replicas = tuple(FleetVmSettings(item.vm, item.operators) for item in plan.replicas())
    entry_vms = tuple(FleetVmSettings(item.vm, item.operators) for item in plan.entry_vms())
    operator = make_operator(context, replicas, entry_vms)
    context.result = context.loop.run_until_complete(operation(operator))


def make_options(wait=None):
    return ChangeOptions("operator", None, None, wait)


@when('the operator runs "{arguments}"')
def step_run_command(context, arguments):
    words = arguments.replace("FOLDER", str(context.folder)).split()
    context.output = call_command(words)


@when('the operator\'s command drains the VM "{vm}" and waits')
def step_drain(context, vm):
    options = make_options(timedelta(seconds=WAIT_S))
    run_on_fleet(context, lambda operator: drain(operator, "vm", vm, "operations", options))


@when('the operator\'s command removes the drain of "{vm}"')
def step_undrain(context, vm):
    run_on_fleet(context, lambda operator: undrain(operator, "vm", vm, make_options()))


@when('the operator\'s command explains "{service}"')
def step_explain(context, service):
    run_on_fleet(context, lambda operator: explain(operator, service, ""))


@when("the operator's command shows the history")
def step_show_history(context):
    run_on_fleet(context, lambda operator: show_history(operator, 20))


@when("the operator's command asks for the status")
def step_ask_status(context):
    run_on_fleet(context, show_status)


@then('the operator\'s command ended with code {code:d} and text "{text}"')
def step_check_result(context, code, text):
    assert context.result.code == code, context.result
    assert text in context.result.text, context.result.text


@then('no target of the explanation is "{vm}"')
def step_check_targets(context, vm):
    for value in context.result.value.values():
        targets = [item["vm"] for item in value["lookup"]["targets"]]
        assert targets, value
        assert vm not in targets, value


@then('the explanation for the caller "{caller}" names the availability zone "{zone}" at "{vm}"')
def step_explain_caller(context, caller, zone, vm):
    run_on_fleet(context, lambda operator: explain(operator, "status-svc", "", caller))
    found = context.result.value[vm]["lookup"]["caller_availability_zone"]
    assert found == zone, context.result.value


@given("three control processes of which the first follows, the second is down and the third leads")
def step_start_controls(context):
    network = MemoryNetwork(lambda _source, _target: 0.001)
    context.caller = network.host("127.0.0.9")
    context.received, context.asked, context.lost_responses = [], [], 0

    async def follow(exchange):
        await exchange.read_json()
        context.asked.append("a")
        await exchange.respond_json(503, {"error": "not_leader", "value": "127.0.0.4:7405"})

    async def lead(exchange):
        context.received.append(await exchange.read_json())
        context.asked += [note.split()[0] for note in context.notes if "b" not in context.asked]
        context.asked.append("c")
        if context.lost_responses:
            context.lost_responses -= 1
            exchange.abort()
            return
        await exchange.respond_json(200, {"version": 1})

    context.replicas = tuple(
        FleetVmSettings(vm, Address(f"127.0.0.{number}", 7405))
        for number, vm in enumerate("abc", start=2)
    )
    for replica, handler in zip(context.replicas[::2], (follow, lead), strict=True):
        host = network.host(replica.operators.host)
        server = HttpServer(handler)
        context.loop.run_until_complete(host.listen(replica.operators, server.serve))


@given("the leader loses its first response")
def step_lose_response(context):
    context.lost_responses = 1


@when("the operator sends a change")
def step_send_change(context):
    operator = make_operator(context, context.replicas, ())
    request = {"change_id": "change-17", "expected_version": 0}
    response = context.loop.run_until_complete(send_change(operator, request))
    assert response.status == 200, response


@then("the leader received the change {count:d} times with one change identifier")
def step_check_received(context, count):
    assert [item["change_id"] for item in context.received] == ["change-17"] * count


@then("the first control process was asked first and the leader that it named second")
def step_check_asked(context):
    assert context.asked[:2] == ["a", "c"], context.asked


@then("the second control process was skipped with a message")
def step_check_note(context):
    assert any(note.startswith("b skipped") for note in context.notes), context.notes


@when("acknowledgements of version {version:d} are merged")
def step_merge_acknowledgements(context, version):
    def acknowledge(vm, acknowledged, age_ms, state):
        return {"vm": vm, "version": acknowledged, "age_ms": age_ms, "state": state}

    first = [acknowledge("a", 7, 10, "valid"), acknowledge("b", 6, 10, "valid")]
    second = [acknowledge("a", 5, 9000, "isolated"), acknowledge("c", 5, 9000, "isolated")]
    context.lag_report = find_lagging_and_isolated([first, second], version, ("a", "b", "c", "d"))


@then('the lagging VM is "{lagging}" and the isolated VMs are "{first}" and "{second}"')
def step_check_lagging(context, lagging, first, second):
    assert context.lag_report == ([lagging], [first, second]), context.lag_report
