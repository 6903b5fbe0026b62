"""Steps of a group of control VMs that keeps itself whole."""

from behave import given, then, when

from features.fixtures.replica_host import holds_change
from features.fixtures.upkeep_group import make_upkeep_group, run_upkeep_chaos


@when(
    "a group of {vms:d} control VMs that bears {lost:d} lost disks"
    " goes through random faults with seed {seed:d}"
)
def step_chaos(context, vms, lost, seed):
    context.upkeep = run_upkeep_chaos(vms, lost, seed)


@then("nothing accepted is lost, and all VMs are voters again")
def step_kept(context):
    assert context.upkeep.is_whole()
    assert len(context.upkeep.group.outcomes) > 5, context.upkeep.group.outcomes


@given("a group of {vms:d} control VMs that bears {lost:d} lost disks")
def step_group(context, vms, lost):
    context.upkeep = make_upkeep_group(vms, lost, seed=1)


@when("four of its VMs are down")
def step_down(context):
    context.down = sorted(context.upkeep.group.hosts)[:4]
    for vm in context.down:
        context.upkeep.group.crash(vm)
    context.upkeep.run(1)


@then("a change isn't accepted")
def step_not_accepted(context):
    name = context.upkeep.propose()
    context.upkeep.run(3)
    assert name not in context.upkeep.group.outcomes


@when("two of them are back")
def step_back(context):
    for vm in context.down[:2]:
        context.upkeep.start(vm)
    context.upkeep.run(4)


@then("a change is accepted and durable on {count:d} disks")
def step_accepted(context, count):
    name = context.upkeep.propose()
    context.upkeep.run(3)
    assert name in context.upkeep.group.outcomes
    hosts = context.upkeep.group.hosts.values()
    holders = [host.vm for host in hosts if holds_change(host.disk.stored, name)]
    assert len(holders) >= count, holders


@when("one VM is gone for good and another one with a blank disk joins")
def step_replace(context):
    group = context.upkeep.group
    gone = next(vm for vm in sorted(group.hosts) if vm != group.leader())
    group.crash(gone)
    del group.hosts[gone]
    context.upkeep.add("successor")


@then("the group has {count:d} voters, all alive")
def step_voters(context, count):
    context.upkeep.wait_until_whole()
    leader = context.upkeep.group.leader()
    assert len(context.upkeep.group.hosts[leader].state.voters) == count
