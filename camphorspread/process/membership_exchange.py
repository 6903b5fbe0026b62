"""Events and effects of the membership state machine: which messages it sends."""

from datetime import timedelta

import attrs

from camphorspread.process.fleet import VmRecord, VmState
from camphorspread.process.liveness import (
    ALL_TO_ALL_LIMIT,
    LIVE_STATES,
    SUMMARY_INTERVAL,
    SUMMARY_SUSPECTED_AFTER,
    Membership,
    StatedRecord,
    Summary,
    derive_state,
    find_delegate,
    heard_recently,
)
from camphorspread.process.membership import StreamStep, apply_heartbeat, apply_summary

__all__ = [
    "DigestArrived",
    "Effect",
    "FullSummaryRequested",
    "HeartbeatArrived",
    "MembershipEvent",
    "RequestFullSummary",
    "SendDigest",
    "SendHeartbeat",
    "Tick",
    "apply_event",
    "choose_heartbeat_targets",
]

HUB_COUNT = 2
SUCCESSOR_COUNT = 2
# Lost VMs still get a heartbeat every few ticks, so that the sides of a partition reconnect.
LOST_HEARTBEAT_TICKS = 4
# Records with no other change than load that all zones together put into summaries per second.
MAX_LOAD_RECORDS = 8
LOAD_STEPS = 8


@attrs.frozen
class Tick:
    """A heartbeat interval has passed; `record` is the current record of this VM."""

    record: VmRecord


@attrs.frozen
class HeartbeatArrived:
    """A heartbeat of a VM of the own availability zone arrived."""

    stated: StatedRecord
    uptime: timedelta


@attrs.frozen
class DigestArrived:
    """A digest (a list of summaries) arrived from another VM."""

    sender: str
    summaries: tuple[Summary, ...]


@attrs.frozen
class FullSummaryRequested:
    """A VM that misses summaries of these delegates asks for complete ones."""

    asker: str
    sources: tuple[str, ...]


MembershipEvent = Tick | HeartbeatArrived | DigestArrived | FullSummaryRequested


@attrs.frozen
class SendHeartbeat:
    """Send the record of this VM to another one."""

    target: VmRecord
    stated: StatedRecord


@attrs.frozen
class SendDigest:
    """Send a digest to a VM."""

    target: VmRecord
    summaries: tuple[Summary, ...]


@attrs.frozen
class RequestFullSummary:
    """Ask the sender of the digest for complete summaries of these delegates."""

    sources: tuple[str, ...]


Effect = SendHeartbeat | SendDigest | RequestFullSummary


def apply_event(state: Membership, event: MembershipEvent, now: timedelta) -> list[Effect]:
    """Apply an event and return the messages to send."""
    match event:
        case Tick(record=record):
            return tick(state, record, now)
        case HeartbeatArrived(stated=stated, uptime=uptime):
            apply_heartbeat(state, stated, uptime, now)
            return []
        case DigestArrived():
            return apply_digest(state, event, now)
        case FullSummaryRequested(asker=asker, sources=sources):
            found = (make_full_summary(state, source, now) for source in sources)
            summaries = tuple(item for item in found if item is not None)
            member = state.members.get(asker)
            return [SendDigest(member.record, summaries)] if member and summaries else []


def tick(state: Membership, record: VmRecord, now: timedelta) -> list[Effect]:
    """Send heartbeats, and summaries if this VM is the delegate."""
    state.ticks += 1
    state.own.record, state.own.started = record, state.begun
    own = StatedRecord(record, state.begun)
    effects: list[Effect] = [
        SendHeartbeat(state.members[vm].record, own) for vm in choose_heartbeat_targets(state, now)
    ]
    was_delegate = state.is_delegate
    state.is_delegate = find_delegate(state, now) == state.own_vm
    is_new = state.is_delegate and not was_delegate
    if is_new:
        begin_as_delegate(state, now)
    is_due = state.is_delegate and (now >= state.next_summary or has_urgent_change(state, now))
    if is_due:
        summary = make_summary(state, is_new, now)
        state.next_summary = now + SUMMARY_INTERVAL
        effects += [SendDigest(target, (summary,)) for target in choose_contacts(state, now)]
        state.pending.append(summary)
    if state.pending:
        effects += relay_summaries(state, now)
    return effects


