"""Members, log entries and messages of the replicated catalogue."""

from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import ChangeError, ChangeRequest

__all__ = [
    "AddLearner",
    "AnswerTime",
    "AppendRequest",
    "AppendResponse",
    "ChangeEntry",
    "ChangeOutcome",
    "Envelope",
    "IdentityQuery",
    "IdentityReply",
    "LogEntry",
    "Member",
    "MembersEntry",
    "MembershipChange",
    "Message",
    "NoOp",
    "PromoteLearner",
    "RemoveMember",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotResponse",
    "VoteRequest",
    "VoteResponse",
    "member_id",
]


def member_id(vm: str, identity: str) -> str:
    """Return the member identifier of a replica: its VM and its disk identity."""
    return f"{vm}/{identity}"


@attrs.frozen
class Member:
    """A replica of the group.

    Attributes:
        vm: Name of its VM.
        identity: Random identity of its data folder; a blank disk gets a new one.
        peers: Address on which it listens for the project's own processes.
        operators: Address on which it listens for operators.
        is_voter: False for a learner, which receives the log but doesn't count in majorities.
    """

    vm: str
    identity: str
    peers: Address
    operators: Address
    is_voter: bool = True

    @property
    def member_id(self) -> str:
        """Member identifier: the VM and the disk identity."""
        return member_id(self.vm, self.identity)


@attrs.frozen
class NoOp:
    """First entry of a leader; once it is committed, all earlier entries are committed too."""


@attrs.frozen
class ChangeEntry:
    """A change with the outcome that the leader decided.

    The outcome is part of the entry, so that replicas with different program versions can't come
    to different decisions.
    """

    request: ChangeRequest
    time: str
    error: ChangeError | None = None


@attrs.frozen
class MembersEntry:
    """The members of the group from this entry on."""

    members: tuple[Member, ...]


@attrs.frozen
class LogEntry:
    """An entry of the replicated log."""

    index: int
    term: int
    payload: NoOp | ChangeEntry | MembersEntry


@attrs.frozen
class ChangeOutcome:
    """Outcome of a change.

    Attributes:
        change_id: Identifier chosen by the operator's command.
        operator: Who sent it.
        time: Wall-clock time of the leader's decision, for display only.
        version: Catalogue version after the change; 0 if it was refused.
        error: Why it was refused, None if it was accepted.
        description: Action, kind and name of the entry; empty if the change was refused.
    """

    change_id: str
    operator: str
    time: str
    version: int
    error: ChangeError | None = None
    description: str = ""


@attrs.frozen
class Snapshot:
    """State after all log entries up to an index.

    Attributes:
        index: Index of the last entry that the snapshot includes.
        term: Term of that entry.
        members: Members as of that entry.
        catalogue: Catalogue as of that entry.
        outcomes: Outcomes of the newest changes, oldest first.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    catalogue: Catalogue
    outcomes: tuple[ChangeOutcome, ...] = ()


@attrs.frozen
class IdentityQuery:
    """Asks a replica in the settings for its disk identity, to bootstrap the group."""


@attrs.frozen
class IdentityReply:
    """Disk identity of a replica, and whether its log is empty."""

    vm: str
    identity: str
    is_blank: bool


@attrs.frozen
class VoteRequest:
    """Requests a vote, or a pre-vote, which asks whether a vote would be granted."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool


@attrs.frozen
class VoteResponse:
    """Answers a vote request; `term` is the requested term if granted."""

    term: int
    is_granted: bool
    is_pre_vote: bool


@attrs.frozen
class AnswerTime:
    """When a replica sent a response; only that replica interprets it.

    Attributes:
        incarnation: Random number of its process; the clock may restart from 0 with its VM.
        sent_at: Instant on its own clock.
    """

    incarnation: int
    sent_at: timedelta


@attrs.frozen
class AppendRequest:
    """Entries after `previous_index`, or a heartbeat without entries.

    Attributes:
        term: Term of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: The entries.
        commit_index: Last entry that the leader has committed.
        sent_at: When the request was sent, on the leader's clock; the response echoes it.
        answered: Timestamp of the newest response that the leader received from this receiver;
            `commit_index` isn't older than that. None if there was no response.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_at: timedelta
    answered: AnswerTime | None = None


@attrs.frozen
class AppendResponse:
    """How much of the leader's log a replica has synced.

    Attributes:
        term: Term of the replica.
        is_matching: False if the replica lacks the entry before the first one sent.
        index: Last synced entry that matches; after a mismatch, the entry from which to continue.
        sent_at: `sent_at` of the newest request.
        answered: When this response was sent; the leader's next request echoes it.
    """

    term: int
    is_matching: bool
    index: int
    sent_at: timedelta
    answered: AnswerTime | None = None


@attrs.frozen
class SnapshotChunk:
    """A chunk of an encoded snapshot."""

    term: int
    index: int
    offset: int
    total: int
    data: bytes
    sent_at: timedelta


@attrs.frozen
class SnapshotResponse:
    """Number of bytes of a snapshot that a replica has received."""

    term: int
    index: int
    received: int
    sent_at: timedelta


Message = (
    IdentityQuery
    | IdentityReply
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
)


@attrs.frozen
class Envelope:
    """A message with its sender and receiver.

    Attributes:
        source: Member identifier of the sender.
        target: Member identifier of the receiver; the identity is empty in an identity query.
        reply_to: Address on which the sender listens for the project's own processes.
        message: The message.
    """

    source: str
    target: str
    reply_to: Address
    message: Message


@attrs.frozen
class AddLearner:
    """Add a replica that receives the log but doesn't vote yet."""

    member: Member


@attrs.frozen
class PromoteLearner:
    """Make a learner that has caught up a voter."""

    vm: str
    identity: str


@attrs.frozen
class RemoveMember:
    """Remove a replica from the group."""

    vm: str
    identity: str


MembershipChange = AddLearner | PromoteLearner | RemoveMember
