"""Steps for ownership, ramp-up and load reports of endpoints."""

import asyncio
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.drain_watch import handle_sigterm
from camphorspread.process.endpoint_health import (
    EndpointHealthTable,
    count_free_slots,
    rank_endpoint,
)
from camphorspread.process.endpoints import (
    Announcement,
    Endpoint,
    EndpointRegistry,
    HandoverToken,
    LoadReport,
    ReportHistory,
    record_announcement,
    record_report,
    weigh_report,
)
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.owner_choice import (
    AnnounceResponse,
    OwnerChoice,
    OwnerTarget,
    apply_response,
    record_no_response,
)
from camphorspread.process.ownership import Accepted, decide_ownership, list_owners
from features.fixtures.entry_fleet import make_service

SERVICE = "status-svc"
ADDRESS = Address("127.0.0.100", 80)
FIRST_VMS = ("sofia-a-1", "sofia-a-2")


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def seconds(number):
    return timedelta(seconds=float(number))


@given(
    'an endpoint with {slots:d} slots and requests of {time:g} s owned by the first VM of "sofia-a"'
)
def step_endpoint(context, slots, time):
    fleet = context.entry_fleet
    # The limit allows for waiting in the queue. A request cut off at its deadline would count as a
    # failure and delay the ramp-up.
    fleet.put_service(make_service(SERVICE, (), request_time_limit_ms=10000))
    view = fleet.state("sofia-a-1").fleet
    name = next(
        name
        for name in (f"status-{number}" for number in range(50))
        if list_owners(view, SERVICE, name, "sofia-a")[0].vm == "sofia-a-1"
    )
    context.backend = run(context, fleet.start_backend(SERVICE, name, "sofia-a-1", slots, time))
    run(context, asyncio.sleep(0.1))
    context.owner = "sofia-a-1"


def find_endpoint(context, vm):
    nodes = context.entry_fleet.nodes
    if vm not in nodes:
        return None
    return nodes[vm].state.registry.find_endpoint(SERVICE, context.backend.announcement.endpoint)


@given('a steady load of requests through both VMs of "sofia-a"')
def step_load(context):
    fleet = context.entry_fleet

    async def load(vm):
        tasks = set()
        while True:
            request = fleet.request(vm, "GET", f"/s/{SERVICE}/maps")
            task = asyncio.create_task(request)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.05)

    for vm in FIRST_VMS:
        fleet.tasks.append(context.loop.create_task(load(vm)))


@attrs.define
class LossyLink:
    """Delivers messages and loses the responses of one host."""

    link: object
    host: str

    async def call(self, address, *arguments):
        """Send a message; its response is lost if it comes from the host."""
        response = await self.link.call(address, *arguments)
        if address.host == self.host:
            raise LinkError("the response was lost")
        return response


@when("responses to its renewals are lost from now on")
def step_lose_responses(context):
    run(context, asyncio.sleep(8))
    endpoint = find_endpoint(context, context.owner)
    assert endpoint.in_use == 3, endpoint
    context.backend.link = LossyLink(context.backend.link, context.backend.owner.host)


@when("the owner of the endpoint is killed")
def step_kill_owner(context):
    run(context, asyncio.sleep(8))
    run(context, context.entry_fleet.kill_vm(context.owner))


@when("the owner of the endpoint drains")
def step_drain_owner(context):
    node = context.entry_fleet.nodes[context.owner]
    handle_sigterm(node.drain_watch)

    async def stop_at_end():
        await node.drain_watch.ended
        await node.stop()

    context.entry_fleet.tasks.append(context.loop.create_task(stop_at_end()))


@then("after {time:g} s the endpoint has a new owner that serves requests")
def step_check_owner(context, time):
    run(context, asyncio.sleep(time))
    endpoint = find_endpoint(context, "sofia-a-2")
    assert endpoint is not None, context.backend.choice
    assert endpoint.in_use > 0, endpoint
    former = find_endpoint(context, context.owner)
    assert former is None or not former.is_sendable(context.clock.monotonic())


@then("the endpoint never ran more requests than it has slots")
def step_check_slots(context):
    assert context.backend.peak_busy == 3, context.backend.peak_busy


@then("within {time:g} s requests are cut at their deadline and never {count:d} run at once")
def step_check_cut(context, time, count):
    run(context, asyncio.sleep(time))
    backend = context.backend
    assert len(backend.started) - len(backend.served) > 2, backend.started
    assert backend.peak_busy < count, backend.peak_busy


@then("after {time:g} s the endpoint has a new owner without reserved slots")
def step_check_handover(context, time):
    run(context, asyncio.sleep(time))
    endpoint = find_endpoint(context, "sofia-a-2")
    assert endpoint is not None, context.backend.choice
    assert endpoint.former_in_use == 0, endpoint
    assert context.entry_fleet.nodes[context.owner].drain_watch.ended.result() == 0


@then('its usable slots after each {time:g} s are "{expected}"')
def step_check_ramp(context, time, expected):
    seen = []
    for _ in expected.split(", "):
        run(context, asyncio.sleep(time))
        seen.append(str(find_endpoint(context, context.owner).ramp_slots))
    assert ", ".join(seen) == expected, seen


def make_announcement(**fields):
    return Announcement(SERVICE, "status-1", "sofia-a", ADDRESS, 4, **fields)


@then("an endpoint renewed at 1 s is sendable at 2.9 s and not at 3 s")
def step_check_lease(context):
    endpoint = record_announcement(EndpointRegistry(), make_announcement(), seconds(1))
    assert endpoint.is_sendable(seconds(2.9))
    assert not endpoint.is_sendable(seconds(3))


