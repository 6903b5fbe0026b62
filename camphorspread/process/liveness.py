"""Failure detection: what one VM knows about the entry VMs, and the state that it derives."""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.process.fleet import VmRecord, VmState, make_observed_record

__all__ = [
    "ALL_TO_ALL_LIMIT",
    "HEARTBEAT_INTERVAL",
    "LIVE_STATES",
    "LOST_AFTER",
    "SUMMARY_INTERVAL",
    "SUMMARY_SUSPECTED_AFTER",
    "SUSPECTED_AFTER",
    "Member",
    "Membership",
    "StatedRecord",
    "Stream",
    "Summary",
    "derive_state",
    "find_delegate",
    "heard_recently",
    "list_records",
]

HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
SUMMARY_INTERVAL = timedelta(seconds=1)
SUSPECTED_AFTER = timedelta(seconds=1.5)
# Summaries are sent once a second, alternately to two VMs. If the delegate has failed, the next one
# may therefore arrive up to 2 s plus a tick later.
SUMMARY_SUSPECTED_AFTER = timedelta(seconds=2.75)
LOST_AFTER = timedelta(seconds=3)
# The next delegate sends its first summary at most 1.5 s after the last heartbeat of a failed one.
# That is at most 2.6 s after the last summary, so before others suspect the VMs.
TAKEOVER_AFTER = timedelta(seconds=1)
# With more VMs than this, each one sends heartbeats only to the two lowest live names and to the
# next two names, so that its traffic doesn't grow with the availability zone.
ALL_TO_ALL_LIMIT = 5
LIVE_STATES = (VmState.ALIVE, VmState.LEAVING)


@attrs.frozen
class StatedRecord:
    """A record as one VM states it, and the start of the described process on the local clock."""

    record: VmRecord
    started: timedelta


@attrs.frozen
class Summary:
    """Summary of an availability zone, sent by its delegate.

    Attributes:
        availability_zone: The availability zone.
        source: Name of the delegate.
        incarnation: Its incarnation.
        sequence: Sequence number, without gaps within the incarnation.
        is_full: True if it contains all members, False if only changes since the last one.
        members: Their records.
    """

    availability_zone: str
    source: str
    incarnation: str
    sequence: int
    is_full: bool
    members: tuple[StatedRecord, ...] = ()


@attrs.frozen
class Stream:
    """Position in the summary stream of one delegate."""

    availability_zone: str
    incarnation: str
    sequence: int
    last_summary_at: timedelta


@attrs.define(eq=False)
class Member:
    """An entry VM.

    Attributes:
        record: Its record as last stated, including `state`; `uptime_s` isn't kept.
        started: When its process started, on the clock of this VM.
        last_heartbeat_at: When its last heartbeat arrived here, None if none has arrived.
        last_uptime: Uptime in its newest heartbeat; heartbeats with a smaller one are late.
    """

    record: VmRecord
    started: timedelta
    last_heartbeat_at: timedelta | None = None
    last_uptime: timedelta = timedelta(0)


@attrs.define(eq=False)
class Membership:
    """Membership state on one VM.

    Attributes:
        own_vm: Name of this VM.
        zone: Its availability zone.
        begun: When this VM started.
        members: All known VMs by name, this one included.
        zones: Sorted names of the VMs of each availability zone.
        zones_heard: When the last summary of each availability zone arrived.
        zones_source: Delegate whose summary of each availability zone was applied last.
        replaced_incarnations: Former incarnations of each VM, most recent last.
        streams: Position in the received summaries by name of the delegate.
        sequence: Sequence number of the last summary sent by this VM.
        stated: Last record of each VM that its own summaries have stated.
        is_delegate: True if this VM was the delegate at its last tick.
        next_summary: When its next regular summary is due.
        pending: Summaries that the next tick relays to the own availability zone.
        ticks: Number of ticks.
    """

    own_vm: str
    zone: str
    begun: timedelta
    members: dict[str, Member]
    zones: dict[str, list[str]] = attrs.field(factory=dict)
    zones_heard: dict[str, timedelta] = attrs.field(factory=dict)
    zones_source: dict[str, str] = attrs.field(factory=dict)
    replaced_incarnations: dict[str, list[str]] = attrs.field(factory=dict)
    streams: dict[str, Stream] = attrs.field(factory=dict)
    sequence: int = 0
    stated: dict[str, StatedRecord] = attrs.field(factory=dict)
    is_delegate: bool = False
    next_summary: timedelta = timedelta(0)
    pending: list[Summary] = attrs.field(factory=list)
    ticks: int = 0

    @property
    def own(self) -> Member:
        """This VM."""
        return self.members[self.own_vm]


