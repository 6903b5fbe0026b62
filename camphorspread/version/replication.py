"""Log replication: sending, receiving and committing entries."""

from datetime import timedelta

from camphorspread.version.changes import ChangeError, ChangeErrorKind
from camphorspread.version.freshness import make_append_response, record_freshness
from camphorspread.version.replica_events import (
    AnswerChange,
    AnswerMembership,
    CatalogueCommitted,
    CommittedChange,
    Effect,
    EncodeSnapshot,
    Send,
    StoreVote,
    SyncLog,
    WriteEntries,
)
from camphorspread.version.replica_messages import (
    AppendRequest,
    AppendResponse,
    ChangeEntry,
    LogEntry,
    MembersEntry,
)
from camphorspread.version.replica_state import (
    Follower,
    Leader,
    Progress,
    ReplicaState,
    commit_quorum_size,
    entry_size,
    majority_size,
)
from camphorspread.version.snapshot import send_chunk

__all__ = [
    "ELECTION_JITTER",
    "ELECTION_TIMEOUT",
    "adopt_term",
    "append_as_leader",
    "follow",
    "handle_append_request",
    "handle_append_response",
    "handle_log_synced",
    "quorum_contact",
    "replicate_to_all",
]

# With a one-way delay of 55 ms, a lease of 600 ms outlasts a heartbeat that TCP retransmits after
# about 310 ms: 150 ms until it is sent, 310 ms until it is retransmitted, 110 ms until the answer.
HEARTBEAT_INTERVAL = timedelta(milliseconds=150)
# With entries of about 350 bytes, a message stays below the limit of 1 MiB for a JSON body.
ENTRIES_PER_MESSAGE = 500
# Routing documents may be large; a slow link transfers a message of this size within a heartbeat.
DOCUMENT_BYTES_PER_MESSAGE = 256 * 1024
# Slightly longer than LEADER_STICKINESS, the time for which voters refuse candidates, because they
# may have heard from the lost leader later than the candidate did.
ELECTION_TIMEOUT = timedelta(milliseconds=850)
ELECTION_JITTER = timedelta(milliseconds=250)


def adopt_term(state: ReplicaState, term: int, vote: str | None = None) -> list[Effect]:
    """Adopt a newer term, or record the vote in the current one."""
    if term == state.term and vote == state.vote:
        return []
    if term > state.term:
        state.verified_index = 0
        # Each leader has its own clock, so that instants of different leaders can't be compared.
        state.last_sent_at = timedelta(0)
    state.term, state.vote = term, vote
    return [StoreVote(term, vote)]


def stop_leading(state: ReplicaState, leader: str | None = None) -> list[Effect]:
    """Become a follower, and answer all pending changes with an unknown outcome."""
    role, state.role = state.role, Follower(leader)
    if not isinstance(role, Leader):
        return []
    error = ChangeError(
        ChangeErrorKind.NO_QUORUM, limit="the outcome is unknown; resend the same change"
    )
    effects: list[Effect] = [AnswerChange(item, error) for item in sorted(role.pending_changes)]
    return [*effects, AnswerMembership(error)] if role.pending_members else effects


def follow(state: ReplicaState, leader: str, term: int, now: timedelta) -> list[Effect]:
    """Become a follower of the leader of a term, and reset the election timeout."""
    effects: list[Effect] = []
    if term > state.term:
        effects += adopt_term(state, term)
    if not isinstance(state.role, Follower) or state.role.leader != leader:
        effects += stop_leading(state, leader)
        state.incoming.clear()
    state.leader_contact_at = state.quorum_contact_at = now
    state.election_due = now + ELECTION_TIMEOUT + ELECTION_JITTER * state.jitter
    state.deferred_to.clear()
    return effects


