"""Tracks the entry VMs on a control VM, and places announcements of backend servers."""

import asyncio
import contextlib
import hashlib
from datetime import timedelta

import attrs

from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import encode_report
from camphorspread.process.announcement_messages import (
    ANNOUNCEMENT_PATH,
    FORWARD_TIMEOUT,
    Accepted,
    NotAccepted,
)
from camphorspread.process.caller_spread import CallerSpread, choose_entry_vms, update_fractions
from camphorspread.process.control_state import ControlState
from camphorspread.process.departures import DepartureLog, expire_departures, is_departed
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.events import Event
from camphorspread.process.instances import InstanceReport
from camphorspread.process.owner_rank import rank_owners
from camphorspread.process.quota_allocator import QuotaAllocator, record_stop
from camphorspread.process.replica_shell import ReplicaShell
from camphorspread.process.steering_settings import SteeringSettings
from camphorspread.process.update_store import UpdateStore
from camphorspread.version.replica_messages import Member

__all__ = [
    "ListedVm",
    "SteeringControl",
    "find_lookup_addresses",
    "is_current",
    "mark_dead",
    "place_announcement",
    "record_poll",
    "wait_until_in_force",
    "watch_vms",
]

# The next poll arrives within a round trip of the response to the last one; the rest is for the
# retransmission of lost packets.
POLL_DELAY_LIMIT = timedelta(seconds=1.3)
WATCH_INTERVAL = timedelta(milliseconds=200)
# A follower whose catalogue isn't known to have been current within this time may be partitioned.
MAX_STALENESS = timedelta(seconds=1.2)
# Few owners are tried for one announcement, since the backend server waits only a second.
MAX_OWNER_ATTEMPTS = 2


@attrs.define(eq=False)
class ListedVm:
    """An entry VM that polls this control VM.

    Attributes:
        record: The record in its last poll.
        last_poll_at: When it last polled.
        hold: For how long that poll may be held.
        catalogue_version: Catalogue version in force there, as its last poll stated.
        alive_since: Since when its present process has polled without interruption.
        revision: Revision of the list at which its record last changed.
        is_alive: False after too long a silence, or once its connection was closed.
    """

    record: EntryVm
    last_poll_at: timedelta
    hold: timedelta
    catalogue_version: int
    alive_since: timedelta
    revision: int = 0
    is_alive: bool = True


@attrs.define(eq=False)
class SteeringControl:
    """State of a control VM, in addition to its replica.

    Attributes:
        settings: Settings of the process.
        control: State of the control process, shared by the modules that do I/O for its replica.
        shell: Its replica.
        started_at: When the process started.
        quotas: Division of the limits of organisations while this replica leads.
        updates: Updates of the catalogue that were encoded for entry VMs.
        vms: Entry VMs by name.
        list_revision: Incremented with each change of `vms`.
        departures: Recent departures of backend servers.
        caller_spread: Callers of each zone that use the VMs of other zones.
        digested_members: Members of the group whose digest is `members_digest`.
        members_digest: Part of the version of the lists.
        polled: Event that is set, and replaced by a new one, at each poll and loss of an entry VM.
    """

    settings: SteeringSettings
    control: ControlState
    shell: ReplicaShell
    started_at: timedelta
    quotas: QuotaAllocator
    updates: UpdateStore
    vms: dict[str, ListedVm] = attrs.field(factory=dict)
    list_revision: int = 0
    departures: DepartureLog = attrs.field(factory=DepartureLog)
    caller_spread: CallerSpread = attrs.field(factory=CallerSpread)
    digested_members: tuple[Member, ...] | None = None
    members_digest: str = ""
    polled: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def fleet_list_version(self) -> str:
        """Version of the lists of entry VMs and control VMs, unique to this process."""
        members = self.shell.state.members
        if members is not self.digested_members:
            self.digested_members, self.members_digest = members, digest_members(members)
        return f"{self.shell.state.incarnation:x}.{self.list_revision}.{self.members_digest}"

    @property
    def departure_version(self) -> str:
        """Version of the recorded departures, unique to this process."""
        return f"{self.shell.state.incarnation:x}.{self.departures.revision}"

    def wake_waits(self) -> None:
        """Wake those that wait for a poll or the loss of an entry VM."""
        self.polled.set()
        self.polled = asyncio.Event()

    def publish_list_change(self, changed: ListedVm) -> None:
        """Advance the version of the lists and wake the polls that wait for a change of it."""
        self.list_revision += 1
        changed.revision = self.list_revision
        self.control.wake_polls()


def digest_members(members: tuple[Member, ...]) -> str:
    """Return a digest of the members of the group."""
    names = ",".join(sorted(member.member_id for member in members))
    return hashlib.blake2b(names.encode(), digest_size=8).hexdigest()


def is_current(steering: SteeringControl) -> bool:
    """Return True if this replica holds all changes that were accepted until shortly before."""
    now = steering.control.clock.monotonic()
    view = steering.control.view
    if view.is_leader:
        return view.has_own_term_entry and now < view.lease_end
    return view.current_as_of is not None and now - view.current_as_of <= MAX_STALENESS


