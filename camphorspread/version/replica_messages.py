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
    """Return the name of a replica in votes and messages: its VM and its disk identity."""
    return f"{vm}/{identity}"


@attrs.frozen
class Member:
    """A replica of the group.

    Attributes:
        vm: Name of its VM.
        identity: Random identity of its data folder; a blank disk has another one.
        peers: Where it listens for the project's own processes.
        operators: Where it listens for operators.
        is_voter: False for a learner, which receives the log and counts in no majority.
    """

    vm: str
    identity: str
    peers: Address
    operators: Address
    is_voter: bool = True

    @property
    def member_id(self) -> str:
        """Name of the replica in votes and messages."""
        return member_id(self.vm, self.identity)


@attrs.frozen
class NoOp:
    """First entry of a leader; its commit shows that all earlier entries are committed."""


@attrs.frozen
class ChangeEntry:
    """A change with the outcome that the leader decided.

    The outcome is part of the entry, so that replicas of different program versions can't
    decide differently.
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
    """What became of a change.

    Attributes:
        change_id: Identifier that the operator's command chose.
        operator: Who sent it.
        time: When the leader decided on it, for people only.
        version: Catalogue version after it; 0 if it was refused.
        error: Why it was refused, None if it was accepted.
        description: What the change does, with kind and name of its entry; empty if refused.
    """

    change_id: str
    operator: str
    time: str
    version: int
    error: ChangeError | None = None
    description: str = ""


@attrs.frozen
class Snapshot:
    """Everything that the entries up to an index amount to.

    Attributes:
        index: Index of the last entry that it covers.
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
    """Asks a replica of the settings for its disk identity, before the group exists."""


@attrs.frozen
class IdentityReply:
    """Disk identity of a replica, and whether its log is empty."""

    vm: str
    identity: str
    is_blank: bool


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or with `is_pre_vote` whether a vote would be given."""

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
    """When a replica sent a response, for itself only.

    Attributes:
        incarnation: Random number of its process; a restarted VM may count time from 0 again.
        sent_at: The instant on its own clock.
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
        commit_index: What the leader has committed.
        sent_at: When it was sent, on the leader's clock; the response repeats it.
        answered: Time in the newest response that the leader had from the receiver, which shows
            the receiver that `commit_index` isn't older; None if there was none.
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
    """What a replica holds, synced, of the leader's log.

    Attributes:
        term: Term of the replica.
        is_matching: False if the replica lacks the entry before the first one sent.
        index: Last synced entry that matches, or where to go on from after a mismatch.
        sent_at: Of the newest request.
        answered: When this response was sent; the leader's next request repeats it.
    """

    term: int
    is_matching: bool
    index: int
    sent_at: timedelta
    answered: AnswerTime | None = None


@attrs.frozen
class SnapshotChunk:
    """A part of an encoded snapshot."""

    term: int
    index: int
    offset: int
    total: int
    data: bytes
    sent_at: timedelta


@attrs.frozen
class SnapshotResponse:
    """How much of a snapshot a replica has received."""

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
    """A message on its way.

    Attributes:
        source: Member identifier of the sender.
        target: Member identifier of the receiver; the identity is empty in an identity query.
        reply_to: Where the sender listens for the project's own processes.
        message: The message.
    """

    source: str
    target: str
    reply_to: Address
    message: Message


@attrs.frozen
class AddLearner:
    """Send the log to a new replica, which doesn't vote yet."""

    member: Member


@attrs.frozen
class PromoteLearner:
    """Give a learner that has caught up a vote."""

    vm: str
    identity: str


@attrs.frozen
class RemoveMember:
    """Take a replica out of the group."""

    vm: str
    identity: str


MembershipChange = AddLearner | PromoteLearner | RemoveMember
