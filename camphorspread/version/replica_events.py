"""What happens to a replica, and what its shell has to do."""

import attrs

from camphorspread.version.changes import Change, ChangeError, ChangeRequest
from camphorspread.version.replica_messages import (
    ChangeOutcome,
    LogEntry,
    MembershipChange,
    Message,
    Snapshot,
)

__all__ = [
    "AnswerChange",
    "AnswerMembership",
    "CatalogueCommitted",
    "ChangeProposed",
    "CommittedChange",
    "CompactLog",
    "Effect",
    "EncodeSnapshot",
    "Event",
    "InstallSnapshot",
    "LogSynced",
    "MembershipProposed",
    "Received",
    "Send",
    "SnapshotInstalled",
    "SnapshotStored",
    "StorageFailed",
    "StoreVote",
    "SyncLog",
    "Wake",
    "WriteEntries",
]


@attrs.frozen
class Wake:
    """The time that `next_wake` named has come.

    Attributes:
        jitter: Random number from 0 to 1 that spreads elections.
    """

    jitter: float


@attrs.frozen
class Received:
    """A message arrived that is addressed to this replica."""

    source: str
    message: Message


@attrs.frozen
class LogSynced:
    """All writes up to this sequence number are durable."""

    sequence: int


@attrs.frozen
class ChangeProposed:
    """An operator sent a change; `time` is the date and time for people."""

    request: ChangeRequest
    time: str


@attrs.frozen
class MembershipProposed:
    """An operator sent a change of the members."""

    change: MembershipChange


@attrs.frozen
class SnapshotStored:
    """A snapshot was encoded and its file is durable."""

    snapshot: Snapshot
    data: bytes


@attrs.frozen
class SnapshotInstalled:
    """A received snapshot was decoded and its file is durable."""

    snapshot: Snapshot
    data: bytes


@attrs.frozen
class StorageFailed:
    """A write or sync failed; nothing more can be stored until a restart."""

    cause: str


Event = (
    Wake
    | Received
    | LogSynced
    | ChangeProposed
    | MembershipProposed
    | SnapshotStored
    | SnapshotInstalled
    | StorageFailed
)


@attrs.frozen
class StoreVote:
    """Store and sync term and vote before the effects that follow."""

    term: int
    vote: str | None


@attrs.frozen
class WriteEntries:
    """Write entries after dropping those from the first one's index on."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class SyncLog:
    """Sync the log, together with what else is written meanwhile; reports `LogSynced`."""

    sequence: int


@attrs.frozen
class EncodeSnapshot:
    """Encode and store a snapshot; reports `SnapshotStored`."""

    snapshot: Snapshot


@attrs.frozen
class InstallSnapshot:
    """Decode and store a received snapshot; reports `SnapshotInstalled`."""

    data: bytes


@attrs.frozen
class CompactLog:
    """Replace the log's file by one that starts after `base_index`, and sync it.

    It reports `LogSynced` with its sequence number.
    """

    base_index: int
    base_term: int
    entries: tuple[LogEntry, ...]
    sequence: int


@attrs.frozen
class Send:
    """Send a message to a replica."""

    target: str
    message: Message


@attrs.frozen
class CommittedChange:
    """A change and the catalogue version that it made."""

    version: int
    change: Change


@attrs.frozen
class CatalogueCommitted:
    """The committed catalogue has a new version.

    Attributes:
        changes: The changes since the version before, empty if a snapshot was installed.
    """

    changes: tuple[CommittedChange, ...] = ()


@attrs.frozen
class AnswerChange:
    """Tell whoever waits for this change its outcome."""

    change_id: str
    outcome: ChangeOutcome | ChangeError


@attrs.frozen
class AnswerMembership:
    """Tell whoever waits for the change of the members its outcome."""

    error: ChangeError | None


Effect = (
    StoreVote
    | WriteEntries
    | SyncLog
    | EncodeSnapshot
    | InstallSnapshot
    | CompactLog
    | Send
    | CatalogueCommitted
    | AnswerChange
    | AnswerMembership
)
