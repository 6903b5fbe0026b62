"""State machine of one replica of the catalogue."""

from datetime import timedelta

import attrs
from returns.result import Failure

from camphorspread.version.changes import (
    ChangeError,
    ChangeErrorKind,
    ChangeRequest,
    apply_change,
    check_change,
)
from camphorspread.version.election import (
    LEADER_LEASE,
    handle_identity_reply,
    handle_vote_request,
    handle_vote_response,
    query_identities,
    start_pre_vote,
    step_down_without_quorum,
)
from camphorspread.version.membership_change import propose_membership
from camphorspread.version.replica_events import (
    AnswerChange,
    ChangeProposed,
    Effect,
    Event,
    LogSynced,
    MembershipProposed,
    Received,
    Send,
    SnapshotInstalled,
    SnapshotStored,
    StorageFailed,
    Wake,
)
from camphorspread.version.replica_messages import (
    AppendRequest,
    AppendResponse,
    ChangeEntry,
    IdentityQuery,
    IdentityReply,
    LogEntry,
    Member,
    Message,
    Snapshot,
    SnapshotChunk,
    SnapshotResponse,
    VoteRequest,
    VoteResponse,
)
from camphorspread.version.replica_state import Follower, Leader, MemoryLog, ReplicaState
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.replication import (
    ELECTION_JITTER,
    ELECTION_TIMEOUT,
    append_as_leader,
    follow,
    handle_append_request,
    handle_append_response,
    handle_log_synced,
    quorum_contact,
    replicate_to_all,
    stop_leading,
)
from camphorspread.version.snapshot import (
    handle_snapshot_chunk,
    handle_snapshot_response,
    install_snapshot,
    load_snapshot,
    record_snapshot,
)

__all__ = ["StoredState", "apply_event", "make_replica", "make_view", "next_wake"]


@attrs.frozen
class StoredState:
    """Contents of the data folder at the start of a process.

    Attributes:
        identity: Random identity of the data folder.
        term: Newest stored term.
        vote: Member that got the vote in that term.
        snapshot: Newest snapshot, None before the first one.
        snapshot_data: The encoded snapshot.
        base_index: Index of the entry before the first one in the log file.
        base_term: Term of that entry.
        entries: Entries in the log file.
    """

    identity: str
    term: int = 0
    vote: str | None = None
    snapshot: Snapshot | None = None
    snapshot_data: bytes = b""
    base_index: int = 0
    base_term: int = 0
    entries: tuple[LogEntry, ...] = ()


def make_replica(
    own: Member,
    initial: tuple[Member, ...],
    stored: StoredState,
    jitter: float,
    now: timedelta,
    incarnation: int,
    min_copies: int = 1,
    started: timedelta | None = None,
) -> ReplicaState:
    """Return the state of a replica at the start of its process.

    Args:
        own: Member record of the replica, with the identity of its data folder.
        initial: Replicas listed in the settings.
        stored: Contents of the data folder.
        jitter: Random number from 0 to 1.
        now: Current instant.
        incarnation: Random number of the process.
        min_copies: Disks on which an entry must be synced before it is committed.
        started: When the process started, since when it has heard from no leader; None means now.
    """
    no_leader_since = now if started is None else started
    state = ReplicaState(
        own,
        initial,
        no_leader_since,
        stored.term,
        stored.vote,
        jitter=jitter,
        incarnation=incarnation,
        min_copies=min_copies,
    )
    state.log = MemoryLog(stored.base_index, stored.base_term, list(stored.entries))
    if stored.snapshot is not None:
        load_snapshot(state, stored.snapshot, stored.snapshot_data)
        if state.log.term_at(stored.snapshot.index) != stored.snapshot.term:
            # The process ended after it stored a received snapshot and before it replaced the log.
            state.log = MemoryLog(stored.snapshot.index, stored.snapshot.term)
    state.synced_index = state.log.last_index
    state.members = state.find_members()
    state.quorum_contact_at = now
    state.leader_contact_at = no_leader_since
    state.election_due = max(no_leader_since + ELECTION_TIMEOUT + ELECTION_JITTER * jitter, now)
    state.identities_due = now + ELECTION_TIMEOUT
    if state.voters == (state.own_id,) or [member.vm for member in initial] == [own.vm]:
        # No other replica can be the leader, so there is no reason to wait.
        state.election_due = state.identities_due = now
    return state


