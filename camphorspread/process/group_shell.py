"""Membership maintenance: sends and serves join requests, and proposes membership changes."""

import asyncio
from datetime import timedelta

import attrs

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.replica_shell import ReplicaShell
from camphorspread.process.vm_record_codec import decode_address, encode_address
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.group_upkeep import JoinRequest, plan_membership_change
from camphorspread.version.replica_events import MembershipProposed
from camphorspread.version.replica_messages import Member

__all__ = ["JOIN_PATH", "GroupShell", "run_upkeep", "serve_join"]

JOIN_PATH = "/v1/group/join"
UPKEEP_INTERVAL = timedelta(milliseconds=150)
JOIN_INTERVAL = timedelta(milliseconds=500)
JOIN_TIMEOUT = timedelta(milliseconds=800)
# A voter without contact for this long may have been removed from the group meanwhile.
REJOIN_TIMEOUT = timedelta(seconds=2.5)


@attrs.define(eq=False)
class GroupShell:
    """Membership maintenance of a control VM.

    Attributes:
        control: State of the control process.
        shell: Shell of the replica.
        seeds: Addresses of some control VMs for the project's own processes.
        join_requests: Join requests by member identifier.
        known: Addresses of members, as reported by other control VMs.
        join_due: When to send the next join request.
    """

    control: ControlState
    shell: ReplicaShell
    seeds: tuple[Address, ...]
    join_requests: dict[str, JoinRequest] = attrs.field(factory=dict)
    known: set[Address] = attrs.field(factory=set)
    join_due: timedelta = timedelta(0)


async def run_upkeep(group: GroupShell) -> None:
    """Propose membership changes or send join requests until cancelled."""
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL.total_seconds())
            now = group.control.clock.monotonic()
            state = group.shell.state
            change = plan_membership_change(state, group.join_requests, now)
            if change is not None:
                group.control.log.write(Event.MEMBERS_PROPOSED, change=repr(change))
                group.shell.handle_event(MembershipProposed(change))
            is_outside = not state.is_voter or now - state.quorum_contact_at > REJOIN_TIMEOUT
            if is_outside and now >= group.join_due:
                group.join_due = now + JOIN_INTERVAL
                for address in list_other_addresses(group):
                    task = asyncio.create_task(request_join(group, address))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
    finally:
        for task in tasks:
            task.cancel()


def list_other_addresses(group: GroupShell) -> list[Address]:
    """Return the known addresses of other control VMs."""
    own = group.control.settings.peers
    members = {member.peers for member in group.shell.state.members}
    return sorted((members | group.known | set(group.seeds)) - {own})


async def request_join(group: GroupShell, address: Address) -> None:
    """Send a join request to a control VM; a leader acts on it, others only report the members."""
    own = group.shell.state.own
    value = {
        "vm": own.vm,
        "identity": own.identity,
        "peers": encode_address(own.peers),
        "operators": encode_address(own.operators),
    }
    try:
        response = await group.control.link.call(address, "POST", JOIN_PATH, value, JOIN_TIMEOUT)
    except LinkError:
        return  # The request is repeated; loss of the quorum is logged separately.
    match response.value:
        case {"members": list(members)}:
            group.known = {
                address for item in members if (address := decode_address(item)) is not None
            }


async def serve_join(group: GroupShell, exchange: Exchange) -> None:
    """Record the join request of a control VM and respond with the members."""
    match await exchange.read_json():
        case {"vm": str(vm), "identity": str(identity), "peers": peers, "operators": operators}:
            peers, operators = decode_address(peers), decode_address(operators)
        case _:
            peers = operators = None
    if peers is None or operators is None:
        message = "a join request needs vm, identity, peers and operators"
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    member = Member(vm, identity, peers, operators, False)
    now = group.control.clock.monotonic()
    group.join_requests[member.member_id] = JoinRequest(member, now)
    members = [encode_address(item.peers) for item in group.shell.state.members]
    await exchange.respond_json(200, {"members": members})
