"""In-memory state of a replica: log, role and committed state."""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.change_description import describe_change
from camphorspread.version.changes import apply_change, document_size
from camphorspread.version.replica_messages import (
    AnswerTime,
    ChangeEntry,
    ChangeOutcome,
    LogEntry,
    Member,
    MembersEntry,
    Snapshot,
)

__all__ = [
    "Candidate",
    "CommittedState",
    "Follower",
    "Leader",
    "MemoryLog",
    "PreCandidate",
    "Progress",
    "ReplicaState",
    "Role",
    "SnapshotLimits",
    "commit_quorum_size",
    "entry_size",
    "majority_size",
    "restore_committed",
]

# A resent change gets its original outcome unless this many later changes have displaced it.
MAX_OUTCOMES = 10_000


def entry_size(entry: LogEntry) -> int:
    """Return the characters of the document in an entry; entries without one are small."""
    match entry.payload:
        case ChangeEntry(request=request):
            return document_size(request.change)
    return 0


@attrs.define(eq=False)
class MemoryLog:
    """The log entries after `base_index`; the snapshot covers the earlier ones."""

    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the entry isn't in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = max(first - self.base_index - 1, 0)
        return tuple(self.entries[start : max(last - self.base_index, 0)])

    def find_retained(self, index: int, count: int, size: int) -> int:
        """Return the index of the entry before the oldest one that is retained.

        Args:
            index: Last entry that a snapshot covers.
            count: Number of covered entries to retain at most.
            size: Characters of the documents in these entries at most.
        """
        first = index
        for entry in reversed(self.slice(index - count + 1, index)):
            size -= entry_size(entry)
            if size < 0:
                break
            first = entry.index - 1
        return first

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self.entries[max(index - self.base_index - 1, 0) :]

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`."""
        term = self.term_at(index)
        if term is not None:
            del self.entries[: index - self.base_index]
            self.base_index, self.base_term = index, term


@attrs.define(eq=False)
class CommittedState:
    """State after all committed entries."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    outcomes: dict[str, ChangeOutcome] = attrs.field(factory=dict)

    def apply(self, entry: LogEntry) -> None:
        """Apply the next committed entry."""
        self.index, self.term = entry.index, entry.term
        match entry.payload:
            case MembersEntry(members=members):
                self.members = members
            case ChangeEntry(request=request, time=time, error=error):
                if error is None:
                    self.catalogue = apply_change(self.catalogue, request.change)
                version = self.catalogue.version if error is None else 0
                description = describe_change(request.change) if error is None else ""
                self.outcomes[request.change_id] = ChangeOutcome(
                    request.change_id, request.operator, time, version, error, description
                )
                if len(self.outcomes) > MAX_OUTCOMES:
                    del self.outcomes[next(iter(self.outcomes))]

    def make_snapshot(self) -> Snapshot:
        """Return this state as a snapshot."""
        outcomes = tuple(self.outcomes.values())
        return Snapshot(self.index, self.term, self.members, self.catalogue, outcomes)


def restore_committed(snapshot: Snapshot) -> CommittedState:
    """Return the committed state that a snapshot holds."""
    outcomes = {outcome.change_id: outcome for outcome in snapshot.outcomes}
    return CommittedState(
        snapshot.index, snapshot.term, snapshot.members, snapshot.catalogue, outcomes
    )


@attrs.define(eq=False)
class Progress:
    """Replication progress of another replica, as its leader tracks it.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry that the replica has synced.
        contact: When the leader sent the newest message that the replica answered.
        answered: Timestamp of the newest response, on the replica's clock.
        chunk_offset: Next byte of the snapshot to send, None while no snapshot is being sent.
        chunk_sent: When the last chunk was sent.
    """

    next_index: int
    contact: timedelta
    match_index: int = 0
    chunk_offset: int | None = None
    chunk_sent: timedelta = timedelta(0)
    answered: AnswerTime | None = None


@attrs.define(eq=False)
class Follower:
    """A replica that follows a leader or waits for one."""

    leader: str | None = None


@attrs.define(eq=False)
class PreCandidate:
    """A replica that asks whether it would be elected."""

    granted: set[str]


@attrs.define(eq=False)
class Candidate:
    """A replica that requests votes; to bootstrap the group it needs those of all founders."""

    granted: set[str]
    founding: tuple[Member, ...] = ()


@attrs.define(eq=False)
class Leader:
    """A replica that leads the group.

    Attributes:
        first_index: Index of the first entry of its term.
        catalogue: Catalogue after all entries in its log, committed or not.
        progress: Replication progress of the other replicas, by member identifier.
        pending_changes: Change identifiers of uncommitted entries.
        pending_members: Index of an uncommitted members entry, 0 if there is none.
        heartbeat_due: When to send the next heartbeat.
    """

    first_index: int
    catalogue: Catalogue
    heartbeat_due: timedelta
    elected_at: timedelta
    progress: dict[str, Progress] = attrs.field(factory=dict)
    pending_changes: set[str] = attrs.field(factory=set)
    pending_members: int = 0


Role = Follower | PreCandidate | Candidate | Leader


@attrs.frozen
class SnapshotLimits:
    """Sizes for snapshots; tests use smaller ones.

    Attributes:
        interval: Number of entries after which a snapshot is taken.
        size: Characters of documents in entries after which one is taken before that. A process
            needs a few times this much memory when it starts from its data folder.
        retained: Number of entries kept before a snapshot; a replica that is no further behind
            catches up from the log alone.
        retained_size: Characters of documents in these entries at most.
        chunk_bytes: Bytes of an encoded snapshot in one message.
    """

    interval: int = 1000
    size: int = 8 * 1024 * 1024
    retained: int = 200
    retained_size: int = 4 * 1024 * 1024
    chunk_bytes: int = 256 * 1024


@attrs.define(eq=False)
class ReplicaState:
    """State of one replica.

    Attributes:
        own: Member record of this replica, with the addresses from its settings.
        initial: Replicas that the settings list for the first start, with empty identities.
        started_at: When its process started; it has heard from no leader since then.
        term: Newest known term, as stored.
        vote: Member that got its vote in that term.
        log: All entries, including those not yet written.
        committed: State after all committed entries.
        members: Members as of the newest entry, committed or not.
        role: Current role.
        leader_contact_at: When it last heard from a leader; its start counts, because it may have
            heard from one just before.
        current_as_of: Newest instant at which it is known to have held everything that was
            committed by then.
        incarnation: Random number of its process.
        quorum_contact_at: When it last heard from a leader or, as the leader, from a majority.
        election_due: When it starts a pre-vote unless it hears from a leader.
        deferred_to: Replicas whose pre-vote has postponed its own since it last heard from a
            leader.
        jitter: Newest random number, from 0 to 1.
        written: Sequence number of the last write.
        unsynced: Sequence numbers of unsynced writes, each with the last index it covers.
        synced_index: Last durable entry.
        verified_index: Last entry known to match the leader's log.
        last_sent_at: Newest `sent_at` of the leader.
        snapshot_index: Last entry in the newest stored snapshot.
        snapshot_term: Term of that entry.
        snapshot_data: The encoded snapshot.
        size_since_snapshot: Characters of the documents in entries committed since then.
        incoming: Received bytes of an incomplete snapshot.
        incoming_index: Index of that snapshot.
        identities: Replies to identity queries, used to bootstrap the group.
        identities_due: When it next queries the identities.
        storage_fault: Cause of a storage failure, empty if storage works.
        limits: Sizes for snapshots.
        min_copies: Disks on which an entry must be synced before it is committed, in addition to
            the majority rule.
    """

    own: Member
    initial: tuple[Member, ...]
    started_at: timedelta
    term: int = 0
    vote: str | None = None
    log: MemoryLog = attrs.field(factory=MemoryLog)
    committed: CommittedState = attrs.field(factory=CommittedState)
    members: tuple[Member, ...] = ()
    role: Role = attrs.field(factory=Follower)
    leader_contact_at: timedelta = timedelta(0)
    current_as_of: timedelta | None = None
    quorum_contact_at: timedelta = timedelta(0)
    election_due: timedelta = timedelta(0)
    deferred_to: set[str] = attrs.field(factory=set)
    jitter: float = 0.0
    incarnation: int = 0
    written: int = 0
    unsynced: deque[list[int]] = attrs.field(factory=deque)
    synced_index: int = 0
    verified_index: int = 0
    last_sent_at: timedelta = timedelta(0)
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_data: bytes = b""
    size_since_snapshot: int = 0
    incoming: bytearray = attrs.field(factory=bytearray)
    incoming_index: int = 0
    identities: dict[str, str] = attrs.field(factory=dict)
    identities_due: timedelta = timedelta(0)
    storage_fault: str = ""
    limits: SnapshotLimits = attrs.field(factory=SnapshotLimits)
    min_copies: int = 1

    @property
    def own_id(self) -> str:
        """Member identifier of this replica."""
        return self.own.member_id

    @property
    def voters(self) -> tuple[str, ...]:
        """Member identifiers of the voters, as of the newest entry."""
        return tuple(member.member_id for member in self.members if member.is_voter)

    @property
    def others(self) -> tuple[str, ...]:
        """Member identifiers of all members but this replica, including learners."""
        return tuple(m.member_id for m in self.members if m.member_id != self.own_id)

    @property
    def is_voter(self) -> bool:
        """True if this replica is a voter, so that it may lead."""
        return self.own_id in self.voters

    @property
    def is_blank(self) -> bool:
        """True if the log has never held an entry."""
        return self.log.last_index == 0 and not self.members

    def find_members(self) -> tuple[Member, ...]:
        """Return the members as of the newest entry."""
        for entry in reversed(self.log.entries):
            if entry.index <= self.committed.index:
                break
            if isinstance(entry.payload, MembersEntry):
                return entry.payload.members
        return self.committed.members


def commit_quorum_size(state: ReplicaState) -> int:
    """Return how many voters must have synced an entry before it is committed."""
    count = len(state.voters)
    return max(majority_size(count), min(state.min_copies, count))


def majority_size(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1