def choose_heartbeat_targets(state: Membership, now: timedelta) -> list[str]:
    """Return the VMs of the own availability zone to send a heartbeat to."""
    zone = state.zones[state.zone]
    live = [vm for vm in zone if derive_state(state, vm, now) is not VmState.LOST]
    targets = set(live)
    if len(live) > ALL_TO_ALL_LIMIT:
        position = live.index(state.own_vm)
        ring = (live + live)[position + 1 : position + 1 + SUCCESSOR_COUNT]
        targets = {*live[:HUB_COUNT], *ring}
    if state.ticks % LOST_HEARTBEAT_TICKS == 0:
        lost = [vm for vm in zone if vm not in live]
        # A few lost VMs in turn, so that many lost ones don't increase the traffic.
        turn = state.ticks // LOST_HEARTBEAT_TICKS
        targets |= set((lost + lost)[turn % max(len(lost), 1) :][:HUB_COUNT])
    return sorted(targets - {state.own_vm})


def begin_as_delegate(state: Membership, now: timedelta) -> None:
    """Start a new summary stream; VMs not heard directly get time to send heartbeats here."""
    state.stated.clear()
    for vm in state.zones[state.zone]:
        member = state.members[vm]
        if (
            not heard_recently(member, now)
            and member.last_heartbeat_at is None
            and member.record.incarnation
        ):
            member.last_heartbeat_at = now if member.record.state in LIVE_STATES else None


def current_statements(state: Membership, now: timedelta) -> dict[str, StatedRecord]:
    """Return the current statement of this VM about each VM of its availability zone."""
    return {
        vm: StatedRecord(
            attrs.evolve(state.members[vm].record, state=derive_state(state, vm, now)),
            state.members[vm].started,
        )
        for vm in state.zones[state.zone]
    }


def has_urgent_change(state: Membership, now: timedelta) -> bool:
    """Return True if a VM changed its state or incarnation since the last summary."""
    return any(
        vm not in state.stated or urgent_fields(state.stated[vm]) != urgent_fields(stated)
        for vm, stated in current_statements(state, now).items()
    )


def urgent_fields(stated: StatedRecord) -> tuple[str, VmState]:
    """Return the fields of a record whose change is sent without delay."""
    return stated.record.incarnation, stated.record.state


def make_summary(state: Membership, is_full: bool, now: timedelta) -> Summary:
    """Return the next summary of the own availability zone and record what it states."""
    current = current_statements(state, now)
    chosen = list(current) if is_full else choose_changes(state, current)
    for vm in chosen:
        # The order of `stated` is that of the last statement, which `choose_changes` relies on.
        state.stated.pop(vm, None)
        state.stated[vm] = current[vm]
    state.sequence += 1
    members = tuple(current[vm] for vm in chosen)
    incarnation = state.own.record.incarnation
    return Summary(state.zone, state.own_vm, incarnation, state.sequence, is_full, members)


