"""Steps for a group of control VMs that maintains its own membership."""

from behave import given, then, when

from features.fixtures.replica_host import holds_change
from features.fixtures.upkeep_group import make_upkeep_group, run_upkeep_chaos


@when(
    "a group of {vms:d} control VMs that tolerates {lost:d} lost disks"
    " runs under random faults with seed {seed:d}"
)
def step_run_random_faults(context, vms, lost, seed):
    context.upkeep = run_upkeep_chaos(vms, lost, seed)


@then("no accepted change is lost, and all VMs are voters again")
def step_check_no_loss(context):
    assert context.upkeep.has_all_voters()
    assert len(context.upkeep.group.outcomes) > 5, context.upkeep.group.outcomes


@given("a group of {vms:d} control VMs that tolerates {lost:d} lost disks")
def step_make_group(context, vms, lost):
    context.upkeep = make_upkeep_group(vms, lost, seed=1)


@when("four of its VMs are down")
def step_crash_four(context):
    context.down = sorted(context.upkeep.group.hosts)[:4]
    for vm in context.down:
        context.upkeep.group.crash(vm)
    context.upkeep.run(1)


@then("a change isn't accepted")
def step_check_not_accepted(context):
    name = context.upkeep.propose()
    context.upkeep.run(3)
    assert name not in context.upkeep.group.outcomes


@when("two of them are back")
def step_restart_two(context):
    for vm in context.down[:2]:
        context.upkeep.start(vm)
    context.upkeep.run(4)


@then("a change is accepted and durable on {count:d} disks")
def step_check_accepted(context, count):
    name = context.upkeep.propose()
    context.upkeep.run(3)
    assert name in context.upkeep.group.outcomes
    hosts = context.upkeep.group.hosts.values()
    holders = [host.vm for host in hosts if holds_change(host.disk.stored, name)]
    assert len(holders) >= count, holders


@when("one VM is lost permanently and another one with a blank disk joins")
def step_replace_lost(context):
    group = context.upkeep.group
    lost_vm = next(vm for vm in sorted(group.hosts) if vm != group.leader())
    group.crash(lost_vm)
    del group.hosts[lost_vm]
    context.upkeep.add("successor")


@then("the group has {count:d} voters, all alive")
def step_check_voters(context, count):
    context.upkeep.wait_for_all_voters()
    leader = context.upkeep.group.leader()
    assert len(context.upkeep.group.hosts[leader].state.voters) == count
