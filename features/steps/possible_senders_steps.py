"""Steps for the entry VMs that may send to a leaving backend server."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.process.instances import (
    InstanceRegistry,
    apply_report,
    has_owned_for_lease,
    restart_ownership,
)
from camphorspread.process.possible_senders import SenderVm, list_possible_senders
from features.steps.instances_steps import LEASE, make_report

NOW = timedelta(seconds=100)
ANNOUNCEMENT_INTERVAL = timedelta(seconds=1.5)


@given("these entry VMs and a lease of {seconds:g} s")
def step_vms(context, seconds):
    context.lease = timedelta(seconds=seconds)
    context.vms = [
        SenderVm(
            row["vm"],
            row["region"],
            row["leaving"] == "yes",
            None
            if row["alive for"] == "dead"
            else NOW - timedelta(seconds=float(row["alive for"])),
        )
        for row in context.table
    ]


@then('a departure from region "{region}" is told to {vms}')
def step_told(context, region, vms):
    check_told(context, region, vms)


@then('a departure from region "" is told to {vms}')
def step_told_unknown(context, vms):
    check_told(context, None, vms)


def check_told(context, region, vms):
    names = list_possible_senders(context.vms, region, context.lease, NOW)
    assert sorted(names) == vms.split(), names


@given("a VM to which a server announces itself each 1.5 s from second 0 to second {last:g}")
def step_announced(context, last):
    context.registry = InstanceRegistry(LEASE)
    context.events = {
        count * ANNOUNCEMENT_INTERVAL: "announcement"
        for count in range(round(last / ANNOUNCEMENT_INTERVAL.total_seconds()) + 1)
    }


@when("nothing else happens")
def step_nothing(context):
    pass


@when("it forwards the announcement at second {second:g}")
def step_forwards(context, second):
    context.events[timedelta(seconds=second)] = "forward"


@when("the server announces itself at second {second:g}")
def step_announces_again(context, second):
    context.events[timedelta(seconds=second)] = "announcement"


@then("at second {second:g} it is {owner}")
def step_is_owner(context, second, owner):
    now = timedelta(seconds=second)
    for sequence, at in enumerate(sorted(context.events), 1):
        if at > now:
            break
        if context.events[at] == "announcement":
            report = make_report("i-1", "10:1", 100, sequence, "ready")
            apply_report(context.registry, report, at)
        else:
            restart_ownership(context.registry, "i-1", at)
    instance = context.registry.instances["i-1"]
    is_only = has_owned_for_lease(context.registry, instance, now)
    assert is_only == (owner == "the only owner"), (instance.owned_since, instance.usable_until)