def make_view(own, **states):
    records = {}
    for name, zone, region in (
        ("a1", "sofia-a", "sofia"),
        ("a2", "sofia-a", "sofia"),
        ("b1", "sofia-b", "sofia"),
        ("v1", "varna-a", "varna"),
    ):
        state = states.get(name, VmState.ALIVE)
        records[name] = VmRecord(name, zone, region, ADDRESS, ADDRESS, state=state)
    return FleetView(own, records)


def decide(case):
    first, second, third = (
        vm.vm for vm in list_owners(make_view("a1"), SERVICE, "status-1", "sofia-a")
    )
    assert {first, second, third} == {"a1", "a2", "b1"}, "the zone's VMs come first"
    assert third == "b1"
    failed = make_announcement(former_owner=f"{first}/1", failed_owners=(first,))
    match case:
        case "a new endpoint at its owner":
            return decide_ownership(make_view(first), make_announcement(), False, False)
        case "a new endpoint at the next VM":
            return decide_ownership(make_view(second), make_announcement(), False, False)
        case "a failed owner at the next VM":
            return decide_ownership(make_view(second), failed, False, False)
        case "a failed owner in another region":
            return decide_ownership(make_view("v1"), failed, False, False)
        case "a handed-over endpoint":
            return decide_ownership(make_view(second), make_announcement(), False, True)
        case "a renewal after the owner's return":
            return decide_ownership(make_view(second), make_announcement(), True, False)
        case "a lost owner at the next VM":
            view = make_view(second, **{first: VmState.LOST})
            return decide_ownership(view, make_announcement(), False, False)
        case "any endpoint at a leaving VM":
            view = make_view(first, **{first: VmState.LEAVING})
            return decide_ownership(view, make_announcement(), True, False)
    raise ValueError(case)


@then('the announcement of "{case}" is {decision}')
def step_check_decision(context, case, decision):
    result = decide(case)
    assert isinstance(result, Accepted) == (decision == "accepted"), result
    names = [vm.vm for vm in result.owners]
    assert "v1" not in names, names


@then('{reserved:d} of 4 slots are reserved until {until:d} s after "{case}"')
def step_check_reserved(context, reserved, until, case):
    former = {"a fresh start": "", "a restart of the same VM": "a1/old"}.get(case, "a2/1")
    token = HandoverToken("a2/1", 2) if "token" in case else None
    announcement = make_announcement(former_owner=former, token=token)
    handed = 1 if "handover" in case else None
    endpoint = record_announcement(
        EndpointRegistry(), announcement, seconds(0), "a1/1", seconds(10), handed
    )
    endpoint.ramp_slots = 4
    assert endpoint.former_until == seconds(until), endpoint
    assert count_free_slots(endpoint, seconds(0)) == 4 - reserved, endpoint
    endpoint.lease_end = seconds(until + 1)
    assert count_free_slots(endpoint, seconds(until)) == 4, endpoint


def weight_of(case):
    history, error, now = ReportHistory(), None, seconds(20)
    busy = 0 if "zero" in case else 2
    record_report(history, LoadReport(5, busy))
    match case:
        case "a report from the past":
            record_report(history, LoadReport(4, 9))
            assert history.report.busy_slots == 2, "the older report replaced the newer one"
        case "a report frozen 9 times" | "a report frozen 10 times":
            for number in range(int(case.split()[3])):
                record_report(history, LoadReport(6 + number, busy))
        case "zero load under errors" | "load under errors":
            error = seconds(19)
        case "zero load long after errors":
            error = seconds(10)
    return weigh_report(history, error, now)


@then('the weight of "{case}" is {weight:g}')
def step_check_weight(context, case, weight):
    assert weight_of(case) == weight, weight_of(case)


def rank_of(in_use, busy):
    reports = ReportHistory(LoadReport(1, busy))
    announcement = make_announcement(report=reports.report)
    endpoint = Endpoint(announcement, seconds(2), in_use=in_use, ramp_slots=4, reports=reports)
    return rank_endpoint(EndpointHealthTable(), endpoint, seconds(0))


@then("an endpoint with 3 of 4 slots in use ranks the same whether it reports 0 or 1 busy slots")
def step_check_false_report(context):
    assert rank_of(3, 0) == rank_of(3, 1)


@then("an endpoint that reports 4 busy slots ranks below one with 1 of 4 slots in use")
def step_check_report_counts(context):
    assert rank_of(0, 4) > rank_of(1, 0)


def make_choice():
    targets = tuple(OwnerTarget(vm, ADDRESS) for vm in ("a1", "a2"))
    return OwnerChoice(targets, seconds(0))


@then("a silent owner is left at 2.5 s, not at 2.4 s, and counts as a former owner")
def step_check_silent(context):
    choice = make_choice()
    assert not record_no_response(choice, seconds(2.4))
    assert record_no_response(choice, seconds(2.5))
    assert choice.current.vm == "a2"
    assert (choice.former_owner, choice.failed_owners) == ("a1/", ("a1",))


@then("a token is void once the VM that should take it was silent")
def step_check_token(context):
    choice = make_choice()
    owners = (OwnerTarget("a2", ADDRESS), OwnerTarget("b1", ADDRESS))
    apply_response(choice, AnnounceResponse("", owners, HandoverToken("a1/1", 0)), seconds(1))
    assert choice.token is not None
    assert record_no_response(choice, seconds(4))
    assert choice.token is None
