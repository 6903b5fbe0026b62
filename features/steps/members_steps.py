"""Steps of the replacement of control processes."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.process.command.members import (
    add_member,
    fetch_members,
    promote_member,
    remove_member,
    replace_member,
)
from camphorspread.process.command.operator import Operator
from camphorspread.process.settings import FleetSettings, FleetVmSettings
from features.fixtures.control_group import make_control_group


@given("a group of three control processes whose follower lost its disk")
def step_lose_disk(context):
    group = context.group = make_control_group(context)
    leader = group.wait_for_leader()
    replicas = next(iter(group.controls.values())).settings.replicas
    fleet = FleetSettings(
        tuple(FleetVmSettings(item.vm, item.operators, item.peers) for item in replicas), (), ""
    )
    context.operator = Operator(fleet, group.link, context.clock, print)
    context.vm = next(vm for vm in group.controls if vm != leader)
    _, members = context.loop.run_until_complete(fetch_members(context.operator))
    context.former = next(item["identity"] for item in members if item["vm"] == context.vm)
    group.stop(context.vm)
    group.run(1)
    group.start(context.vm, seed=2)
    group.run(1)


@when("the operator's command replaces the follower")
def step_replace(context):
    replacement = replace_member(context.operator, context.vm, timedelta(seconds=20))
    context.result = context.loop.run_until_complete(replacement)
    assert context.result.code == 0, context.result.text


@then("the group has three voters and the former disk identity is no member")
def step_check_members(context):
    _, members = context.loop.run_until_complete(fetch_members(context.operator))
    assert len(members) == 3, members
    assert all(item["is_voter"] for item in members), members
    assert context.former not in [item["identity"] for item in members], members


@when("the operator's commands add, promote and remove, each twice")
def step_run_each_twice(context):
    limit = timedelta(seconds=20)
    for command in (
        lambda: add_member(context.operator, context.vm, limit),
        lambda: promote_member(context.operator, context.vm, limit),
        lambda: remove_member(context.operator, context.vm, context.former, limit),
    ):
        for expected in ("accepted", "already in effect"):
            result = context.loop.run_until_complete(command())
            assert result.code == 0 and expected in result.text, result.text
