"""Steps for the history of changes after a snapshot."""

from types import SimpleNamespace

from behave import given, then, when

from camphorspread.process.control_operators import list_history
from camphorspread.version.catalogue import (
    DrainEntry,
    DrainKind,
    RegionEntry,
    ServiceClass,
    ServiceEntry,
)
from camphorspread.version.changes import (
    ChangeRequest,
    PutDrain,
    PutRegion,
    PutService,
    RemoveDrain,
    RemoveRegion,
    RemoveService,
)
from camphorspread.version.replica_state import SnapshotLimits
from features.fixtures.replica_group import replica_group

CHANGES = (
    (0, PutService(ServiceEntry("a", "owner", ServiceClass.UPLOAD, 1, 1)), "put service a"),
    (0, PutRegion(RegionEntry("sofia", "owner", 10, ())), "put region sofia"),
    (0, PutDrain(DrainEntry(DrainKind.VM, "sofia-1", "owner")), "put drain vm/sofia-1"),
    (1, RemoveService("a"), "remove service a"),
    (2, RemoveRegion("sofia"), "remove region sofia"),
    (3, RemoveDrain(DrainKind.VM, "sofia-1"), "remove drain vm/sofia-1"),
)


@given("a replica that put and removed one entry of each kind, and was refused one change")
def step_change_all(context):
    context.group = group = replica_group(1, limits=SnapshotLimits(interval=9, retained=0))
    context.leader = group.wait_for_leader()
    requests = [(f"c{number}", *item[:2]) for number, item in enumerate(CHANGES)]
    for change_id, expected, change in [*requests, ("refused", 7, RemoveService("b"))]:
        group.propose(context.leader, ChangeRequest(change_id, expected, "operator", change))
    group.run(0.5)
    assert len(group.outcomes) == len(CHANGES) + 1, group.outcomes


@when("a snapshot replaces its log and the replica starts again from it")
def step_restart(context):
    group = context.group
    request = ChangeRequest("last", 0, "operator", CHANGES[1][1])
    group.propose(context.leader, request)
    group.run(0.5)
    group.crash(context.leader)
    group.start(context.leader)
    assert not group.hosts[context.leader].state.log.entries, "the log still holds the changes"


@then("the history lists what each accepted change did")
def step_check_history(context):
    shell = SimpleNamespace(state=context.group.hosts[context.leader].state)
    descriptions = [item["description"] for item in list_history(shell)]
    assert descriptions == ["put region sofia", *[item[2] for item in reversed(CHANGES)]], (
        descriptions
    )
