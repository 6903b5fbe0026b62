"""Shell of a replica: executes its effects on timers, messages and the data folder."""

import asyncio
import errno
from collections import Counter
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.control_metrics import record_sync
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event
from camphorspread.process.replica_transport import ReplicaTransport
from camphorspread.version.changes import ChangeError, ChangeErrorKind, ChangeRequest
from camphorspread.version.delivery import record_change
from camphorspread.version.replica import (
    apply_event,
    make_view,
    next_wake,
)
from camphorspread.version.replica_codec import (
    decode_envelope,
    decode_snapshot,
    encode_snapshot,
)
from camphorspread.version.replica_events import (
    AnswerChange,
    AnswerMembership,
    CatalogueCommitted,
    ChangeProposed,
    CommittedChange,
    CompactLog,
    Effect,
    EncodeSnapshot,
    InstallSnapshot,
    LogSynced,
    MembershipProposed,
    Received,
    Send,
    SnapshotInstalled,
    SnapshotStored,
    StorageFailed,
    StoreVote,
    SyncLog,
    Wake,
    WriteEntries,
)
from camphorspread.version.replica_events import Event as ReplicaEvent
from camphorspread.version.replica_messages import (
    ChangeOutcome,
    Envelope,
    MembershipChange,
    Message,
    VoteResponse,
)
from camphorspread.version.replica_state import ReplicaState
from camphorspread.version.replica_storage import ReplicaStorage
from camphorspread.version.share_allocator import observe_catalogue

__all__ = ["CHANGE_TIMEOUT", "ReplicaShell"]

CHANGE_TIMEOUT = timedelta(seconds=3)
ISOLATION_TIMEOUT = timedelta(seconds=10)
# Longer than an election that needs a second attempt usually takes.
LEADER_TIMEOUT = timedelta(seconds=2)
# The timer of the loop may fire slightly early; this prevents it from firing again immediately.
MIN_TIMER_DELAY = timedelta(milliseconds=1)
OUTCOME_UNKNOWN = ChangeError(
    ChangeErrorKind.NO_QUORUM, limit="the outcome is unknown; resend the same change"
)


