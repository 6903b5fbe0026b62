"""Steps of departures while entry VMs are restarted."""

import asyncio
import json

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import encode_leave
from camphorspread.process.announcement_messages import LEAVE_PATH
from camphorspread.process.announcements import (
    forward_to_owner,
    process_forwarded_announcement,
)
from camphorspread.process.clock import unix_ms
from camphorspread.process.departures import DepartureNotice
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.steering_node import stop_gracefully
from features.fixtures.platform_fleet import CONTROL_PORT, PEER_PORT, ZONES

SEND_INTERVAL_S = 0.5
REQUESTS_AT_ONCE = 12
NEW_CONTROL_NUMBER = 4


@given('the entry VM of "{zone}" has been restarted and ready for {seconds:g} s')
def step_restarted(context, zone, seconds):
    fleet = context.fleet
    fleet.run_coroutine(stop_gracefully(fleet.entries.pop(f"front-{zone}-2")))
    fleet.start_entry(zone)
    fleet.run(seconds)


@given('the entry VM of "{zone}" starts')
def step_starts(context, zone):
    context.fleet.start_entry(zone)


@given('the entry VM of "{zone}" has been stopping for {seconds:g} s')
def step_stopping(context, zone, seconds):
    fleet = context.fleet
    # No announcement arrives between the handover and the departure.
    for endpoint in fleet.endpoints.values():
        endpoint.task.cancel()
    node = fleet.entries.pop(f"front-{zone}-2")
    context.stopping = fleet.loop.create_task(stop_gracefully(node))
    fleet.run(seconds)


@given('the entry VM of "{zone}" has got the announcement of "{name}"')
def step_announced(context, zone, name):
    fleet = context.fleet
    endpoint = fleet.endpoints[name]
    context.owner = endpoint.owner_address
    endpoint.task.cancel()
    owner = find_entry(fleet, context.owner)
    report = owner.state.board.registry.instances[name].report
    target = Address(fleet.host(zone, 2), PEER_PORT)
    # The response arrives too late, so that both VMs own the endpoint.
    peer = EntryVm(f"front-{zone}-2", 0, zone, zone[:-2], target, target)
    assert fleet.run_coroutine(forward_to_owner(owner.state, peer, report))


def find_entry(fleet, address):
    """Return the entry VM with this address for other processes."""
    return next(
        node for node in fleet.entries.values() if node.state.settings.peers.host == address.host
    )


@when('the endpoint "{name}" says that it is draining to the entry VM of "{zone}"')
def step_drain_at(context, name, zone):
    drain_at(context, name, Address(context.fleet.host(zone, 2), PEER_PORT))


@when('the endpoint "{name}" says that it is draining to its owner in another region')
def step_drain_at_owner(context, name):
    drain_at(context, name, context.owner)


def drain_at(context, name, address):
    """Announce that an endpoint is draining to one entry VM only."""
    endpoint = context.fleet.endpoints[name]
    endpoint.state = "draining"
    endpoint.owner_address = address
    endpoint.controls = ()
    context.acknowledged = context.fleet.run_coroutine(endpoint.send_heartbeat())
    context.departed = name


@given('the endpoint "{name}" sends an announcement that is held up')
def step_hold_up(context, name):
    endpoint = context.fleet.endpoints[name]
    endpoint.task.cancel()
    endpoint.seq += 1
    context.late = (name, endpoint.make_heartbeat())
    context.owner = endpoint.owner_address


@when('the endpoint "{name}" says that it is draining to its present owner')
def step_drain_at_present_owner(context, name):
    drain_at(context, name, context.fleet.endpoints[name].owner_address)


@when('the announcement arrives {seconds:g} s later at the control VM of "{zone}"')
def step_arrive_at_control(context, seconds, zone):
    context.fleet.run(seconds)
    deliver_late(context, zone, CONTROL_PORT, 1)


@when('the announcement arrives {seconds:g} s later at the entry VM of "{zone}"')
def step_arrive_at_entry(context, seconds, zone):
    context.fleet.run(seconds)
    deliver_late(context, zone, PEER_PORT, 2)


@when("no process is killed and started again {seconds:g} s later")
def step_restart_none(context, seconds):
    context.fleet.run(seconds)


@when('the entry VM of "{zone}" is killed and started again {seconds:g} s later')
def step_restart_entry(context, zone, seconds):
    context.fleet.kill(f"front-{zone}-2")
    context.fleet.run(seconds)
    context.fleet.start_entry(zone)
    context.fleet.run(1)


@when("all control VMs are killed and started again {seconds:g} s later")
def step_restart_controls(context, seconds):
    for zone in ZONES:
        context.fleet.kill(f"core-{zone}-1")
    context.fleet.run(seconds)
    for zone in ZONES:
        context.fleet.start_control(zone, is_first=False)
    context.fleet.run(1)


