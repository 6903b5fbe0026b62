"""Steps for backend servers that entry VMs lend to each other."""

from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.process.instances import (
    Instance,
    InstanceRegistry,
    apply_report,
    is_usable,
    remove_instance,
    suspend_instance,
)
from camphorspread.process.loans import (
    LentList,
    extend_loans,
    loan_duration,
    max_requests_per_vm,
    replace_loans,
    update_lent_list,
)
from camphorspread.process.vm_summary import desired_interval, same_region_interval
from camphorspread.request.placement_board import find_run_times
from camphorspread.request.run_statistics import (
    record_reported_load,
    record_run_end,
    record_run_start,
)
from features.fixtures.placement_simulation import make_board, make_request
from features.fixtures.platform_fleet import ZONES
from features.steps.instances_steps import LEASE, make_report

ZERO = timedelta(0)
EVACUATED_ZONE = "sofia-b"
LOAN_END = timedelta(seconds=1.2)


def build_report(name, started=100):
    return make_report(name, f"10.1.0.{name[-1]}:80", started, 1, "ready")


def lend(context, lender, reports, until=LOAN_END, now=ZERO):
    replace_loans(context.registry, lender, reports, until, now)


@given('a VM that has borrowed "{one}" and "{other}" from "{lender}" until second {end:g}')
def step_borrowed(context, one, other, lender, end):
    context.registry = InstanceRegistry(LEASE)
    lend(context, lender, [build_report(one), build_report(other)], timedelta(seconds=end))


@given('a VM that owns "{name}" by its announcement')
def step_owned(context, name):
    context.registry = InstanceRegistry(LEASE)
    apply_report(context.registry, build_report(name), ZERO)


@then('"{name}" may be used at second {second:g}')
def step_usable_at(context, name, second):
    assert is_usable(context.registry.instances[name], frozenset(), timedelta(seconds=second))


@then('"{name}" may not be used at second {second:g}')
def step_unusable_at(context, name, second):
    assert not is_usable(context.registry.instances[name], frozenset(), timedelta(seconds=second))


@when('contact with "{lender}" extends its loans until second {end:g}')
def step_extend(context, lender, end):
    extend_loans(context.registry, lender, timedelta(seconds=end))


@then(
    "a loan lasts {loan:g} s if departures take effect within {limit:g} s, "
    "and {short:g} s if within 1 s"
)
def step_loan_time(context, loan, limit, short):
    interval = desired_interval(sharers=8)
    assert loan_duration(timedelta(seconds=limit), interval) == timedelta(seconds=loan)
    assert loan_duration(timedelta(seconds=1), interval) == timedelta(seconds=short)


@then(
    "with {sharers:d} VMs and departures in effect within {limit:g} s, a loan ends "
    "{reserve:g} s before and outlasts two summaries by {slack:g} s"
)
def step_loan_of_large_region(context, sharers, limit, reserve, slack):
    drain_limit = timedelta(seconds=limit)
    loan = loan_duration(drain_limit, desired_interval(sharers))
    interval = same_region_interval(sharers, drain_limit)
    assert loan <= drain_limit - timedelta(seconds=reserve), loan
    assert loan - 2 * interval >= timedelta(seconds=slack), (loan, interval)


@when('"{lender}" lists only "{name}"')
def step_list_one(context, lender, name):
    lend(context, lender, [build_report(name)])


@when('"{lender}" lists "{one}" and "{other}"')
def step_list_two(context, lender, one, other):
    lend(context, lender, [build_report(one), build_report(other)])


@when('"{name}" departs from this VM')
def step_departs(context, name):
    remove_instance(context.registry, name, ZERO)


@then('only "{name}" is known')
def step_only(context, name):
    assert list(context.registry.instances) == [name], context.registry.instances


@then('"{name}" is owned by this VM')
def step_is_owned(context, name):
    assert context.registry.instances[name].lender == ""


@then('"{name}" is borrowed from "{lender}"')
def step_is_borrowed(context, name, lender):
    assert context.registry.instances[name].lender == lender


@when('the announcements of "{name}" have stopped for a lease and "{lender}" lists it')
def step_announcements_stopped(context, name, lender):
    lend(context, lender, [build_report(name)], LEASE + LOAN_END, LEASE)


@when('"{name}" announces itself to this VM')
def step_announces(context, name):
    report = attrs.evolve(build_report(name), sequence=9)
    apply_report(context.registry, report, LEASE)


@when('"{lender}" lists a later start of "{name}"')
def step_later(context, lender, name):
    record_run_start(context.registry.instances[name], ZERO)
    lend(context, lender, [build_report(name, 200)])


