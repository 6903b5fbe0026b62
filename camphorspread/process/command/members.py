"""`camphorspread members`: list and change the control processes of the replicated catalogue."""

import asyncio
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.command.operator import Operator, UnreachableError
from camphorspread.process.command.output import FAILURE, CommandResult, format_table
from camphorspread.process.settings import FleetVmSettings

__all__ = [
    "add_member",
    "list_members",
    "promote_member",
    "remove_member",
    "replace_member",
]

CALL_TIMEOUT = timedelta(seconds=5)
RETRY_INTERVAL = timedelta(milliseconds=500)


class RefusedChangeError(Exception):
    """The control processes refused a change of the members."""


async def fetch_members(operator: Operator) -> tuple[dict[str, dict], list[dict]]:
    """Return the status of all control processes and the leader's list of members.

    Raises:
        UnreachableError: No leader responds.
    """
    status = await operator.fetch_all(operator.fleet.replicas, "/v1/status")
    leader = next((value for value in status.values() if value["is_ready"]), None)
    if leader is None:
        raise UnreachableError("no leader of the control processes responds")
    return status, leader["members"]


async def list_members(operator: Operator) -> CommandResult:
    """List the members of the group."""
    _, members = await fetch_members(operator)
    rows = [
        (
            item["vm"],
            item["identity"],
            "voter" if item["is_voter"] else "learner",
            item.get("synced_entry", "-"),
        )
        for item in members
    ]
    table = format_table(("vm", "disk identity", "state", "synced entry"), rows)
    return CommandResult(members, table)


async def replace_member(operator: Operator, vm: str, limit: timedelta) -> CommandResult:
    """Add the blank replica of a VM to the group and remove the VM's former disk identity.

    The new replica is added as a learner, promoted to voter once it has caught up, and only then
    is the old one removed. Each step is committed before the next begins.

    Args:
        operator: Connection to the fleet.
        vm: The VM whose control process runs on a new disk.
        limit: Longest wait for each step.
    """
    _, members = await fetch_members(operator)
    try:
        target, identity = await fetch_replica(operator, vm)
        changes = [make_learner(target, identity), make_promotion(vm, identity)]
    except RefusedChangeError as exc:
        return CommandResult({"message": str(exc)}, str(exc), FAILURE)
    changes += [
        make_removal(vm, item["identity"])
        for item in members
        if item["vm"] == vm and item["identity"] != identity
    ]
    return await make_changes(operator, changes, limit)


async def add_member(operator: Operator, vm: str, limit: timedelta) -> CommandResult:
    """Add the running control process of a VM as a learner."""
    try:
        target, identity = await fetch_replica(operator, vm)
    except RefusedChangeError as exc:
        return CommandResult({"message": str(exc)}, str(exc), FAILURE)
    return await make_changes(operator, [make_learner(target, identity)], limit)


async def promote_member(operator: Operator, vm: str, limit: timedelta) -> CommandResult:
    """Promote the running control process of a VM from learner to voter."""
    try:
        _, identity = await fetch_replica(operator, vm)
    except RefusedChangeError as exc:
        return CommandResult({"message": str(exc)}, str(exc), FAILURE)
    return await make_changes(operator, [make_promotion(vm, identity)], limit)


async def remove_member(
    operator: Operator, vm: str, identity: str, limit: timedelta
) -> CommandResult:
    """Remove a disk identity; its process may be down."""
    return await make_changes(operator, [make_removal(vm, identity)], limit)


async def fetch_replica(operator: Operator, vm: str) -> tuple[FleetVmSettings, str]:
    """Return the addresses and the disk identity of a running control process.

    Raises:
        RefusedChangeError: The process doesn't respond, or its addresses aren't known.
    """
    target = next((item for item in operator.fleet.replicas if item.vm == vm), None)
    if target is None or target.peers is None:
        raise RefusedChangeError(f"the settings contain no `peers` of a control process on {vm!r}")
    response = await operator.fetch(target, "/v1/status")
    if response is None:
        raise RefusedChangeError(f"the control process on {vm!r} doesn't respond")
    return target, response.value["identity"]


async def make_changes(operator: Operator, changes: list[dict], limit: timedelta) -> CommandResult:
    """Submit the changes that aren't in effect yet, one at a time."""
    lines: list[str] = []
    try:
        for change in changes:
            _, members = await fetch_members(operator)
            name = change.get("member", change)
            text = f"{change['type']} {name['vm']} {name['identity']}"
            if is_in_effect(change, members):
                lines.append(f"{text}: already in effect")
                continue
            await submit_change(operator, change, limit)
            lines.append(f"{text}: accepted")
    except RefusedChangeError as exc:
        lines.append(str(exc))
        return CommandResult({"steps": lines}, "\n".join(lines), FAILURE)
    return CommandResult({"steps": lines}, "\n".join(lines))


def is_in_effect(change: dict, members: list[dict]) -> bool:
    """Return True if the members already include the effect of a change."""
    identity = change.get("member", change)["identity"]
    found = next((item for item in members if item["identity"] == identity), None)
    match change["type"]:
        case "AddLearner":
            return found is not None
        case "PromoteLearner":
            return found is not None and found["is_voter"]
        case _:
            return found is None


def make_promotion(vm: str, identity: str) -> dict[str, object]:
    """Return the change that promotes a learner to voter."""
    return {"type": "PromoteLearner", "vm": vm, "identity": identity}


def make_removal(vm: str, identity: str) -> dict[str, object]:
    """Return the change that removes a disk identity."""
    return {"type": "RemoveMember", "vm": vm, "identity": identity}


def make_learner(target: FleetVmSettings, identity: str) -> dict[str, object]:
    """Return the change that adds a learner."""
    addresses = {
        name: {"host": address.host, "port": address.port}
        for name, address in (("peers", target.peers), ("operators", target.operators))
    }
    return {"type": "AddLearner", "member": {"vm": target.vm, "identity": identity, **addresses}}


async def submit_change(operator: Operator, change: dict, limit: timedelta) -> None:
    """Send a change of the members until it is accepted or the time limit has passed.

    The promotion of a lagging learner is refused, so refused changes are sent again.

    Raises:
        RefusedChangeError: The change wasn't accepted in time.
    """
    end = operator.clock.monotonic() + limit
    cause = "no control process responds"
    while True:
        for replica in operator.fleet.replicas:
            try:
                response = await operator.link.call(
                    replica.operators, "POST", "/v1/members", change, CALL_TIMEOUT
                )
            except LinkError as exc:
                operator.report_skipped(replica.vm, exc)
                continue
            if response.status == 200:
                return
            cause = response.value.get("message", cause)
        if operator.clock.monotonic() >= end:
            raise RefusedChangeError(f"not accepted: {change['type']}: {cause}")
        await asyncio.sleep(RETRY_INTERVAL.total_seconds())
