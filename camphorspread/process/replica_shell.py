"""Carries out the effects of a replica: timers, messages and the data folder."""

import asyncio
import errno
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
from camphorspread.version.replica_messages import ChangeOutcome, Envelope, MembershipChange
from camphorspread.version.replica_state import ReplicaState
from camphorspread.version.replica_storage import ReplicaStorage
from camphorspread.version.share_allocator import observe_catalogue

__all__ = ["ANSWER_LIMIT", "ReplicaShell"]

ANSWER_LIMIT = timedelta(seconds=3)
ISOLATION_LIMIT = timedelta(seconds=10)
# The loop's timer may fire a little early; this keeps it from firing again at once.
SHORTEST_WAIT = timedelta(milliseconds=1)
CHANGE_UNANSWERED = ChangeError(
    ChangeErrorKind.NO_QUORUM, limit="the outcome is unknown, send the same change again"
)


@attrs.define(eq=False)
class ReplicaShell:
    """A running replica.

    Attributes:
        control: The control process that it is part of.
        state: The state machine.
        storage: Its data folder, or memory.
        transport: Messages under way to other replicas.
        addresses: Where members listen that sent messages, by member identifier.
        change_waiters: Who waits for the outcome of a change, by its identifier.
        membership_waiters: Who waits for a change of the members.
        sync_sequence: Newest write that the next sync covers, 0 if none is due.
        is_isolated: True once nothing was heard from a majority for 10 s.
        is_stopped: True once its storage was released.
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
    is_stopped: bool = False

    def give(self, event: ReplicaEvent, replies: list[Envelope] | None = None) -> None:
        """Let the state machine handle an event and carry out the effects.

        Args:
            event: What happened.
            replies: Receives the messages to the sender of a received message, in place of
                sending them on their own.
        """
        if self.is_stopped:
            return
        now = self.control.clock.monotonic()
        leader = self.control.view.leader
        source = event.source if isinstance(event, Received) else ""
        try:
            for effect in apply_event(self.state, event, now):
                match effect:
                    case Send(target=target) if replies is not None and target == source:
                        replies.append(self.envelope(effect))
                    case _:
                        self.carry_out(effect)
        except OSError as exc:
            # The effects after the failed one must not happen, above all acknowledgements.
            self.stop_storing(exc)
        self.control.view = make_view(self.state, now)
        if self.control.view.leader != leader:
            self.control.log.write(
                Event.LEADER_CHANGED, leader=self.control.view.leader, term=self.state.term
            )
        self.report_isolation(now)
        self.schedule()

    def stop_storing(self, exc: OSError) -> None:
        """Go on without storing, after a failed write or sync."""
        if self.state.storage_fault:
            return
        cause = "the disk is full" if exc.errno == errno.ENOSPC else str(exc)
        self.control.log.write(Event.STORAGE_FAILED, cause=cause)
        for effect in apply_event(self.state, StorageFailed(cause), self.control.clock.monotonic()):
            self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        """Carry out one effect.

        Raises:
            OSError: Something can't be stored.
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
                self.give(SnapshotStored(snapshot, data))
            case InstallSnapshot(data=data):
                snapshot = decode_snapshot(data)
                self.storage.store_snapshot(data)
                self.give(SnapshotInstalled(snapshot, data))
            case CompactLog(base_index=index, base_term=term, entries=entries, sequence=sequence):
                self.storage.compact(index, term, entries)
                self.give(LogSynced(sequence))
            case Send(target=target):
                self.send(target, self.envelope(effect))
            case CatalogueCommitted(changes=changes):
                self.take_catalogue(changes)
            case AnswerChange(change_id=change_id, outcome=outcome):
                resolve(self.change_waiters.pop(change_id, []), outcome)
            case AnswerMembership(error=error):
                waiters, self.membership_waiters = self.membership_waiters, []
                resolve(waiters, error)

    def sync(self) -> None:
        """Sync all that was written since the last sync.

        It blocks the loop; changes that arrive meanwhile share the next one.
        """
        sequence, self.sync_sequence = self.sync_sequence, 0
        clock = self.control.clock
        started = clock.monotonic()
        try:
            self.storage.sync()
            record_sync(self.control.metrics, clock.monotonic() - started)
        except OSError as exc:
            self.stop_storing(exc)
            return
        if not self.state.storage_fault:
            self.give(LogSynced(sequence))

    def take_catalogue(self, changes: tuple[CommittedChange, ...]) -> None:
        """Publish the newest committed catalogue and the changes that made it."""
        self.control.catalogue = self.state.committed.catalogue
        for item in changes:
            record_change(self.control.delivery, item.version, item.change)
        now = self.control.clock.monotonic()
        observe_catalogue(self.control.allocator, self.control.catalogue, now)
        self.control.log.write(Event.CHANGE_ACCEPTED, version=self.control.catalogue.version)
        self.control.changed.set()
        self.control.changed = asyncio.Event()

    def report_isolation(self, now: timedelta) -> None:
        """Log when this replica loses or regains contact to a majority."""
        silence = now - self.state.quorum_heard
        if silence >= ISOLATION_LIMIT and not self.is_isolated:
            self.is_isolated = True
            self.control.log.write(Event.QUORUM_LOST, seconds=int(silence.total_seconds()))
        elif silence < ISOLATION_LIMIT and self.is_isolated:
            self.is_isolated = False
            self.control.log.write(Event.QUORUM_REGAINED)

    def schedule(self) -> None:
        """Set the timer for the next wake."""
        if self.is_stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = self.control.clock.monotonic()
        wait = max(next_wake(self.state, now) - now, SHORTEST_WAIT)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(wait.total_seconds(), self.wake)

    def wake(self) -> None:
        """Tell the state machine that its time has come."""
        self.give(Wake(self.control.rng.random()))

    def envelope(self, effect: Send) -> Envelope:
        """Return the message of an effect in its envelope."""
        own = self.control.settings.peers
        return Envelope(self.state.own_id, effect.target, own, effect.message)

    def find_address(self, target: str) -> Address | None:
        """Return where a replica listens for the project's own processes."""
        vm, _, identity = target.partition("/")
        members = self.state.members if identity else self.state.initial
        for member in members:
            if member.vm == vm and member.identity == identity:
                return member.peers
        if target in self.addresses:
            return self.addresses[target]
        return next((item.peers for item in self.state.initial if item.vm == vm), None)

    def send(self, target: str, envelope: Envelope) -> None:
        """Send a message on its own and handle the messages in its response."""
        address = self.find_address(target)
        if address is not None:
            self.transport.send(target, address, envelope, self.take_replies)

    def take_replies(self, target: str, values: list[object]) -> None:
        """Handle the messages that answer one."""
        try:
            for item in values:
                self.receive(item)
        except ValueError as exc:
            self.control.log.write(Event.HANDLER_FAILED, cause=f"from {target}: {exc}")

    def receive(self, value: object, replies: list[Envelope] | None = None) -> None:
        """Handle a message.

        Args:
            value: The message in its envelope, as JSON.
            replies: Receives the messages that answer it; None sends them on their own.

        Raises:
            ValueError: The value is no message.
        """
        envelope = decode_envelope(value)
        if envelope.target not in (self.state.own_id, f"{self.state.own.vm}/"):
            return
        self.addresses[envelope.source] = envelope.reply_to
        self.give(Received(envelope.source, envelope.message), replies)

    async def propose(self, request: ChangeRequest) -> ChangeOutcome | ChangeError:
        """Propose a change and wait for its outcome."""
        fut = asyncio.get_running_loop().create_future()
        self.change_waiters.setdefault(request.change_id, []).append(fut)
        time = self.control.clock.wall().isoformat(timespec="milliseconds")
        self.give(ChangeProposed(request, time))
        return await wait_for_answer(fut)

    async def propose_membership(self, change: MembershipChange) -> ChangeError | None:
        """Propose a change of the members and wait for its outcome."""
        fut = asyncio.get_running_loop().create_future()
        waiting, self.membership_waiters = self.membership_waiters, [fut]
        # A refusal of this change must not answer those who wait for an earlier one.
        self.give(MembershipProposed(change))
        self.membership_waiters = waiting + self.membership_waiters
        return await wait_for_answer(fut)

    async def stop(self) -> None:
        """End the timer and the messages under way, and release the storage, once."""
        if self.is_stopped:
            return
        self.is_stopped = True
        if self.timer is not None:
            self.timer.cancel()
        await self.transport.stop()
        self.storage.close()


def resolve(waiters: list[asyncio.Future], value: object) -> None:
    """Give those who still wait their answer."""
    for fut in waiters:
        if not fut.done():
            fut.set_result(value)


async def wait_for_answer(fut: asyncio.Future) -> object:
    """Wait for an answer, up to the limit."""
    try:
        async with asyncio.timeout(ANSWER_LIMIT.total_seconds()):
            return await fut
    except TimeoutError:
        return CHANGE_UNANSWERED