def heard_recently(member: Member, now: timedelta) -> bool:
    """Return True if a heartbeat of the VM itself arrived recently."""
    return member.last_heartbeat_at is not None and now - member.last_heartbeat_at < SUSPECTED_AFTER


def derive_state(state: Membership, vm: str, now: timedelta) -> VmState:
    """Return the state of a VM as seen by this one."""
    member = state.members[vm]
    if vm == state.own_vm or heard_recently(member, now):
        return live_state(member)
    if member.record.availability_zone == state.zone:
        return own_zone_state(state, vm, member, now)
    return other_zone_state(state, vm, member, now)


def live_state(member: Member) -> VmState:
    """Return the state of a VM that is known to be alive, whatever others state."""
    return VmState.LEAVING if member.record.state is VmState.LEAVING else VmState.ALIVE


def own_zone_state(state: Membership, vm: str, member: Member, now: timedelta) -> VmState:
    """Return the state of a silent VM of the own availability zone."""
    if len(state.zones[state.zone]) > ALL_TO_ALL_LIMIT:
        # Not every VM sends its heartbeats here, but the delegate receives all of them.
        for source, stream in state.streams.items():
            is_near = stream.availability_zone == state.zone and source != vm
            if is_near and now - stream.last_summary_at < SUMMARY_SUSPECTED_AFTER:
                return member.record.state
    return state_by_age(
        member,
        now - (state.begun if member.last_heartbeat_at is None else member.last_heartbeat_at),
    )


def other_zone_state(state: Membership, vm: str, member: Member, now: timedelta) -> VmState:
    """Return the state of a VM of another availability zone."""
    stream = state.streams.get(vm)
    if stream is not None and now - stream.last_summary_at < SUMMARY_SUSPECTED_AFTER:
        # A delegate that sends summaries is alive, whatever another delegate states about it.
        return live_state(member)
    heard = state.zones_heard.get(member.record.availability_zone)
    if heard is None:
        # VMs from the settings get the usual time to send a first message.
        return state_by_age(member, now - state.begun)
    if now - heard >= LOST_AFTER:
        return VmState.LOST
    if now - heard >= SUMMARY_SUSPECTED_AFTER and member.record.state in LIVE_STATES:
        return VmState.SUSPECTED
    return member.record.state


def state_by_age(member: Member, silence: timedelta) -> VmState:
    """Return the state of a VM by the time since its last message."""
    if silence >= LOST_AFTER:
        return VmState.LOST
    return VmState.SUSPECTED if silence >= SUSPECTED_AFTER else live_state(member)


def find_delegate(state: Membership, now: timedelta) -> str:
    """Return the live VM with the lowest name in the own availability zone.

    A VM whose heartbeats have stopped is skipped before it is suspected.
    """
    for vm in state.zones[state.zone]:
        heard = state.members[vm].last_heartbeat_at
        is_silent = heard is not None and TAKEOVER_AFTER <= now - heard < LOST_AFTER
        if vm == state.own_vm or (derive_state(state, vm, now) in LIVE_STATES and not is_silent):
            return vm
    return state.own_vm


def measured_at(state: Membership, vm: str, now: timedelta) -> timedelta | None:
    """Return when the load of a VM was last confirmed, None if it never was."""
    member = state.members[vm]
    if vm == state.own_vm:
        return now
    if member.record.availability_zone == state.zone:
        return member.last_heartbeat_at
    # Summaries contain a load only if it has changed, so each of them confirms the other loads.
    return state.zones_heard.get(member.record.availability_zone)


def list_records(state: Membership, vms: Iterable[str], now: timedelta) -> dict[str, VmRecord]:
    """Return the records of some VMs as seen by this one."""
    return {
        vm: make_observed_record(
            (member := state.members[vm]).record,
            derive_state(state, vm, now),
            max(int((now - member.started).total_seconds()), 0) if member.record.incarnation else 0,
            measured_at(state, vm, now),
        )
        for vm in vms
    }
