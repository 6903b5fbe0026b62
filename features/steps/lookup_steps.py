"""Steps for lookups."""

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.shift import Move, ShiftPlan, ShiftState
from camphorspread.request.lookup import CallerLocation, LookupQuery, resolve_lookup
from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import (
    Catalogue,
    DrainEntry,
    DrainKind,
    ServiceClass,
    ServiceEntry,
)
from camphorspread.version.changes import PutDrain, PutService, apply_change

SERVICE = "status-svc"
ZONES = ("sofia-a", "sofia-a", "sofia-b", "plovdiv-a", "plovdiv-b", "varna-a", "varna-b")


@given("7 entry VMs in 3 regions of two availability zones each, with 12 slots each")
def step_fleet(context):
    entry = ServiceEntry(SERVICE, "water platform", ServiceClass.INTERACTIVE, 20, 100)
    context.catalogue = apply_change(Catalogue(), PutService(entry))
    context.plan = ShiftPlan()
    context.vms = {}
    for number, zone in enumerate(ZONES):
        name = f"{zone}-{1 + ZONES[:number].count(zone)}"
        address = Address(f"192.0.2.{number}", 80)
        context.vms[name] = VmRecord(
            name, zone, zone[:-2], address, address, total_slots={SERVICE: 12}
        )


def look_up(context, zone, block):
    fleet = FleetView("plovdiv-a-1", context.vms)
    query = LookupQuery(SERVICE, CallerLocation(zone, zone[:-2]), block)
    return resolve_lookup(context.catalogue, fleet, query, context.plan).unwrap()


def look_up_blocks(context, count, zone):
    return [look_up(context, zone, f"block-{number}") for number in range(count)]


def drain(context, kind, name):
    change = PutDrain(DrainEntry(kind, name, "operator"))
    context.catalogue = apply_change(context.catalogue, change)


@given('the VM "{vm}" is {state}')
def step_vm_state(context, vm, state):
    if state == "drained":
        drain(context, DrainKind.VM, vm)
    else:
        context.vms[vm] = attrs.evolve(context.vms[vm], state=VmState(state))


@given('the availability zone "{zone}" is drained')
def step_drained_zone(context, zone):
    drain(context, DrainKind.AVAILABILITY_ZONE, zone)


@given('the region "{region}" is lost')
def step_region_lost(context, region):
    for name, vm in context.vms.items():
        if vm.region == region:
            context.vms[name] = attrs.evolve(vm, state=VmState.LOST)


@given('the VMs of "{region}" have {slots:d} slots each')
def step_region_slots(context, region, slots):
    for name, vm in context.vms.items():
        if vm.region == region:
            context.vms[name] = attrs.evolve(vm, total_slots={SERVICE: slots})


@when('a caller in "{zone}" looks up the service')
def step_look_up_once(context, zone):
    context.response = look_up(context, zone, "block-1")


@when('callers of {count:d} blocks in "{zone}" look up the service')
def step_look_up_blocks(context, count, zone):
    context.zone = zone
    context.responses = look_up_blocks(context, count, zone)


@when('the VM "{vm}" is lost and they look it up again')
def step_lost_again(context, vm):
    context.vms[vm] = attrs.evolve(context.vms[vm], state=VmState.LOST)
    context.before = context.responses
    context.responses = look_up_blocks(context, len(context.before), context.zone)


@when('{percent:d} percent of the callers in "{home}" are shifted to "{target}"')
def step_shift(context, percent, home, target):
    move = Move(target, percent / 100, Reason.SHIFTED_FOR_LOAD)
    context.plan = ShiftPlan({(SERVICE, home): ShiftState({target: move})})


@then('the first target is in availability zone "{zone}" because "{reason}"')
def step_first_target(context, zone, reason):
    target = context.response.targets[0]
    assert (target.availability_zone, target.reason.value) == (zone, reason), target


@then('the second target is in region "{region}" because "{reason}"')
def step_second_target(context, region, reason):
    target = context.response.targets[1]
    assert target.availability_zone.startswith(region), target
    assert target.reason.value == reason, target


@then('the other targets are in other regions because "{reason}"')
def step_other_targets(context, reason):
    targets = context.response.targets[2:]
    assert len(targets) == 5
    assert {target.reason.value for target in targets} == {reason}


@then('no response lists "{vm}"')
def step_never_listed(context, vm):
    assert all(target.vm != vm for item in context.responses for target in item.targets)


@then('only callers whose first target was "{vm}" have another first target')
def step_only_moved_callers(context, vm):
    moved = 0
    for before, after in zip(context.before, context.responses, strict=True):
        if before.targets[0].vm == vm:
            moved += 1
        else:
            assert before.targets[0].vm == after.targets[0].vm
    assert 400 <= moved <= 600, moved


@then('between {low:d} and {high:d} percent of them go to "{region}" because "{reason}"')
def step_fraction(context, low, high, region, reason):
    firsts = [response.targets[0] for response in context.responses]
    in_region = [target for target in firsts if target.availability_zone.startswith(region)]
    assert {target.reason.value for target in in_region} == {reason}, in_region[:1]
    assert low <= 100 * len(in_region) / len(firsts) <= high, len(in_region)


@then("every caller that was shifted before is still shifted")
def step_superset(context):
    after = look_up_blocks(context, len(context.responses), context.zone)
    for first, second in zip(context.responses, after, strict=True):
        if first.targets[0].reason is Reason.SHIFTED_FOR_LOAD:
            assert second.targets[0].reason is Reason.SHIFTED_FOR_LOAD