def choose_changes(state: Membership, current: dict[str, StatedRecord]) -> list[str]:
    """Return the VMs to include in a summary; those with only a new load take turns."""
    order = [
        *(vm for vm in state.stated if vm in current),
        *sorted(set(current) - set(state.stated)),
    ]
    remaining = max(MAX_LOAD_RECORDS // len(state.zones), 1)
    chosen = []
    for vm in order:
        before, after = state.stated.get(vm), current[vm]
        if before is None or without_load(before.record) != without_load(after.record):
            chosen.append(vm)
        elif remaining and has_new_load(before.record, after.record):
            chosen.append(vm)
            remaining -= 1
    return sorted(chosen)


def without_load(record: VmRecord) -> VmRecord:
    """Return the record without its load."""
    return attrs.evolve(record, free_slots={}, offered_per_second={}, measured=None)


def has_new_load(before: VmRecord, after: VmRecord) -> bool:
    """Return True if the load of a service changed by a step, or to or from zero."""
    for service, total in after.total_slots.items():
        old, new = before.free_slots.get(service, 0), after.free_slots.get(service, 0)
        if abs(new - old) >= max(total // LOAD_STEPS, 1) or (new == 0) != (old == 0):
            return True
        old = before.offered_per_second.get(service, 0)
        new = after.offered_per_second.get(service, 0)
        if abs(new - old) > max(old, new) // LOAD_STEPS:
            return True
    return False


def choose_contacts(state: Membership, now: timedelta) -> list[VmRecord]:
    """Return one VM of each other availability zone to send a summary to.

    The two lowest live names take turns, so that a failed delegate doesn't cut its availability
    zone off from the others. If none is live, all VMs take turns.
    """
    contacts = []
    for zone, vms in state.zones.items():
        if zone == state.zone:
            continue
        live = [vm for vm in vms if derive_state(state, vm, now) in LIVE_STATES]
        rotation = live[:HUB_COUNT] or vms
        contacts.append(state.members[rotation[state.sequence % len(rotation)]].record)
    return contacts


def relay_summaries(state: Membership, now: timedelta) -> list[Effect]:
    """Relay the pending summaries to the own availability zone."""
    summaries = tuple(state.pending)
    state.pending.clear()
    return [
        SendDigest(state.members[vm].record, summaries)
        for vm in state.zones[state.zone]
        if vm != state.own_vm and derive_state(state, vm, now) is not VmState.LOST
    ]


def apply_digest(state: Membership, event: DigestArrived, now: timedelta) -> list[Effect]:
    """Apply summaries, queue those from other zones for relaying, and ask for missing ones."""
    sender = state.members.get(event.sender)
    is_from_own_zone = sender is not None and sender.record.availability_zone == state.zone
    gaps = []
    is_new = False
    for summary in event.summaries:
        is_new |= summary.source == event.sender and not has_stream(state, summary)
        step = apply_summary(state, summary, now)
        if step is StreamStep.GAP:
            gaps.append(summary.source)
        elif step is StreamStep.APPLIED and not is_from_own_zone:
            state.pending.append(summary)
    effects: list[Effect] = [RequestFullSummary(tuple(gaps))] if gaps else []
    sender = state.members.get(event.sender)
    if is_new and sender and not is_from_own_zone:
        # A delegate that is new or wasn't known here may know only few VMs.
        found = (make_full_summary(state, source, now) for source in (state.own_vm, *state.streams))
        wholes = tuple(item for item in found if item and item.source != event.sender)
        effects.append(SendDigest(sender.record, wholes))
    return effects


def has_stream(state: Membership, summary: Summary) -> bool:
    """Return True if earlier summaries of the same process were received."""
    stream = state.streams.get(summary.source)
    return stream is not None and stream.incarnation == summary.incarnation


def make_full_summary(state: Membership, source: str, now: timedelta) -> Summary | None:
    """Return a complete summary of a delegate's zone, None if this VM has no current one.

    An outdated stream isn't relayed, as its delegate would wrongly appear to be alive.
    """
    if source == state.own_vm:
        if not state.stated:
            return None
        members = tuple(state.stated.values())
        incarnation = state.own.record.incarnation
        return Summary(state.zone, source, incarnation, state.sequence, True, members)
    stream = state.streams.get(source)
    if stream is None or now - stream.last_summary_at >= SUMMARY_SUSPECTED_AFTER:
        return None
    if state.zones_source.get(stream.availability_zone) != source:
        return None
    members = tuple(
        StatedRecord(state.members[vm].record, state.members[vm].started)
        for vm in state.zones.get(stream.availability_zone, ())
    )
    return Summary(
        stream.availability_zone, source, stream.incarnation, stream.sequence, True, members
    )
