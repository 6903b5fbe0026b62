"""What a replica holds while it runs: its log, its role and what is committed."""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.change_description import describe_change
from camphorspread.version.changes import apply_change
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
    "Committed",
    "Follower",
    "Leader",
    "MemoryLog",
    "PreCandidate",
    "Progress",
    "ReplicaState",
    "Role",
    "SnapshotLimits",
    "commit_quorum",
    "quorum",
    "restore",
]

# A resent change gets its first outcome as long as this many later ones haven't replaced it.
KEPT_OUTCOMES = 10_000


@attrs.define(eq=False)
class MemoryLog:
    """The entries after `base_index`; what comes before is in the snapshot."""

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
        """Return the term of an entry, None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both included."""
        start = max(first - self.base_index - 1, 0)
        return tuple(self.entries[start : max(last - self.base_index, 0)])

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
class Committed:
    """What the committed entries amount to."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    outcomes: dict[str, ChangeOutcome] = attrs.field(factory=dict)

    def apply(self, entry: LogEntry) -> None:
        """Apply the next entry."""
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
                if len(self.outcomes) > KEPT_OUTCOMES:
                    del self.outcomes[next(iter(self.outcomes))]

    def make_snapshot(self) -> Snapshot:
        """Return a snapshot of this state."""
        outcomes = tuple(self.outcomes.values())
        return Snapshot(self.index, self.term, self.members, self.catalogue, outcomes)


def restore(snapshot: Snapshot) -> Committed:
    """Return the state that a snapshot holds."""
    outcomes = {outcome.change_id: outcome for outcome in snapshot.outcomes}
    return Committed(snapshot.index, snapshot.term, snapshot.members, snapshot.catalogue, outcomes)


@attrs.define(eq=False)
class Progress:
    """What a leader knows about another replica.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry that the replica holds, synced.
        contact: When the newest message that it answered was sent.
        answered: Time in its newest response, on its own clock.
        chunk_offset: Next byte of the snapshot to send, None while none is being sent.
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
    """Follows a leader, or waits for one."""

    leader: str | None = None


@attrs.define(eq=False)
class PreCandidate:
    """Asks whether it would get votes."""

    granted: set[str]


@attrs.define(eq=False)
class Candidate:
    """Asks for votes; the founder of the group needs those of all initial replicas."""

    granted: set[str]
    founding: tuple[Member, ...] = ()


@attrs.define(eq=False)
class Leader:
    """Leads.

    Attributes:
        first_index: Its first entry.
        catalogue: Catalogue after all entries of its log, committed or not.
        progress: What it knows about the other replicas.
        pending_changes: Change identifiers of entries that aren't committed.
        pending_members: Index of a members entry that isn't committed, 0 if there is none.
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
    """Sizes of snapshots; tests use smaller ones.

    Attributes:
        interval: Entries after which a snapshot is taken.
        retained: Entries kept before a snapshot; a replica that is this little behind is
            brought up to date without one.
        chunk_bytes: Bytes of an encoded snapshot in one message.
    """

    interval: int = 1000
    retained: int = 200
    chunk_bytes: int = 256 * 1024


@attrs.define(eq=False)
class ReplicaState:
    """State of one replica.

    Attributes:
        own: Its member record; the listed addresses are those of its settings.
        initial: VMs that the settings list for the first start, with empty identities.
        started_at: Since when its process runs, so that it has heard no leader before.
        term: Newest term that it knows, as stored.
        vote: Member that it voted for in that term.
        log: All entries, written or about to be.
        committed: What the committed entries amount to.
        members: Members as of the newest entry, committed or not.
        role: What it does at present.
        leader_heard: When it last heard a leader; its start counts, because it may have heard
            one just before.
        current_at: Newest instant of which it knows that it held everything committed by then:
            the leader had not yet sent what this replica now holds.
        incarnation: Random number of its process.
        quorum_heard: When it last heard from a leader or, as the leader, from a majority.
        election_due: When it asks for votes unless it hears a leader.
        given_way: Replicas whose pre-vote has put off its own since it last heard a leader.
        jitter: Newest random number, from 0 to 1.
        written: Sequence number of the last write.
        unsynced: Sequence numbers of unsynced writes, each with the last index it covers.
        synced_index: Last entry that is durable.
        verified_index: Last entry known to equal the one in the leader's log.
        last_sent_at: Newest `sent_at` of the leader.
        snapshot_index: Last entry in the newest stored snapshot.
        snapshot_term: Term of that entry.
        snapshot_data: The encoded snapshot.
        incoming: Parts of a snapshot that is being received.
        incoming_index: Index of that snapshot.
        identities: Replies to identity queries before the group exists.
        storage_fault: Why nothing can be stored any more, empty if storing works.
        limits: Sizes of snapshots.
        min_copies: Disks that hold an entry, synced, before it is committed, besides a majority.
    """

    own: Member
    initial: tuple[Member, ...]
    started_at: timedelta
    term: int = 0
    vote: str | None = None
    log: MemoryLog = attrs.field(factory=MemoryLog)
    committed: Committed = attrs.field(factory=Committed)
    members: tuple[Member, ...] = ()
    role: Role = attrs.field(factory=Follower)
    leader_heard: timedelta = timedelta(0)
    current_at: timedelta | None = None
    quorum_heard: timedelta = timedelta(0)
    election_due: timedelta = timedelta(0)
    given_way: set[str] = attrs.field(factory=set)
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
    incoming: bytearray = attrs.field(factory=bytearray)
    incoming_index: int = 0
    identities: dict[str, str] = attrs.field(factory=dict)
    identities_due: timedelta = timedelta(0)
    storage_fault: str = ""
    limits: SnapshotLimits = attrs.field(factory=SnapshotLimits)
    min_copies: int = 1

    @property
    def own_id(self) -> str:
        """Name of this replica in votes and messages."""
        return self.own.member_id

    @property
    def voters(self) -> tuple[str, ...]:
        """Members that vote, as of the newest entry."""
        return tuple(member.member_id for member in self.members if member.is_voter)

    @property
    def others(self) -> tuple[str, ...]:
        """All members but this replica, learners included."""
        return tuple(m.member_id for m in self.members if m.member_id != self.own_id)

    @property
    def is_voter(self) -> bool:
        """True if this replica may lead."""
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


def commit_quorum(state: ReplicaState) -> int:
    """Return how many voters must hold an entry, synced, before it is committed."""
    count = len(state.voters)
    return max(quorum(count), min(state.min_copies, count))


def quorum(count: int) -> int:
    """Return how many of `count` voters are a majority."""
    return count // 2 + 1