def write_entries(state: ReplicaState, entries: tuple[LogEntry, ...]) -> list[Effect]:
    """Write entries to the log, replacing those from the first one's index on."""
    first = entries[0].index
    if first <= state.log.last_index:
        state.log.truncate(first)
        state.synced_index = min(state.synced_index, first - 1)
        # Each item is the sequence number of a write and the last index that it covers.
        for item in state.unsynced:
            item[1] = min(item[1], first - 1)
    state.log.entries += entries
    state.written += 1
    state.unsynced.append([state.written, state.log.last_index])
    state.members = state.find_members()
    return [WriteEntries(entries), SyncLog(state.written)]


def handle_log_synced(state: ReplicaState, sequence: int, now: timedelta) -> list[Effect]:
    """Handle a completed sync: a leader advances the commit index, a follower acknowledges."""
    while state.unsynced and state.unsynced[0][0] <= sequence:
        state.synced_index = max(state.synced_index, state.unsynced.popleft()[1])
    match state.role:
        case Leader():
            return advance_commit(state, now)
        case Follower(leader=str(leader)):
            index = min(state.verified_index, state.synced_index)
            return [make_append_response(state, leader, True, index, state.last_sent_at, now)]
    return []


def append_as_leader(
    state: ReplicaState, payload: object, now: timedelta
) -> tuple[int, list[Effect]]:
    """Append an entry in the leader's term and replicate it; return its index and the effects."""
    entry = LogEntry(state.log.last_index + 1, state.term, payload)
    effects = write_entries(state, (entry,))
    if isinstance(payload, MembersEntry) and isinstance(state.role, Leader):
        track_members(state, state.role, now)
    return entry.index, effects + replicate_to_all(state, now)


def track_members(state: ReplicaState, leader: Leader, now: timedelta) -> None:
    """Update the set of replicas whose progress is tracked after a membership change."""
    for member in state.others:
        leader.progress.setdefault(member, Progress(state.log.last_index + 1, now))
    for member in set(leader.progress) - set(state.others):
        del leader.progress[member]