@when('"{lender}" lists the earlier start of "{name}"')
def step_earlier(context, lender, name):
    lend(context, lender, [build_report(name, 100)])


@then('the later start of "{name}" is known, without requests or warm objects')
def step_is_later(context, name):
    instance = context.registry.instances[name]
    assert instance.report.started_ms == 200, instance
    assert not instance.in_flight and not instance.warm_objects, instance


@given("a VM that owns a warm, a cold, a suspended and an evacuated server and has borrowed one")
def step_mixed(context):
    context.registry = InstanceRegistry(LEASE)
    for name in ("warm-1", "cold-2", "suspended-3", "evacuated-4"):
        apply_report(context.registry, build_report(name), ZERO)
    instances = context.registry.instances
    instances["cold-2"].cold_until = timedelta(seconds=1)
    suspend_instance(context.registry, instances["suspended-3"], ZERO)
    moved = attrs.evolve(build_report("evacuated-4"), availability_zone=EVACUATED_ZONE)
    instances["evacuated-4"].report = moved
    lend(context, "vm-b", [build_report("lent-5")])
    context.lent = LentList()


def update_lent(context, second):
    zones = frozenset({EVACUATED_ZONE})
    update_lent_list(context.lent, context.registry, zones, timedelta(seconds=second))
    return [report.instance for report in context.lent.reports]


@then("it lends only the warm one")
def step_lends(context):
    assert update_lent(context, 0) == ["warm-1"]


@then("its list has a new number once the cold one is warm, and the same one after that")
def step_number(context):
    before = context.lent.number
    assert update_lent(context, 1) == ["warm-1", "cold-2"]
    assert context.lent.number == before + 1
    update_lent(context, 2)
    assert context.lent.number == before + 1


@when('a connection to the borrowed "{name}" is refused')
def step_refused_borrowed(context, name):
    suspend_instance(context.registry, context.registry.instances[name], ZERO)


@given("a server of 6 slots with {own:d} requests of this VM that reports {reported:d} in all")
def step_reports(context, own, reported):
    context.server = Instance(build_report("i-1"), LEASE, ZERO, ZERO)
    context.server.in_flight = own
    record_reported_load(context.server, reported, ZERO)


@then("it counts as having {count:d} requests now and {own:d} after {seconds:g} s")
def step_counts(context, count, own, seconds):
    assert context.server.count_busy(ZERO) == count
    assert context.server.count_busy(timedelta(seconds=seconds)) == own


@then("a VM may have {share:d} requests at a server of {slots:d} slots that {sharers:d} VMs share")
def step_share(context, share, slots, sharers):
    assert max_requests_per_vm(slots, sharers) == share


@given("a server of 6 slots whose expected run times are {warm:g} s and {cold:g} s")
def step_initial_run_times(context, warm, cold):
    context.board = make_board(1)
    context.server = context.board.registry.instances["i-0"]
    context.times = find_run_times(context.board, "status", "read", 0.4)
    context.times.warm_s, context.times.cold_s = warm, cold


@when("a run of {run:g} s ends there while it has {count:d} requests")
def step_run_ends(context, run, count):
    record_run_start(context.server, ZERO)
    record_run_end(context.board, context.server, make_request(0.0, "o"), True, run, ZERO, count)


@then("the expected run times are still {warm:g} s and {cold:g} s")
def step_same_times(context, warm, cold):
    assert (context.times.warm_s, context.times.cold_s) == (warm, cold), context.times
    assert not context.server.run_ratios, context.server


@then("the object counts as warm at the server")
def step_object_is_warm(context):
    assert "o" in context.server.warm_objects


@then("the expected run times are updated from it")
def step_times_follow(context):
    assert context.times.runs == 1, context.times


@then('some of them ran at "{name}" without forwarding within the region')
def step_direct(context, name):
    assert context.new_runs[name], context.new_runs
    state = context.fleet.entries["front-sofia-a-2"].state
    borrowed = [item.name for item in state.board.registry.instances.values() if item.lender]
    assert name in borrowed, borrowed
    assert state.board.registry.instances[name].sends, name


@when("the entry VMs reach each other again")
def step_end_partition(context):
    context.fleet.network.heal()


@when('the entry VM of "{zone}" is cut off from all other VMs')
def step_cut_entry(context, zone):
    fleet = context.fleet
    own = fleet.host(zone, 2)  # In each zone, host 1 is the control VM and host 2 the entry VM.
    fleet.network.cut(
        {own}, {fleet.host(item, number) for item in ZONES for number in (1, 2)} - {own}
    )