@attrs.define(eq=False)
class ReplicaShell:
    """A running replica.

    Attributes:
        control: State of the control process.
        state: State of the replica's state machine.
        storage: Data folder, or memory.
        transport: Sends messages to other replicas.
        addresses: Reply addresses of the senders of messages, by member identifier.
        change_waiters: Futures for the outcomes of changes, by change identifier.
        membership_waiters: Futures for the outcomes of membership changes.
        sync_sequence: Newest write that the next sync covers, 0 if no sync is scheduled.
        timer: Timer for the next wake.
        is_isolated: True after 10 s without contact to a majority.
        received: Messages received since it last heard from a leader, by type.
        is_leader_missing: True once the absence of a leader was logged.
        is_stopped: True once the replica was stopped.
    """

    control: ControlState
    state: ReplicaState
    storage: ReplicaStorage
    transport: ReplicaTransport
    addresses: dict[str, Address] = attrs.field(factory=dict)
    change_waiters: dict[str, list[asyncio.Future]] = attrs.field(factory=dict)
    membership_waiters: list[asyncio.Future] = attrs.field(factory=list)
    sync_sequence: int = 0
    timer: asyncio.TimerHandle | None = None
    is_isolated: bool = False
    received: Counter[str] = attrs.field(factory=Counter)
    is_leader_missing: bool = False
    is_stopped: bool = False

    def handle_event(self, event: ReplicaEvent, replies: list[Envelope] | None = None) -> None:
        """Pass an event to the state machine and execute the effects.

        Args:
            event: The event.
            replies: Collects the messages to the sender of a received message, which would
                otherwise be sent separately.
        """
        if self.is_stopped:
            return
        now = self.control.clock.monotonic()
        leader = self.control.view.leader
        source = ""
        if isinstance(event, Received):
            source = event.source
            self.received[describe_message(event.message)] += 1
        try:
            for effect in apply_event(self.state, event, now):
                match effect:
                    case Send(target=target) if replies is not None and target == source:
                        replies.append(self.envelope(effect))
                    case _:
                        self.execute(effect)
        except OSError as exc:
            # Effects after the failed one must not be executed, above all acknowledgements.
            self.handle_storage_failure(exc)
        self.control.view = make_view(self.state, now)
        if self.control.view.leader != leader:
            self.control.log.write(
                Event.LEADER_CHANGED, leader=self.control.view.leader, term=self.state.term
            )
        self.report_isolation(now)
        self.schedule_wake()

    def handle_storage_failure(self, exc: OSError) -> None:
        """Continue without storage after a failed write or sync."""
        if self.state.storage_fault:
            return
        cause = "the disk is full" if exc.errno == errno.ENOSPC else str(exc)
        self.control.log.write(Event.STORAGE_FAILED, cause=cause)
        for effect in apply_event(self.state, StorageFailed(cause), self.control.clock.monotonic()):
            self.execute(effect)

    def execute(self, effect: Effect) -> None:
        """Execute one effect.

        Raises:
            OSError: A write or sync failed.
        """
        match effect:
            case StoreVote(term=term, vote=vote):
                self.storage.store_vote(term, vote)
            case WriteEntries(entries=entries):
                self.storage.write(entries)
            case SyncLog(sequence=sequence):
                if not self.sync_sequence:
                    asyncio.get_running_loop().call_soon(self.sync)
                self.sync_sequence = sequence
            case EncodeSnapshot(snapshot=snapshot):
                data = encode_snapshot(snapshot)
                self.storage.store_snapshot(data)
                self.handle_event(SnapshotStored(snapshot, data))
            case InstallSnapshot(data=data):
                snapshot = decode_snapshot(data)
                self.storage.store_snapshot(data)
                self.handle_event(SnapshotInstalled(snapshot, data))
            case CompactLog(base_index=index, base_term=term, entries=entries, sequence=sequence):
                self.storage.compact(index, term, entries)
                self.handle_event(LogSynced(sequence))
            case Send(target=target):
                self.send(target, self.envelope(effect))
            case CatalogueCommitted(changes=changes):
                self.publish_catalogue(changes)
            case AnswerChange(change_id=change_id, outcome=outcome):
                set_results(self.change_waiters.pop(change_id, []), outcome)
            case AnswerMembership(error=error):
                waiters, self.membership_waiters = self.membership_waiters, []
                set_results(waiters, error)

    def sync(self) -> None:
        """Sync all writes since the last sync.

        The sync blocks the loop; changes that arrive meanwhile share the next sync.
        """
        sequence, self.sync_sequence = self.sync_sequence, 0
        clock = self.control.clock
        started = clock.monotonic()
        try:
            self.storage.sync()
            record_sync(self.control.metrics, clock.monotonic() - started)
        except OSError as exc:
            self.handle_storage_failure(exc)
            return
        if not self.state.storage_fault:
            self.handle_event(LogSynced(sequence))

    def publish_catalogue(self, changes: tuple[CommittedChange, ...]) -> None:
        """Publish the newest committed catalogue and record its changes."""
        self.control.catalogue = self.state.committed.catalogue
        for item in changes:
            record_change(self.control.delivery, item.version, item.change)
        now = self.control.clock.monotonic()
        observe_catalogue(self.control.allocator, self.control.catalogue, now)
        self.control.log.write(Event.CHANGE_ACCEPTED, version=self.control.catalogue.version)
        self.control.wake_polls()

    def report_isolation(self, now: timedelta) -> None:
        """Log the loss and the return of contact to a majority."""
        silence = now - self.state.quorum_contact_at
        self.report_missing_leader(silence)
        if silence >= ISOLATION_TIMEOUT and not self.is_isolated:
            self.is_isolated = True
            self.control.log.write(Event.QUORUM_LOST, seconds=int(silence.total_seconds()))
        elif silence < ISOLATION_TIMEOUT and self.is_isolated:
            self.is_isolated = False
            self.control.log.write(Event.QUORUM_REGAINED)

    def report_missing_leader(self, silence: timedelta) -> None:
        """Log once what this replica knows, if it hears from no leader for long."""
        if silence < LEADER_TIMEOUT:
            self.is_leader_missing = False
            self.received.clear()
        elif not self.is_leader_missing:
            self.is_leader_missing = True
            state = self.state
            self.control.log.write(
                Event.LEADER_MISSING,
                seconds=silence.total_seconds(),
                role=type(state.role).__name__.lower(),
                term=state.term,
                voter=state.is_voter,
                fault=state.storage_fault,
                members=len(state.members),
                last_index=state.log.last_index,
                received=dict(self.received),
            )

    def schedule_wake(self) -> None:
        """Set the timer for the next wake."""
        if self.is_stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = self.control.clock.monotonic()
        wait = max(next_wake(self.state, now) - now, MIN_TIMER_DELAY)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(wait.total_seconds(), self.wake)

    def wake(self) -> None:
        """Pass the expired timer to the state machine."""
        self.handle_event(Wake(self.control.rng.random()))

    def envelope(self, effect: Send) -> Envelope:
        """Return the message of a send effect in an envelope."""
        own = self.control.settings.peers
        return Envelope(self.state.own_id, effect.target, own, effect.message)

    def find_peer_address(self, target: str) -> Address | None:
        """Return the peer address of a replica, None if it is unknown."""
        vm, _, identity = target.partition("/")
        members = self.state.members if identity else self.state.initial
        for member in members:
            if member.vm == vm and member.identity == identity:
                return member.peers
        if target in self.addresses:
            return self.addresses[target]
        return next((item.peers for item in self.state.initial if item.vm == vm), None)

    def send(self, target: str, envelope: Envelope) -> None:
        """Send a message and handle the replies in the response."""
        address = self.find_peer_address(target)
        if address is not None:
            self.transport.send(target, address, envelope, self.handle_replies)

    def handle_replies(self, target: str, values: list[object]) -> None:
        """Handle the replies to a message."""
        try:
            for item in values:
                self.handle_message(item)
        except ValueError as exc:
            self.control.log.write(Event.HANDLER_FAILED, cause=f"from {target}: {exc}")

    def handle_message(self, value: object, replies: list[Envelope] | None = None) -> None:
        """Handle a message.

        Args:
            value: The message in its envelope, as JSON.
            replies: Collects the replies; None sends them separately.

        Raises:
            ValueError: The value isn't a message.
        """
        envelope = decode_envelope(value)
        if envelope.target not in (self.state.own_id, f"{self.state.own.vm}/"):
            return
        self.addresses[envelope.source] = envelope.reply_to
        self.handle_event(Received(envelope.source, envelope.message), replies)

    async def propose(self, request: ChangeRequest) -> ChangeOutcome | ChangeError:
        """Propose a change and wait for its outcome."""
        future = asyncio.get_running_loop().create_future()
        self.change_waiters.setdefault(request.change_id, []).append(future)
        time = self.control.clock.wall_time().isoformat(timespec="milliseconds")
        self.handle_event(ChangeProposed(request, time))
        return await wait_for_outcome(future)

    async def propose_membership(self, change: MembershipChange) -> ChangeError | None:
        """Propose a membership change and wait for its outcome."""
        future = asyncio.get_running_loop().create_future()
        waiting, self.membership_waiters = self.membership_waiters, [future]
        # A refusal of this change must not complete the waits for an earlier change.
        self.handle_event(MembershipProposed(change))
        self.membership_waiters = waiting + self.membership_waiters
        return await wait_for_outcome(future)

    async def stop(self) -> None:
        """Cancel the timer and the messages in flight, and close the storage; idempotent."""
        if self.is_stopped:
            return
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        await self.transport.stop()
        self.storage.close()


def describe_message(message: Message) -> str:
    """Return the type of a message for the log; a refused vote counts as a type of its own."""
    match message:
        case VoteResponse(is_granted=False):
            return "vote_refused"
    return type(message).__name__


def set_results(waiters: list[asyncio.Future], value: object) -> None:
    """Set the result of all futures that aren't done."""
    for future in waiters:
        if not future.done():
            future.set_result(value)


async def wait_for_outcome(future: asyncio.Future) -> object:
    """Wait for an outcome up to `CHANGE_TIMEOUT`."""
    try:
        async with asyncio.timeout(CHANGE_TIMEOUT.total_seconds()):
            return await future
    except TimeoutError:
        return OUTCOME_UNKNOWN
