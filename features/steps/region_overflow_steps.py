"""Steps for requests that leave a region that has lost an entry VM."""

from datetime import timedelta

import attrs
from behave import given, then

from camphorspread.connection.network import Address
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.request.candidates import OwnEndpoints, order_candidates
from camphorspread.request.reachability import ConnectFailures, record_connect_failure
from camphorspread.request.region_overflow import (
    OverflowLog,
    choose_overflow,
    has_lost_vm,
    record_overflow,
)
from camphorspread.version.catalogue import (
    Catalogue,
    DrainEntry,
    DrainKind,
    RegionEntry,
    ServiceClass,
    ServiceEntry,
)
from camphorspread.version.changes import PutDrain, PutRegion, PutService, apply_change

NOW = timedelta(seconds=100)
OWN_VM = "sofia-a-1"
SERVICE = "plans"
DELAYS_MS = {"plovdiv": 55.0, "varna": 200.0}


def make_catalogue():
    service = ServiceEntry(SERVICE, "owner", ServiceClass.INTERACTIVE, 20, 100, promised_ms=300)
    region = RegionEntry("sofia", "owner", 100, (), DELAYS_MS)
    catalogue = Catalogue()
    for change in (PutService(service), PutRegion(region)):
        catalogue = apply_change(catalogue, change)
    return catalogue


def change_record(context, vm, **changes):
    context.vms[vm] = attrs.evolve(context.vms[vm], **changes)


def view(context):
    return FleetView(OWN_VM, context.vms)


@given('entry VMs of three regions with these free slots of "plans", reported 1 s ago')
def step_vms(context):
    address = Address("127.0.0.2", 7460)
    context.vms = {}
    for row in context.table:
        zone = row["vm"].rpartition("-")[0]
        context.vms[row["vm"]] = VmRecord(
            row["vm"],
            zone,
            zone.rpartition("-")[0],
            address,
            address,
            free_slots={SERVICE: int(row["free"])},
            total_slots={SERVICE: 6},
            measured=NOW - timedelta(seconds=1),
        )
    context.overflow, context.failures = OverflowLog(), ConnectFailures()
    context.catalogue, context.now = make_catalogue(), NOW


@given('the VM "{vm}" of the view is {state}')
def step_state(context, vm, state):
    match state:
        case "drained":
            drain = DrainEntry(DrainKind.VM, vm, "owner")
            context.catalogue = apply_change(context.catalogue, PutDrain(drain))
        case "unreachable":
            record_connect_failure(context.failures, vm, NOW)
        case "unheard for 4 s":
            change_record(context, vm, measured=NOW - timedelta(seconds=4))
        case "without free slot":
            change_record(context, vm, free_slots={SERVICE: 0})
        case _:
            change_record(context, vm, state=VmState(state))


def choose(context, wait_ms):
    """Return the name of the chosen VM, or "no other one"; record the request there."""
    record = choose_overflow(
        context.catalogue,
        view(context),
        context.failures,
        context.overflow,
        SERVICE,
        timedelta(milliseconds=wait_ms),
        context.now,
    )
    if record is None:
        return "no other one"
    record_overflow(context.overflow, record.vm, SERVICE, context.now)
    return record.vm


@then('a request at "sofia-a-1" that would wait for {wait_ms:d} ms goes to {target}')
def step_check_target(context, wait_ms, target):
    chosen = choose(context, wait_ms)
    assert chosen == target.strip('"'), chosen


@then(
    'of 9 requests at "sofia-a-1" that would wait for {wait_ms:d} ms, 2 go to "plovdiv-a-1",'
    ' 5 to "varna-a-1" and 2 to no other one'
)
def step_check_burst(context, wait_ms):
    chosen = [choose(context, wait_ms) for _ in range(9)]
    assert chosen == ["plovdiv-a-1"] * 2 + ["varna-a-1"] * 5 + ["no other one"] * 2, chosen


@then("after a report that follows 2 s later they may go there again")
def step_check_later(context):
    context.now = NOW + timedelta(seconds=2)
    change_record(context, "plovdiv-a-1", measured=context.now)
    assert choose(context, 1000) == "plovdiv-a-1"


@then('the region of "sofia-a-1" has {lost} VM')
def step_check_lost(context, lost):
    assert has_lost_vm(view(context), context.failures) == (lost == "a lost")


def may_wait(context):
    """Return True if the request may wait at its own VM."""
    candidates = order_candidates(
        context.catalogue, view(context), context.failures, SERVICE, True, False
    )
    return candidates[0] == OwnEndpoints(may_wait=True)


@then('a request at "sofia-a-1" may not wait')
def step_check_not_waiting(context):
    assert not may_wait(context)


@then('a request at "sofia-a-1" may wait')
def step_check_waiting(context):
    assert may_wait(context)


@then("after a report that follows 3 s later it may not wait")
def step_check_reported(context):
    change_record(context, "sofia-b-1", measured=NOW + timedelta(seconds=3))
    assert not may_wait(context)