def deliver_late(context, zone, port, number):
    """Deliver the announcement that was held up; its sender no longer waits for the response."""
    name, body = context.late
    target = f"/-/Instances.Heartbeat/{name}"
    answer = context.fleet.call(zone, port, "POST", target, body, number)
    assert answer is not None, name


@given('the entry VM of "{zone}" is cut off')
def step_cut_off(context, zone):
    network, host = context.fleet.network, context.fleet.host(zone, 2)
    hosts = {address.host for address in network.listeners} - {host}
    network.cut({host}, hosts)
    context.reader = context.fleet.entries[f"front-{zone}-2"]
    context.reports = {
        name: item.report for name, item in context.reader.state.board.registry.instances.items()
    }


@when('the entry VM of "{zone}" is reachable again')
def step_reachable(context, zone):
    context.fleet.network.heal()


@when('it reads an earlier announcement of "{name}" that was forwarded to it')
def step_read_forwarded(context, name):
    process_forwarded_announcement(context.reader.state, context.reports[name])


@given('the control VM of "{zone}" is replaced by a new one after {seconds:g} s')
def step_replace_control(context, zone, seconds):
    context.fleet.kill(f"core-{zone}-1")
    context.fleet.run(seconds)
    context.fleet.start_control(zone, is_first=False, number=NEW_CONTROL_NUMBER)


@when('the endpoint "{name}" deregisters without a body at the control VM of "{zone}"')
def step_deregister(context, name, zone):
    deregister(context, name, zone, 1)


@when('the endpoint "{name}" deregisters without a body at the new control VM of "{zone}"')
def step_deregister_new(context, name, zone):
    deregister(context, name, zone, NEW_CONTROL_NUMBER)


def deregister(context, name, zone, number):
    """Deregister an endpoint at one control VM; it goes on serving."""
    context.fleet.endpoints[name].task.cancel()
    target = f"/-/Instances.Deregister/{name}"
    answer = context.fleet.call(zone, CONTROL_PORT, "POST", target, number=number)
    context.acknowledged = answer is not None and answer[0] == 200
    context.departed = name


@then("no request of a client runs at it from {start:g} s to {end:g} s later")
def step_no_runs(context, start, end):
    fleet = context.fleet
    endpoint = fleet.endpoints[context.departed]
    told_at = fleet.clock.monotonic().total_seconds()

    async def send_until_end():
        requests = []
        for _ in range(round(end / SEND_INTERVAL_S)):
            for name in fleet.entries:
                zone = name.removeprefix("front-").removesuffix("-2")
                requests += [
                    asyncio.create_task(fleet.request(zone, "/read/x", key=f"k{number}"))
                    for number in range(REQUESTS_AT_ONCE)
                ]
            await asyncio.sleep(SEND_INTERVAL_S)
        return await asyncio.gather(*requests)

    answers = fleet.run_coroutine(send_until_end())
    served = sum(answer is not None and answer[0] == 200 for answer in answers)
    late = [at - told_at for at in endpoint.run_times if at - told_at > start]
    assert served > len(answers) / 2, (served, len(answers))
    assert not late, late


@given('the endpoint "{name}" ends and starts again under its identifier')
def step_start_again_named(context, name):
    context.departed = name
    context.earlier_start = context.fleet.endpoints[name].born
    step_start_again(context)


@when('a notice of the earlier start arrives at the entry VM of "{zone}"')
def step_late_notice(context, zone):
    notice = DepartureNotice(context.departed, context.earlier_start, 0)
    body = json.dumps(encode_leave(notice)).encode()
    answer = context.fleet.call(zone, PEER_PORT, "POST", LEAVE_PATH, body, 2)
    assert answer is not None and answer[0] == 200, answer
    context.fleet.endpoints[context.departed].run_times.clear()


@when("it ends and starts again under its identifier")
def step_start_again(context):
    fleet = context.fleet
    former = fleet.endpoints[context.departed]
    fleet.run_coroutine(former.stop())
    fleet.add_endpoint(former.instance, former.service, former.zone, born=unix_ms(fleet.clock))


@then('a request of a client of "{zone}" runs at it within {seconds:g} s')
def step_runs_again(context, zone, seconds):
    fleet = context.fleet
    endpoint = fleet.endpoints[context.departed]

    async def send_until_run():
        requests = []
        end = fleet.clock.monotonic().total_seconds() + seconds
        while not endpoint.run_times and fleet.clock.monotonic().total_seconds() < end:
            requests += [
                asyncio.create_task(fleet.request(zone, "/read/x", key=f"n{len(requests)}"))
                for _ in range(REQUESTS_AT_ONCE)
            ]
            await asyncio.sleep(SEND_INTERVAL_S / 10)
        await asyncio.gather(*requests)

    fleet.run_coroutine(send_until_run())
    assert endpoint.run_times, seconds