def record_poll(
    steering: SteeringControl, record: EntryVm, hold: timedelta, catalogue_version: int
) -> None:
    """Record that an entry VM polled, and publish a change of its state.

    Args:
        steering: State of this control VM.
        record: The record in the poll.
        hold: For how long the poll may be held.
        catalogue_version: Catalogue version in force at the entry VM.
    """
    steering.wake_waits()
    now = steering.control.clock.monotonic()
    known = steering.vms.get(record.vm)
    is_unchanged = (
        known is not None
        and known.is_alive
        and known.record.incarnation == record.incarnation
        and known.record.is_accepting == record.is_accepting
        and known.record.is_leaving == record.is_leaving
    )
    is_same_process = (
        known is not None and known.is_alive and known.record.incarnation == record.incarnation
    )
    if is_same_process:
        # An earlier poll may still be held, and polls on two connections may arrive swapped.
        hold = max(hold, known.last_poll_at + known.hold - now)
        catalogue_version = max(catalogue_version, known.catalogue_version)
    if is_unchanged:
        known.last_poll_at, known.hold = now, hold
        known.catalogue_version = catalogue_version
        known.record.caller_rate = record.caller_rate
        return
    alive_since = known.alive_since if is_same_process else now
    steering.vms[record.vm] = listed = ListedVm(record, now, hold, catalogue_version, alive_since)
    log_vm_change(steering, record, True)
    steering.publish_list_change(listed)


async def wait_until_in_force(
    steering: SteeringControl, catalogue_version: int, limit: timedelta
) -> list[str]:
    """Wait until a catalogue version is in force at all entry VMs that poll this control VM.

    Args:
        steering: State of this control VM.
        catalogue_version: The version.
        limit: Longest time to wait.

    Returns:
        Names of the live entry VMs that haven't confirmed the version within the limit.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit.total_seconds()):
            while list_lagging(steering, catalogue_version):
                await steering.polled.wait()
    return list_lagging(steering, catalogue_version)


def list_lagging(steering: SteeringControl, catalogue_version: int) -> list[str]:
    """Return the live entry VMs at which a catalogue version isn't known to be in force."""
    return sorted(
        name
        for name, item in steering.vms.items()
        if item.is_alive and item.catalogue_version < catalogue_version
    )


def mark_dead(steering: SteeringControl, record: EntryVm) -> None:
    """Mark an entry VM as dead, unless another process of it has polled since."""
    known = steering.vms.get(record.vm)
    if known is not None and known.record.incarnation == record.incarnation and known.is_alive:
        known.is_alive = False
        if record.is_leaving:
            record_stop(steering.quotas, record.vm, steering.control.clock.monotonic())
        steering.wake_waits()
        log_vm_change(steering, record, False)
        steering.publish_list_change(known)


def log_vm_change(steering: SteeringControl, record: EntryVm, is_alive: bool) -> None:
    """Log that an entry VM has been added, has changed or is dead."""
    steering.control.log.write(
        Event.ENTRY_VM_CHANGED,
        peer=record.vm,
        incarnation=record.incarnation,
        accepting=record.is_accepting and is_alive,
    )


async def watch_vms(steering: SteeringControl) -> None:
    """Mark silent entry VMs as dead and spread callers over the others, until cancelled."""
    while True:
        await asyncio.sleep(WATCH_INTERVAL.total_seconds())
        now = steering.control.clock.monotonic()
        for item in steering.vms.values():
            if item.is_alive and now - item.last_poll_at > item.hold + POLL_DELAY_LIMIT:
                mark_dead(steering, item.record)
        expire_departures(steering.departures, now)
        update_fractions(steering.caller_spread, list_accepting(steering), WATCH_INTERVAL)


def find_lookup_addresses(
    steering: SteeringControl, availability_zone: str, region: str
) -> list[Address]:
    """Return the addresses to which callers of a zone should connect."""
    sample = steering.control.rng.random()
    return choose_entry_vms(
        steering.caller_spread, list_accepting(steering), availability_zone, region, sample
    )


def list_accepting(steering: SteeringControl) -> list[EntryVm]:
    """Return the entry VMs that accept callers."""
    return [
        item.record for item in steering.vms.values() if item.is_alive and item.record.is_accepting
    ]


async def place_announcement(
    steering: SteeringControl, report: InstanceReport
) -> Accepted | NotAccepted:
    """Forward an announcement to the entry VM that should own the backend server.

    An announcement that the server sent before its departure goes no further.
    """
    if is_departed(steering.departures, report.instance, report.started_ms):
        steering.control.log.write(
            Event.INSTANCE_OUTDATED,
            instance=report.instance,
            started_ms=report.started_ms,
            sequence=report.sequence,
        )
        return Accepted()
    region = steering.settings.regions.get(report.availability_zone, "")
    candidates = {
        name: (item.record.availability_zone, item.record.region)
        for name, item in steering.vms.items()
        if item.is_alive and not item.record.is_leaving
    }
    ranked = rank_owners(report.instance, report.availability_zone, region, candidates)
    for name in ranked[:MAX_OWNER_ATTEMPTS]:
        peers = steering.vms[name].record.peers
        try:
            response = await steering.control.link.call(
                peers, "POST", ANNOUNCEMENT_PATH, encode_report(report), FORWARD_TIMEOUT
            )
        except LinkError as exc:
            steering.control.log.write(Event.HANDOVER_FAILED, peer=name, cause=str(exc))
            continue
        if response.status == 200:
            return Accepted(peers)
    return NotAccepted("no entry VM accepted the announcement")
