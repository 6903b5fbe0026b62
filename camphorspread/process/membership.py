"""Applies heartbeats and summaries to the membership state, and detects new incarnations.

A pure state machine. Inside an availability zone, VMs send heartbeats. The delegate, the live VM
with the lowest name, sends summaries of its availability zone to the other delegates and relays
the summaries that it receives to its own availability zone.
"""

import enum
from bisect import insort
from datetime import timedelta

import attrs

from camphorspread.process.fleet import VmRecord, VmState
from camphorspread.process.liveness import (
    Member,
    Membership,
    StatedRecord,
    Stream,
    Summary,
    heard_recently,
)

__all__ = [
    "StreamStep",
    "apply_heartbeat",
    "apply_summary",
    "make_membership",
    "merge_record",
]

MAX_REPLACED = 16


class StreamStep(enum.Enum):
    """How a received summary fits into the stream of its delegate."""

    APPLIED = "applied"
    REPEATED = "repeated"
    GAP = "gap"


def make_membership(own_vm: str, vms: dict[str, VmRecord], now: timedelta) -> Membership:
    """Return the initial state; VMs from the settings count as alive until they are overdue."""
    state = Membership(own_vm, vms[own_vm].availability_zone, now, {})
    for record in vms.values():
        add_member(state, StatedRecord(record, now))
    return state


def add_member(state: Membership, stated: StatedRecord) -> None:
    """Add a VM that isn't known yet."""
    record = stated.record
    state.members[record.vm] = Member(record, stated.started)
    insort(state.zones.setdefault(record.availability_zone, []), record.vm)


def merge_record(state: Membership, stated: StatedRecord) -> bool:
    """Merge a record unless it is of an older incarnation; return True if it was merged.

    Incarnations are random, so the start of the process shows which one is newer. An incarnation
    that was replaced here is never accepted again, whatever its start.
    """
    record = stated.record
    member = state.members.get(record.vm)
    if record.vm == state.own_vm:
        return False
    if member is None:
        add_member(state, stated)
        return True
    known = member.record.incarnation
    if record.incarnation != known:
        replaced = state.replaced_incarnations.setdefault(record.vm, [])
        if not record.incarnation and record.state is VmState.LOST:
            # The delegate has restarted and has received nothing from any incarnation of the VM.
            member.record = attrs.evolve(member.record, state=VmState.LOST)
        is_older = bool(known) and stated.started <= member.started
        if not record.incarnation or record.incarnation in replaced or is_older:
            return False
        if known:
            replaced.append(known)
            del replaced[:-MAX_REPLACED]
        state.members[record.vm] = Member(record, stated.started)
        return True
    if member.record.state is VmState.LEAVING and record.state is VmState.ALIVE:
        # A leaving VM never becomes alive again, so this record is late.
        record = attrs.evolve(record, state=VmState.LEAVING)
    member.record = record
    member.started = min(member.started, stated.started)
    return True


def apply_heartbeat(
    state: Membership, stated: StatedRecord, uptime: timedelta, now: timedelta
) -> None:
    """Apply a heartbeat.

    Args:
        state: State of the membership.
        stated: What the VM states about itself.
        uptime: Its uptime when it sent the heartbeat.
        now: Current instant.
    """
    member = state.members.get(stated.record.vm)
    is_known = member is not None and member.record.incarnation == stated.record.incarnation
    if is_known and uptime < member.last_uptime:
        return
    if merge_record(state, stated):
        member = state.members[stated.record.vm]
        member.last_heartbeat_at, member.last_uptime = now, uptime


def apply_summary(state: Membership, summary: Summary, now: timedelta) -> StreamStep:
    """Apply a summary if it follows the last one of its delegate or contains all members."""
    stream = state.streams.get(summary.source)
    if summary.source == state.own_vm or summary.incarnation in state.replaced_incarnations.get(
        summary.source, ()
    ):
        return StreamStep.REPEATED
    is_known = stream is not None and stream.incarnation == summary.incarnation
    last = stream.sequence if is_known else -1
    if summary.sequence <= last:
        return StreamStep.REPEATED
    # After statements of another delegate, changes alone don't give a complete view.
    is_next = summary.sequence == last + 1 and is_known and is_last_source(state, summary)
    if not summary.is_full and not is_next:
        if is_known:
            state.streams[summary.source] = attrs.evolve(stream, last_summary_at=now)
            record_contact(state, summary, now)
        return StreamStep.GAP
    state.streams[summary.source] = Stream(
        summary.availability_zone, summary.incarnation, summary.sequence, now
    )
    state.zones_source[summary.availability_zone] = summary.source
    record_contact(state, summary, now)
    for stated in summary.members:
        member = state.members.get(stated.record.vm)
        is_direct = member is not None and heard_recently(member, now)
        if not is_direct or stated.record.incarnation != member.record.incarnation:
            merge_record(state, stated)
    return StreamStep.APPLIED


def is_last_source(state: Membership, summary: Summary) -> bool:
    """Return True if the last summary of the availability zone was from the same delegate."""
    return state.zones_source.get(summary.availability_zone) == summary.source


def record_contact(state: Membership, summary: Summary, now: timedelta) -> None:
    """Record that the delegate that sent a summary is alive."""
    zone, member = summary.availability_zone, state.members.get(summary.source)
    state.zones_heard[zone] = now
    if zone == state.zone and member and member.record.incarnation == summary.incarnation:
        member.last_heartbeat_at = now
