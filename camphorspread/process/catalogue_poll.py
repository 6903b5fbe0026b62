"""Keeps the catalogue of an entry process up to date by polling a control process."""

import asyncio
from datetime import timedelta

import attrs

from camphorspread.connection.link import LinkError
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import FleetView
from camphorspread.process.settings import ReplicaSettings
from camphorspread.request.rendezvous import unit_hash
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.codec import decode_catalogue, decode_deltas
from camphorspread.version.delivery import CATALOGUE_LEASE, NO_CATALOGUE_VERSION, apply_deltas
from camphorspread.version.shares import record_permanent_parts

__all__ = ["ReplicaChoice", "choose_replica", "order_replicas", "poll_catalogue", "watch_lease"]

# Hold and limit are chosen so that after one replica stops responding, another one renews the
# lease before it ends: 0.51 s + 0.65 s + 0.22 s for connection and poll at 55 ms one way < 1.5 s.
POLL_HOLD = timedelta(milliseconds=400)
POLL_TIMEOUT = timedelta(milliseconds=650)
RETRY_INTERVAL = timedelta(milliseconds=200)
AVOIDANCE_TIME = timedelta(seconds=5)
WATCH_INTERVAL = timedelta(milliseconds=100)


@attrs.define(eq=False)
class ReplicaChoice:
    """Which replica is polled next.

    Attributes:
        replicas: All replicas, nearest first.
        avoided_until: Replicas that failed, or couldn't grant a lease, and until when they are
            avoided.
        leader: Replica that another one named as the leader; polled next, once.
    """

    replicas: tuple[ReplicaSettings, ...]
    avoided_until: dict[str, timedelta] = attrs.field(factory=dict)
    leader: str | None = None


def order_replicas(
    replicas: tuple[ReplicaSettings, ...], fleet: FleetView
) -> tuple[ReplicaSettings, ...]:
    """Return the replicas with the nearest first: VM, availability zone, region, others.

    Replicas at the same distance are ordered by a hash, so that the VMs of a region don't all poll
    the one with the lowest name.
    """

    def distance(replica: ReplicaSettings) -> tuple[int, float]:
        record, own = fleet.vms.get(replica.vm), fleet.own
        tie_break = unit_hash(own.vm, replica.vm)
        if record is None:
            return 4, tie_break
        is_local = (record.vm == own.vm, record.availability_zone == own.availability_zone)
        distances = (*is_local, record.region == own.region, True)
        return distances.index(True), tie_break

    return tuple(sorted(replicas, key=distance))


def choose_replica(choice: ReplicaChoice, now: timedelta) -> ReplicaSettings:
    """Return the replica named as leader, else the nearest one that isn't avoided.

    If all are avoided, it is the one whose avoidance ends first.
    """
    for replica in choice.replicas:
        if replica.vm == choice.leader:
            choice.leader = None
            return replica
    return min(
        choice.replicas,
        key=lambda item: max(choice.avoided_until.get(item.vm, now) - now, timedelta(0)),
    )


async def poll_catalogue(state: EntryState) -> None:
    """Poll the control processes until cancelled."""
    choice = ReplicaChoice(order_replicas(state.settings.replicas, state.fleet))
    failures = 0
    while True:
        replica = choose_replica(choice, state.clock.monotonic())
        if await poll_once(state, choice, replica, POLL_HOLD if not failures else timedelta(0)):
            failures = 0
            continue
        failures += 1
        # The other replicas are tried immediately, so that the lease needn't end.
        if failures >= len(choice.replicas):
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())


async def poll_once(
    state: EntryState, choice: ReplicaChoice, replica: ReplicaSettings, hold: timedelta
) -> bool:
    """Send one poll; return True if its response renewed the lease."""
    message = {
        "vm": state.settings.place.vm,
        "version": state.catalogue.version if state.catalogue else NO_CATALOGUE_VERSION,
        "hold_ms": int(hold.total_seconds() * 1000),
    }
    sent_at = state.clock.monotonic()
    try:
        response = await state.link.call(
            replica.peers, "POST", "/v1/catalogue/poll", message, POLL_TIMEOUT
        )
        renewed = apply_poll_response(state, choice, response.value, sent_at)
    except (LinkError, ValueError, TypeError, KeyError) as exc:
        state.log.write(Event.CATALOGUE_POLL_FAILED, replica=replica.vm, cause=str(exc))
        renewed = False
    if renewed:
        choice.avoided_until.pop(replica.vm, None)
    elif choice.leader is None:
        choice.avoided_until[replica.vm] = state.clock.monotonic() + AVOIDANCE_TIME
    return renewed


def apply_poll_response(
    state: EntryState, choice: ReplicaChoice, value: object, sent_at: timedelta
) -> bool:
    """Apply a newer catalogue and renew the lease; return True if it was renewed."""
    match value:
        case {"leader": leader}:
            choice.leader = leader
            return False
        case {"catalogue": encoded}:
            apply_catalogue(state, decode_catalogue(encoded))
        case {"deltas": encoded} if state.catalogue is not None:
            apply_catalogue(state, apply_deltas(state.catalogue, decode_deltas(encoded)))
    if not isinstance(value, dict) or value.get("lease") is not True or state.catalogue is None:
        return False
    state.catalogue_lease_end = max(state.catalogue_lease_end, sent_at + CATALOGUE_LEASE)
    return True


def apply_catalogue(state: EntryState, catalogue: Catalogue) -> None:
    """Apply a catalogue if it is newer than the one in force."""
    if state.catalogue is not None and catalogue.version <= state.catalogue.version:
        return
    state.catalogue = catalogue
    place = state.settings.place
    now = state.clock.monotonic()
    record_permanent_parts(state.held_shares, catalogue, place.region, place.vm, now)
    state.log.write(Event.CATALOGUE_IN_FORCE, version=catalogue.version)


async def watch_lease(state: EntryState) -> None:
    """Log when the catalogue lease ends and when it returns, until cancelled."""
    was_isolated = False
    while True:
        await asyncio.sleep(WATCH_INTERVAL.total_seconds())
        is_isolated = state.catalogue_lease_end <= state.clock.monotonic()
        if is_isolated == was_isolated or state.catalogue is None:
            continue
        was_isolated = is_isolated
        event = Event.CATALOGUE_LEASE_ENDED if is_isolated else Event.CATALOGUE_LEASE_RETURNED
        state.log.write(event, version=state.catalogue.version)
