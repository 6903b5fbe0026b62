"""Steps for the polls of entry VMs."""

from datetime import timedelta
from unittest import mock

import attrs
from behave import then, when

from camphorspread.connection.network import Address
from camphorspread.platform.routing_codec import decode_table
from camphorspread.process import vm_poll_listener
from camphorspread.process.live_vms import ALIVE_TTL
from camphorspread.process.poll_times import poll_hold
from camphorspread.process.vm_poll import apply_poll_response, encode_poll
from camphorspread.process.vm_record_codec import encode_address
from features.fixtures.platform_fleet import PEER_PORT, ZONES, make_configuration


@then(
    "a VM that polls {controls:d} control VMs sends at most {polls:g} polls a second to all of them"
)
def step_poll_rate(context, controls, polls):
    rate = controls / poll_hold(controls).total_seconds()
    assert rate <= polls, rate


@then(
    "with {first:d} to {last:d} control VMs a poll is held at least {seconds:g} s less than a "
    "listed VM stays alive"
)
def step_poll_hold(context, first, last, seconds):
    for controls in range(first, last + 1):
        assert ALIVE_TTL - poll_hold(controls) >= timedelta(seconds=seconds), controls


@then("with {vms:d} entry VMs changes are reported within {seconds:g} s")
def step_list_delay(context, vms, seconds):
    assert vm_poll_listener.list_change_delay(vms) == timedelta(seconds=seconds)


@when('the responses to polls are counted while the entry VM of "{zone}" is killed and started')
def step_restart_counted(context, zone):
    context.vm = f"front-{zone}-2"
    encode = vm_poll_listener.encode_poll_response
    context.listed = []

    def count(steering, poll):
        value = encode(steering, poll)
        if poll["vm"] != context.vm:
            context.listed.append(len(value.get("vms", ())) + len(value.get("changed", ())))
        return value

    with mock.patch.object(vm_poll_listener, "encode_poll_response", count):
        context.fleet.kill(context.vm)
        context.fleet.run(1)
        context.fleet.start_entry(zone)
        context.fleet.run(3)


@when(
    'the entry VM of "{zone}" is cut off from the control VMs for {seconds:g} s and the lists are '
    "counted"
)
def step_cut_counted(context, zone, seconds):
    fleet = context.fleet
    encode = vm_poll_listener.encode_poll_response
    context.vm = f"front-{zone}-2"
    context.whole_lists = 0

    def count(steering, poll):
        value = encode(steering, poll)
        context.whole_lists += "vms" in value
        return value

    with mock.patch.object(vm_poll_listener, "encode_poll_response", count):
        fleet.network.cut({fleet.host(zone, 2)}, {fleet.host(item, 1) for item in ZONES})
        fleet.run(seconds)
        fleet.network.heal()
        fleet.run(4)


@then('every entry VM knows that of "{zone}"')
def step_knows(context, zone):
    now = context.fleet.clock.monotonic()
    for vm, node in context.fleet.entries.items():
        alive = {name for name, peer in node.state.board.peers.items() if now < peer.alive_until}
        assert alive == set(context.fleet.entries) - {vm}, (vm, alive)


@then("no response listed all entry VMs")
def step_no_whole_list(context):
    assert context.whole_lists == 0, context.whole_lists


@then('every entry VM knows the new process of "{zone}"')
def step_known(context, zone):
    states = {vm: node.state for vm, node in context.fleet.entries.items()}
    started = states.pop(f"front-{zone}-2")
    known = {vm: state.board.peers[context.vm].incarnation for vm, state in states.items()}
    assert set(known.values()) == {started.incarnation}, known


@then("no response to a running VM listed more than {count:d} VM")
def step_listed(context, count):
    assert max(context.listed) == count, context.listed


def make_poll(context):
    """Return the state of a control VM and an entry VM's poll of it."""
    state = context.fleet.entries["front-sofia-a-2"].state
    control = next(iter(state.controls.values()))
    steering = next(
        node.steering
        for node in context.fleet.controls.values()
        if node.steering.settings.peers == control.peers
    )
    return steering, encode_poll(state, control, timedelta(0))


@when("a control VM leaves the group and another one joins it between two polls of an entry VM")
def step_replace_member(context):
    steering, poll = make_poll(context)
    *members, last = steering.shell.state.members
    context.joined = Address("10.9.0.1", PEER_PORT)
    new = attrs.evolve(last, vm="core-new", peers=context.joined)
    steering.shell.state.members = (*members, new)
    context.response = vm_poll_listener.encode_poll_response(steering, poll)


@then("the response lists the new control VM")
def step_lists_new(context):
    assert encode_address(context.joined) in context.response["controls"], context.response


@when("an entry VM that takes no changes polls with an outdated list")
def step_old_poll(context):
    steering, poll = make_poll(context)
    del poll["takes_changes"]
    incarnation, revision, members = poll["fleet"].split(".")
    poll["fleet"] = f"{incarnation}.{int(revision) - 1}.{members}"
    context.response = vm_poll_listener.encode_poll_response(steering, poll)


@then("the response lists all {count:d} entry VMs")
def step_whole_list(context, count):
    assert len(context.response["vms"]) == count, context.response


@when("an entry VM that fetches no updates polls without a catalogue")
def step_poll_without_updates(context):
    steering, poll = make_poll(context)
    del poll["is_nearest"]
    context.response = vm_poll_listener.encode_poll_response(steering, poll | {"version": 0})


@then("the response has the document of configuration 1")
def step_has_document(context):
    routing = context.response["catalogue"]["routing"]
    assert routing == {"revision": 1, "text": make_configuration(1).decode()}, routing


@when("a control VM of an earlier version sends configuration 2 in its response to a poll")
def step_whole_document(context):
    context.state = context.fleet.entries["front-sofia-a-2"].state
    version = context.state.catalogue_version + 1
    routing = {"revision": 2, "text": make_configuration(2).decode()}
    catalogue = {"version": version, "routing": routing, "evacuated": []}
    control = next(iter(context.state.controls.values()))
    value = {"version": version, "catalogue": catalogue}
    apply_poll_response(context.state, control, value, decode_table)


@then("configuration 2 is in force at the entry VM")
def step_whole_in_force(context):
    assert context.state.table.revision == 2, context.state.table.revision


@then("a later configuration 3 is in force on every entry VM")
def step_later(context):
    answer = context.fleet.send_operator_call("/-/Evacuations.Start/varna-b")
    assert answer[0] == 200, answer
    answer = context.fleet.send_operator_call("/-/Config.Put", make_configuration(3))
    assert answer[0] == 200, answer
    context.fleet.run(2)
    found = {vm: node.state.table.revision for vm, node in context.fleet.entries.items()}
    assert set(found.values()) == {3}, found
