"""Steps for announcements of backend servers."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.departures import DepartureNotice, resolve_departure
from camphorspread.process.instances import (
    InstanceRegistry,
    InstanceReport,
    apply_report,
    expire_instances,
    is_usable,
    mark_zone_cold,
    remove_departed,
    remove_instance,
    suspend_instance,
)

NOW = timedelta(seconds=100)
LEASE = timedelta(seconds=4.5)
ZONE = "sofia-a"


def make_report(instance, address, started, sequence, state):
    host, _, port = address.partition(":")
    return InstanceReport(
        instance,
        "status",
        Address(host, int(port)),
        ZONE,
        4,
        state == "leaving",
        timedelta(0),
        int(started),
        int(sequence),
    )


@given("an entry VM that knows these announcements")
def step_known(context):
    context.registry = InstanceRegistry(LEASE)
    for row in context.table:
        apply_report(context.registry, make_report(*row.cells), NOW)


@when("the announcement {text} arrives")
def step_arrive(context, text):
    context.outcome = apply_report(context.registry, make_report(*text.split()), NOW)


@then("it is {outcome} and the known servers are {known}")
def step_check(context, outcome, known):
    assert context.outcome.value == outcome, context.outcome
    assert sorted(context.registry.instances) == known.split(), context.registry.instances
    listed = sorted(item.name for item in context.registry.by_service["status"])
    assert listed == known.split(), listed


@then("the announcement {text} is {outcome}")
def step_outcome(context, text, outcome):
    result = apply_report(context.registry, make_report(*text.split()), NOW)
    assert result.value == outcome, result


@then("{seconds:d} s later the announcement {text} is {outcome}")
def step_outcome_later(context, seconds, text, outcome):
    now = NOW + timedelta(seconds=seconds)
    expire_instances(context.registry, now)
    result = apply_report(context.registry, make_report(*text.split()), now)
    assert result.value == outcome, result


@when('"{name}" departs')
def step_depart(context, name):
    remove_instance(context.registry, name, NOW)


@when('the start {started:d} of "{name}" departs')
def step_depart_start(context, started, name):
    departure = resolve_departure(DepartureNotice(name, started, 0), [], NOW)
    remove_departed(context.registry, departure)


@when('"{name}", whose start nobody knows, departs at {told:d}')
def step_depart_unknown(context, name, told):
    departure = resolve_departure(DepartureNotice(name, None, told), [], NOW)
    remove_departed(context.registry, departure)


@when('a connection to "{name}" is refused')
def step_refuse(context, name):
    suspend_instance(context.registry, context.registry.instances[name], NOW)


@when("the evacuation of its availability zone ends")
def step_evacuation_ends(context):
    mark_zone_cold(context.registry, ZONE)


def may_use(context, name, seconds, evacuated=frozenset()):
    instance = context.registry.instances[name]
    return is_usable(instance, evacuated, NOW + timedelta(seconds=seconds))


@then('"{name}" may be used {seconds:g} s later')
def step_usable(context, name, seconds):
    assert may_use(context, name, seconds)


@then('"{name}" may not be used {seconds:g} s later')
def step_unusable(context, name, seconds):
    assert not may_use(context, name, seconds)


@then('"{name}" may not be used while its availability zone is evacuated')
def step_evacuated(context, name):
    assert not may_use(context, name, 0, frozenset({ZONE}))


@then('"{name}" is cold')
def step_cold(context, name):
    assert context.registry.instances[name].is_cold(NOW)


@then('"{name}" isn\'t cold')
def step_not_cold(context, name):
    assert not context.registry.instances[name].is_cold(NOW)
