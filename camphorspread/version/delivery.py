"""Delivery of the catalogue to entry VMs: deltas, catalogue leases and acknowledgements."""

import enum
from collections import deque
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import Change, apply_change, document_size
from camphorspread.version.replica_view import ReplicaView

__all__ = [
    "CATALOGUE_LEASE",
    "LONG_POLL_LIMIT",
    "NO_CATALOGUE_VERSION",
    "Acknowledgement",
    "AcknowledgementState",
    "Delivery",
    "Delta",
    "HoldPoll",
    "Poll",
    "PollDecision",
    "RedirectToLeader",
    "SendDeltas",
    "SendFullCatalogue",
    "apply_deltas",
    "decide_poll",
    "has_catalogue_lease",
    "list_acknowledgements",
    "record_acknowledgement",
    "record_change",
]

# The sum of the three intervals, 2.6 s, stays within the 3 s after which a change must be in
# effect everywhere.
CATALOGUE_LEASE = timedelta(seconds=1.5)
FOLLOWER_STALENESS_LIMIT = timedelta(seconds=0.6)
LONG_POLL_LIMIT = timedelta(seconds=0.5)
NO_CATALOGUE_VERSION = -1
# At 2,100 changes a day, this covers an entry VM that was disconnected for half a day.
HISTORY_LENGTH = 1000
# Characters of the documents in this history; an entry VM further behind gets the whole catalogue,
# which holds one document.
HISTORY_SIZE = 4 * 1024 * 1024


@attrs.frozen
class Delta:
    """An accepted change and the catalogue version that it produced."""

    version: int
    change: Change


@attrs.frozen
class Poll:
    """A poll of an entry VM.

    Attributes:
        vm: Name of the entry VM.
        version: Catalogue version that it uses, `NO_CATALOGUE_VERSION` before its first catalogue.
    """

    vm: str
    version: int


@attrs.frozen
class RedirectToLeader:
    """Only the leader can answer this poll; names it, or None if no leader is known."""

    leader: str | None


@attrs.frozen
class SendFullCatalogue:
    """Send the whole catalogue."""


@attrs.frozen
class SendDeltas:
    """Send the changes after the polled version."""

    deltas: tuple[Delta, ...]


@attrs.frozen
class HoldPoll:
    """There is no newer version, so the poll is held."""


PollDecision = RedirectToLeader | SendFullCatalogue | SendDeltas | HoldPoll


class AcknowledgementState(enum.Enum):
    """Whether an entry VM is up to date, as one control process sees it."""

    CURRENT = "current"
    LAGGING = "lagging"
    ISOLATED = "isolated"


@attrs.frozen
class Acknowledgement:
    """The catalogue version with which an entry VM last polled, and when it did."""

    vm: str
    version: int
    received_at: timedelta


@attrs.define(eq=False)
class Delivery:
    """Delivery state of a control process.

    Attributes:
        deltas: History of the newest changes, with consecutive versions.
        acknowledgements: The last poll of each entry VM.
    """

    deltas: deque[Delta] = attrs.field(factory=lambda: deque(maxlen=HISTORY_LENGTH))
    acknowledgements: dict[str, Acknowledgement] = attrs.field(factory=dict)


def record_change(delivery: Delivery, version: int, change: Change) -> None:
    """Add an accepted change to the history, which is cleared first if versions are missing.

    The oldest changes are dropped while their documents exceed `HISTORY_SIZE`.
    """
    if delivery.deltas and delivery.deltas[-1].version != version - 1:
        delivery.deltas.clear()
    delivery.deltas.append(Delta(version, change))
    size = sum(document_size(item.change) for item in delivery.deltas)
    while size > HISTORY_SIZE and len(delivery.deltas) > 1:
        size -= document_size(delivery.deltas.popleft().change)


def has_catalogue_lease(view: ReplicaView, now: timedelta) -> bool:
    """Return True if this replica may grant a catalogue lease: its catalogue is current."""
    if view.is_leader:
        # Until it has committed an entry of its own term, a leader may not know of all changes
        # that earlier leaders committed.
        return view.has_own_term_entry and view.lease_end > now
    return view.current_as_of is not None and now - view.current_as_of <= FOLLOWER_STALENESS_LIMIT


def decide_poll(
    delivery: Delivery, newest: int, view: ReplicaView, poll: Poll, now: timedelta
) -> PollDecision:
    """Decide how to answer a poll.

    Args:
        delivery: Delivery state of this control process.
        newest: Version of this replica's catalogue.
        view: Leadership as this replica sees it.
        poll: The poll.
        now: Current instant.
    """
    if poll.version <= NO_CATALOGUE_VERSION:
        # The entry VM may have used any accepted version before its restart. Only a leader with
        # a lease and a committed entry of its own term is known to have all of them.
        is_complete = view.is_leader and view.lease_end > now and view.has_own_term_entry
        return (
            SendFullCatalogue()
            if is_complete
            else RedirectToLeader(None if view.is_leader else view.leader)
        )
    if poll.version >= newest:
        return HoldPoll()
    if not delivery.deltas or delivery.deltas[-1].version != newest:
        return SendFullCatalogue()
    if delivery.deltas[0].version > poll.version + 1:
        return SendFullCatalogue()
    return SendDeltas(tuple(item for item in delivery.deltas if item.version > poll.version))


def apply_deltas(catalogue: Catalogue, deltas: tuple[Delta, ...]) -> Catalogue:
    """Return the catalogue with consecutive changes applied.

    Changes up to its version are skipped, and so is everything after a gap.
    """
    for delta in deltas:
        if delta.version == catalogue.version + 1:
            catalogue = apply_change(catalogue, delta.change)
    return catalogue


def record_acknowledgement(delivery: Delivery, poll: Poll, now: timedelta) -> None:
    """Record that an entry VM uses the version with which it polls."""
    delivery.acknowledgements[poll.vm] = Acknowledgement(poll.vm, poll.version, now)


def list_acknowledgements(
    delivery: Delivery, newest: int, now: timedelta
) -> list[tuple[Acknowledgement, AcknowledgementState]]:
    """Return the last acknowledgement of each entry VM and its state, sorted by name.

    A VM counts as isolated once every lease that this control process granted to it has ended: a
    lease starts when the VM sends the poll, which is before the poll arrives.
    """
    states = []
    for vm in sorted(delivery.acknowledgements):
        item = delivery.acknowledgements[vm]
        if now - item.received_at >= CATALOGUE_LEASE:
            state = AcknowledgementState.ISOLATED
        elif item.version < newest:
            state = AcknowledgementState.LAGGING
        else:
            state = AcknowledgementState.CURRENT
        states.append((item, state))
    return states