def replicate_to_all(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Send each other replica its missing entries, or a heartbeat."""
    if not isinstance(state.role, Leader):
        return []
    state.role.heartbeat_due = now + HEARTBEAT_INTERVAL
    return [effect for member in state.role.progress for effect in replicate_to(state, member, now)]


def limit_message_size(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the first entries, at least one, that fit into the size limit of a message."""
    size = 0
    for count, entry in enumerate(entries):
        size += entry_size(entry)
        if count and size > DOCUMENT_BYTES_PER_MESSAGE:
            return entries[:count]
    return entries


def replicate_to(state: ReplicaState, member: str, now: timedelta) -> list[Effect]:
    """Send a replica the next entries, the next chunk of a snapshot, or a heartbeat."""
    progress = state.role.progress[member]
    previous = progress.next_index - 1
    term = state.log.term_at(previous)
    if term is None or progress.chunk_offset is not None:
        return send_chunk(state, member, progress, now)
    entries = limit_message_size(
        state.log.slice(progress.next_index, previous + ENTRIES_PER_MESSAGE)
    )
    progress.next_index += len(entries)
    request = AppendRequest(
        state.term, previous, term, entries, state.committed.index, now, progress.answered
    )
    return [Send(member, request)]


def handle_append_request(
    state: ReplicaState, source: str, request: AppendRequest, now: timedelta
) -> list[Effect]:
    """Handle an append request: write new entries, commit, and acknowledge what is synced."""
    if request.term < state.term:
        return [Send(source, AppendResponse(state.term, False, 0, request.sent_at))]
    effects = follow(state, source, request.term, now)
    state.last_sent_at = max(state.last_sent_at, request.sent_at)
    if state.storage_fault:
        # New entries can't be stored, so only the synced ones are acknowledged.
        index = min(state.verified_index, state.synced_index)
        return [*effects, make_append_response(state, source, True, index, request.sent_at, now)]
    log = state.log
    known_term = log.term_at(request.previous_index)
    if request.previous_index >= log.base_index and known_term != request.previous_term:
        # The leader continues after the end of a log that is too short, or, if the entry conflicts,
        # after the committed entries, which always match its own.
        continue_after = min(log.last_index, request.previous_index - 1)
        if known_term is not None:
            continue_after = state.committed.index
        return [
            *effects,
            make_append_response(state, source, False, continue_after, request.sent_at, now),
        ]
    new_entries = tuple(
        entry
        for entry in request.entries
        if entry.index > log.base_index and log.term_at(entry.index) != entry.term
    )
    if new_entries:
        effects += write_entries(state, new_entries)
    end = request.previous_index + len(request.entries)
    state.verified_index = max(state.verified_index, end)
    effects += commit_to(state, min(request.commit_index, state.verified_index))
    record_freshness(state, request)
    index = min(state.verified_index, state.synced_index)
    return [*effects, make_append_response(state, source, True, index, request.sent_at, now)]


def handle_append_response(
    state: ReplicaState, source: str, response: AppendResponse, now: timedelta
) -> list[Effect]:
    """Handle an append response: update the replica's progress and advance the commit index."""
    if response.term > state.term:
        return [*adopt_term(state, response.term), *stop_leading(state)]
    leader = state.role
    if not isinstance(leader, Leader) or response.term != state.term:
        return []
    progress = leader.progress.get(source)
    if progress is None:
        return []
    progress.contact = max(progress.contact, response.sent_at)
    if response.answered is not None:
        progress.answered = response.answered
    if response.is_matching:
        progress.match_index = max(progress.match_index, response.index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        if progress.match_index >= state.log.base_index:
            progress.chunk_offset = None
    else:
        progress.next_index = max(
            min(progress.next_index, response.index + 1), progress.match_index + 1
        )
    effects = advance_commit(state, now)
    if source in leader.progress and progress.next_index <= state.log.last_index:
        effects += replicate_to(state, source, now)
    return effects


def quorum_contact(state: ReplicaState, leader: Leader, now: timedelta) -> timedelta:
    """Return the newest instant after which a majority is known to have heard the leader."""
    contacts = sorted(
        (
            now if member == state.own_id else leader.progress[member].contact
            for member in state.voters
        ),
        reverse=True,
    )
    return contacts[majority_size(len(contacts)) - 1]


def advance_commit(state: ReplicaState, now: timedelta) -> list[Effect]:
    """Commit what a majority has synced, if it ends with an entry of the leader's own term."""
    leader = state.role
    matches = sorted(
        (
            state.synced_index if member == state.own_id else leader.progress[member].match_index
            for member in state.voters
        ),
        reverse=True,
    )
    index = matches[commit_quorum_size(state) - 1]
    if index <= state.committed.index or state.log.term_at(index) != state.term:
        return []
    return [*commit_to(state, index), *replicate_to_all(state, now)]


def commit_to(state: ReplicaState, index: int) -> list[Effect]:
    """Commit and apply the entries up to `index`."""
    changes: list[CommittedChange] = []
    effects: list[Effect] = []
    for entry in state.log.slice(state.committed.index + 1, index):
        version = state.committed.catalogue.version
        state.committed.apply(entry)
        state.size_since_snapshot += entry_size(entry)
        newest = state.committed.catalogue.version
        if newest > version:
            changes.append(CommittedChange(newest, entry.payload.request.change))
        effects += answer_committed(state, entry)
    if changes:
        effects.insert(0, CatalogueCommitted(tuple(changes)))
    is_long = state.committed.index - state.snapshot_index >= state.limits.interval
    if is_long or state.size_since_snapshot >= state.limits.size:
        effects.append(EncodeSnapshot(state.committed.make_snapshot()))
    return effects


def answer_committed(state: ReplicaState, entry: LogEntry) -> list[Effect]:
    """Answer the proposer of the change or membership entry that has been committed."""
    leader = state.role
    if not isinstance(leader, Leader):
        return []
    match entry.payload:
        case ChangeEntry(request=request):
            leader.pending_changes.discard(request.change_id)
            outcome = state.committed.outcomes[request.change_id]
            return [AnswerChange(request.change_id, outcome)]
        case MembersEntry() if entry.index == leader.pending_members:
            leader.pending_members = 0
            return [AnswerMembership(None)]
    return []