def apply_event(state: ReplicaState, event: Event, now: timedelta) -> list[Effect]:
    """Update the state and return the effects for the shell to execute in this order.

    Args:
        state: State of the replica, which is updated.
        event: The event.
        now: Current instant on this replica's clock.

    Returns:
        The effects. If one fails, the shell drops the following ones and reports `StorageFailed`.
    """
    match event:
        case Wake(jitter=jitter):
            state.jitter = jitter
            return handle_wake(state, now)
        case Received(source=source, message=message):
            return handle_message(state, source, message, now)
        case LogSynced(sequence=sequence):
            return handle_log_synced(state, sequence, now)
        case ChangeProposed(request=request, time=time):
            return propose_change(state, request, time, now)
        case MembershipProposed(change=change):
            return propose_membership(state, change, now)
        case SnapshotStored(snapshot=snapshot, data=data):
            return record_snapshot(state, snapshot, data)
        case SnapshotInstalled(snapshot=snapshot, data=data):
            return install_snapshot(state, snapshot, data)
        case StorageFailed(cause=cause):
            return handle_storage_failure(state, cause)


def handle_wake(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Handle the timer: send heartbeats, start an election or query identities if it is due."""
    if isinstance(state.role, Leader):
        effects = step_down_without_quorum(state, state.role, now)
        if isinstance(state.role, Leader) and now >= state.role.heartbeat_due:
            effects += replicate_to_all(state, now)
        return effects
    if state.is_blank:
        return query_identities(state, now) if now >= state.identities_due else []
    return start_pre_vote(state, now) if now >= state.election_due else []


def next_wake(state: ReplicaState, now: timedelta) -> timedelta:
    """Return the instant at which the next `Wake` is due."""
    match state.role:
        case Leader() as leader:
            lease_end = quorum_contact(state, leader, now) + LEADER_LEASE
            return min(leader.heartbeat_due, lease_end)
        case _:
            return state.identities_due if state.is_blank else state.election_due


def handle_message(
    state: ReplicaState, source: str, message: Message, now: timedelta
) -> list[Effect]:
    """Dispatch a message from another replica to its handler."""
    match message:
        case IdentityQuery():
            reply = IdentityReply(state.own.vm, state.own.identity, state.is_blank)
            return [Send(source, reply)]
        case IdentityReply():
            return handle_identity_reply(state, message, now)
        case VoteRequest():
            return handle_vote_request(state, source, message, now)
        case VoteResponse():
            return handle_vote_response(state, source, message, now)
        case AppendRequest():
            return handle_append_request(state, source, message, now)
        case AppendResponse():
            return handle_append_response(state, source, message, now)
        case SnapshotChunk(term=term):
            if term < state.term:
                return [Send(source, AppendResponse(state.term, False, 0, message.sent_at))]
            effects = follow(state, source, term, now)
            state.last_sent_at = max(state.last_sent_at, message.sent_at)
            return effects + handle_snapshot_chunk(state, source, message)
        case SnapshotResponse():
            return handle_snapshot_response(state, source, message, now)


def propose_change(
    state: ReplicaState, request: ChangeRequest, time: str, now: timedelta
) -> list[Effect]:
    """Append a change with its outcome, or answer at once if the outcome is known."""
    known = state.committed.outcomes.get(request.change_id)
    if known is not None:
        return [AnswerChange(request.change_id, known)]
    if state.storage_fault:
        error = ChangeError(ChangeErrorKind.DISK_FULL, limit=state.storage_fault)
        return [AnswerChange(request.change_id, error)]
    leader = state.role
    if not isinstance(leader, Leader):
        error = ChangeError(ChangeErrorKind.NOT_LEADER, limit="ask the leader")
        return [AnswerChange(request.change_id, error)]
    if request.change_id in leader.pending_changes:
        return []
    checked = check_change(leader.catalogue, request)
    refusal = checked.failure() if isinstance(checked, Failure) else None
    if refusal is None:
        leader.catalogue = apply_change(leader.catalogue, request.change)
    leader.pending_changes.add(request.change_id)
    _, effects = append_as_leader(state, ChangeEntry(request, time, refusal), now)
    return effects


def handle_storage_failure(state: ReplicaState, cause: str) -> list[Effect]:
    """Refuse changes and votes after a storage failure, but continue to answer reads."""
    state.storage_fault = cause
    state.unsynced.clear()
    state.log.truncate(max(state.synced_index, state.committed.index) + 1)
    state.members = state.find_members()
    return stop_leading(state)


def make_view(state: ReplicaState, now: timedelta) -> ReplicaView:
    """Return leadership as this replica sees it."""
    current_as_of = state.current_as_of
    match state.role:
        case Leader(first_index=first_index) as leader:
            return ReplicaView(
                state.own.vm,
                True,
                quorum_contact(state, leader, now) + LEADER_LEASE,
                state.committed.index >= first_index,
                now,
                state.term,
            )
        case Follower(leader=str(name)):
            return ReplicaView(name.partition("/")[0], current_as_of=current_as_of, term=state.term)
        case _:
            return ReplicaView(current_as_of=current_as_of, term=state.term)
