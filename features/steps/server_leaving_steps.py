"""Steps for endpoints that state in their responses that they leave."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.process.instances import (
    InstanceRegistry,
    apply_report,
    is_usable,
    mark_leaving,
)
from camphorspread.process.loans import LentList, replace_loans, update_lent_list
from camphorspread.request.dialect import Leaving, Staying, Unreadable
from features.steps.instances_steps import LEASE, make_report

NOW = timedelta(seconds=5)
LOAN = timedelta(seconds=1)
OWNED, BORROWED = "i-1", "i-2"
MEANINGS = {"nothing": Staying, "leaving": Leaving, "unreadable": Unreadable}
# A request may cross a response on the way between two regions.
ROUND_TRIP_S = 0.12


@given('a response with the leaving headers "{headers}"')
def step_response(context, headers):
    values = [b""] if headers == "empty" else headers.encode().split(b" / ")
    fields = tuple((b"server-leaving", value) for value in values)
    context.statement = PlatformDialect().decode_response(ResponseHead(200, fields)).departure


@given('a response with the leaving headers ""')
def step_no_header(context):
    context.statement = PlatformDialect().decode_response(ResponseHead(200, ())).departure


@then("it states {meaning}")
def step_meaning(context, meaning):
    assert type(context.statement) is MEANINGS[meaning], context.statement


def announce(context, started, sequence, now):
    """Let one server announce itself to the VM, and another VM lend it the other one."""
    owned = make_report(OWNED, "10.1.0.1:80", started, sequence, "ready")
    borrowed = make_report(BORROWED, "10.1.0.2:80", started, sequence, "ready")
    apply_report(context.registry, owned, now)
    replace_loans(context.registry, "vm-b", [borrowed], now + LOAN, now)


@given("a VM that owns a server and borrows another one")
def step_two(context):
    context.registry = InstanceRegistry(LEASE)
    announce(context, 100, 1, NOW)
    context.former = tuple(context.registry.instances.values())


@when("both state that they leave")
def step_both_leave(context):
    for instance in context.registry.instances.values():
        assert mark_leaving(context.registry, instance, NOW)
        assert not mark_leaving(context.registry, instance, NOW)


@when("both announce themselves and are lent once more")
def step_announced_again(context):
    announce(context, 100, 2, NOW)


@when("both are started anew")
def step_started(context):
    announce(context, 200, 1, NOW)


@when("responses of their former starts state that they leave")
def step_late(context):
    for instance in context.former:
        mark_leaving(context.registry, instance, NOW)


def list_usable(context, now):
    """Return the servers that may be used, and those that are lent."""
    instances = context.registry.instances
    usable = [name for name in sorted(instances) if is_usable(instances[name], frozenset(), now)]
    lent = LentList()
    update_lent_list(lent, context.registry, frozenset(), now)
    return usable, [report.instance for report in lent.reports]


@then("neither may be used, and the owned one isn't lent")
def step_unusable(context):
    assert list_usable(context, NOW) == ([], [])


@then("both may be used {seconds:d} s later, if they are still announced")
def step_usable_later(context, seconds):
    later = NOW + timedelta(seconds=seconds)
    before = later - timedelta(seconds=0.1)
    registry = context.registry
    context.registry = InstanceRegistry(LEASE, statements=registry.statements)
    announce(context, 100, 3, before)
    assert list_usable(context, before) == ([], [])
    assert list_usable(context, later) == ([OWNED, BORROWED], [OWNED])
    context.registry = registry


@then("both may be used")
def step_usable(context):
    assert list_usable(context, NOW) == ([OWNED, BORROWED], [OWNED])


@given('the announcements of "{name}" don\'t arrive any more')
def step_silent(context, name):
    context.fleet.endpoints[name].task.cancel()


@when('"{name}" says that it leaves in its responses')
def step_says(context, name):
    context.leaving = [context.fleet.endpoints[name]]
    context.leaving[0].leaving = b"1"


@when('"{name}" says that it leaves, and refuses all in its responses')
def step_refuses(context, name):
    step_says(context, name)
    context.leaving[0].fault = "shed"


@given('all "{service}" endpoints say in their responses that they leave')
def step_all_leave(context, service):
    state_departures(context, service, b"1")


@given('all "{service}" endpoints state "{value}" on their departure')
def step_all_state(context, service, value):
    state_departures(context, service, value.encode())


def state_departures(context, service, value):
    """Let all endpoints of a service state a value in their responses."""
    context.leaving = [item for item in context.fleet.endpoints.values() if item.service == service]
    for endpoint in context.leaving:
        endpoint.leaving = value


@then("each entry VM has sent it nothing after a response of it")
@then("each entry VM has sent nothing to an endpoint after a response of it")
def step_nothing_sent(context):
    assert any(endpoint.told for endpoint in context.leaving)
    late = [
        (endpoint.instance, host, at - endpoint.told[host])
        for endpoint in context.leaving
        for at, host in endpoint.arrivals
        if host in endpoint.told and at > endpoint.told[host] + ROUND_TRIP_S
    ]
    assert not late, late


@then("the later ones of these requests get 503 within {seconds:g} s")
def step_refused_at_once(context, seconds):
    later = context.answers[len(context.answers) // 2 :]
    assert {answer[0] for answer, _ in later} == {503}, later
    assert max(spent for _, spent in later) <= seconds, later


@then("the entry VMs have logged and counted unreadable statements")
def step_logged(context):
    logs = "".join(log.getvalue() for log in context.fleet.logs.values())
    assert "departure_unreadable" in logs
    entries = context.fleet.entries.values()
    assert any(sum(item.state.metrics.unreadable_departures.values()) for item in entries)
