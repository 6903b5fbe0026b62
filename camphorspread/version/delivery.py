"""Delivery of the catalogue to entry VMs: deltas, catalogue lease, acknowledgements."""

import enum
from collections import deque
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.changes import Change, apply_change
from camphorspread.version.replica_view import ReplicaView

__all__ = [
    "CATALOGUE_LEASE",
    "FIRST_POLL",
    "HOLD_LIMIT",
    "Acknowledgement",
    "AcknowledgementState",
    "AskLeader",
    "Delivery",
    "Delta",
    "Hold",
    "Poll",
    "PollDecision",
    "SendDeltas",
    "SendWhole",
    "acknowledge",
    "apply_deltas",
    "decide_poll",
    "has_catalogue_lease",
    "list_acknowledgements",
    "record_change",
]

# The three intervals add up to the 3 s within which a change is in effect everywhere.
CATALOGUE_LEASE = timedelta(seconds=1.5)
FOLLOWER_LIMIT = timedelta(seconds=0.6)
HOLD_LIMIT = timedelta(seconds=0.5)
FIRST_POLL = -1
# At 2,100 changes a day this covers an entry VM that was cut off for half a day.
HISTORY_LENGTH = 1000


@attrs.frozen
class Delta:
    """One accepted change and the catalogue version that it made."""

    version: int
    change: Change


@attrs.frozen
class Poll:
    """A poll of an entry VM.

    Attributes:
        vm: Name of the entry VM.
        version: Catalogue version that it runs, `FIRST_POLL` before its first catalogue.
    """

    vm: str
    version: int


@attrs.frozen
class AskLeader:
    """Only the leader answers this poll; its name, or None while there is none."""

    leader: str | None


@attrs.frozen
class SendWhole:
    """The whole catalogue is sent."""


@attrs.frozen
class SendDeltas:
    """The changes after the polled version are sent."""

    deltas: tuple[Delta, ...]


@attrs.frozen
class Hold:
    """There is nothing newer."""


PollDecision = AskLeader | SendWhole | SendDeltas | Hold


class AcknowledgementState(enum.Enum):
    """How far an entry VM is, as one control process sees it."""

    CURRENT = "current"
    LAGGING = "lagging"
    ISOLATED = "isolated"


@attrs.frozen
class Acknowledgement:
    """The version that an entry VM ran when it was last heard."""

    vm: str
    version: int
    heard: timedelta


@attrs.define(eq=False)
class Delivery:
    """What a control process keeps for the delivery of the catalogue.

    Attributes:
        deltas: The newest changes, with consecutive versions.
        acknowledgements: The last poll of each entry VM.
    """

    deltas: deque[Delta] = attrs.field(factory=lambda: deque(maxlen=HISTORY_LENGTH))
    acknowledgements: dict[str, Acknowledgement] = attrs.field(factory=dict)


def record_change(delivery: Delivery, version: int, change: Change) -> None:
    """Add an accepted change to the history; one that doesn't follow the last starts it anew."""
    if delivery.deltas and delivery.deltas[-1].version != version - 1:
        delivery.deltas.clear()
    delivery.deltas.append(Delta(version, change))


def has_catalogue_lease(view: ReplicaView, now: timedelta) -> bool:
    """Return True if the catalogue of this replica counts as current for entry VMs."""
    if view.is_leader:
        # Before that, earlier leaders may have committed changes that this one doesn't know of.
        return view.has_own_term_entry and view.lease_end > now
    return view.leader_heard is not None and now - view.leader_heard <= FOLLOWER_LIMIT


def decide_poll(
    delivery: Delivery, newest: int, view: ReplicaView, poll: Poll, now: timedelta
) -> PollDecision:
    """Decide what a poll gets.

    Args:
        delivery: State of the delivery.
        newest: Version of this replica's catalogue.
        view: What this replica knows about the leader.
        poll: The poll.
        now: Current instant.
    """
    if poll.version <= FIRST_POLL:
        # The entry VM may have run any accepted version before its restart; only such a leader
        # is known to have all of them.
        is_complete = view.is_leader and view.lease_end > now and view.has_own_term_entry
        return SendWhole() if is_complete else AskLeader(None if view.is_leader else view.leader)
    if poll.version >= newest:
        return Hold()
    if not delivery.deltas or delivery.deltas[-1].version != newest:
        return SendWhole()
    if delivery.deltas[0].version > poll.version + 1:
        return SendWhole()
    return SendDeltas(tuple(item for item in delivery.deltas if item.version > poll.version))


def apply_deltas(catalogue: Catalogue, deltas: tuple[Delta, ...]) -> Catalogue:
    """Return the catalogue after the changes that directly follow its version.

    Changes up to its version are passed over; at a gap the result is the catalogue before it.
    """
    for delta in deltas:
        if delta.version == catalogue.version + 1:
            catalogue = apply_change(catalogue, delta.change)
    return catalogue


def acknowledge(delivery: Delivery, poll: Poll, now: timedelta) -> None:
    """Record that the entry VM runs the version that it polls with."""
    delivery.acknowledgements[poll.vm] = Acknowledgement(poll.vm, poll.version, now)


def list_acknowledgements(
    delivery: Delivery, newest: int, now: timedelta
) -> list[tuple[Acknowledgement, AcknowledgementState]]:
    """Return the last acknowledgement of each entry VM and its state, sorted by name.

    A VM counts as isolated once no lease that this control process gave can still run: its
    lease began when it sent the poll, so before the poll was heard.
    """
    found = []
    for vm in sorted(delivery.acknowledgements):
        item = delivery.acknowledgements[vm]
        if now - item.heard >= CATALOGUE_LEASE:
            state = AcknowledgementState.ISOLATED
        elif item.version < newest:
            state = AcknowledgementState.LAGGING
        else:
            state = AcknowledgementState.CURRENT
        found.append((item, state))
    return found
