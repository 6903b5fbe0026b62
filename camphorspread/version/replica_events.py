"""Events that a replica handles, and effects that its shell executes."""

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
    """The timer set to `next_wake` expired.

    Attributes:
        jitter: Random number from 0 to 1 that spreads elections.
    """

    jitter: float


@attrs.frozen
class Received:
    """A message addressed to this replica arrived."""

    source: str
    message: Message


@attrs.frozen
class LogSynced:
    """All log writes up to this sequence number are durable."""

    sequence: int


@attrs.frozen
class ChangeProposed:
    """An operator proposed a change; `time` is the wall-clock time, for display only."""

    request: ChangeRequest
    time: str


@attrs.frozen
class MembershipProposed:
    """An operator or the upkeep of the group proposed a membership change."""

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
    """A write or sync failed; nothing can be stored until a restart."""

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
    """Store and sync term and vote before the following effects."""

    term: int
    vote: str | None


@attrs.frozen
class WriteEntries:
    """Write entries, replacing those from the first one's index on."""

    entries: tuple[LogEntry, ...]


@attrs.frozen
class SyncLog:
    """Sync the log, including later writes; the shell reports `LogSynced`."""

    sequence: int


@attrs.frozen
class EncodeSnapshot:
    """Encode and store a snapshot; the shell reports `SnapshotStored`."""

    snapshot: Snapshot


@attrs.frozen
class InstallSnapshot:
    """Decode and store a received snapshot; the shell reports `SnapshotInstalled`."""

    data: bytes


@attrs.frozen
class CompactLog:
    """Replace the log file by one that starts after `base_index`, and sync it.

    The shell reports `LogSynced` with the sequence number.
    """

    base_index: int
    base_term: int
    entries: tuple[LogEntry, ...]
    sequence: int


@attrs.frozen
class Send:
    """Send a message to another replica."""

    target: str
    message: Message


@attrs.frozen
class CommittedChange:
    """A committed change and the catalogue version that it produced."""

    version: int
    change: Change


@attrs.frozen
class CatalogueCommitted:
    """The committed catalogue has a new version.

    Attributes:
        changes: The changes since the previous version, empty if a snapshot was installed.
    """

    changes: tuple[CommittedChange, ...] = ()


@attrs.frozen
class AnswerChange:
    """Send the outcome of a change to those who wait for it."""

    change_id: str
    outcome: ChangeOutcome | ChangeError


@attrs.frozen
class AnswerMembership:
    """Send the outcome of a membership change to those who wait for it; None is success."""

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
