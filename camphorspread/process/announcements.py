"""Handles announcements of backend servers at an entry VM, or forwards them to the owner."""

import asyncio
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.announcement_codec import encode_report
from camphorspread.process.announcement_messages import (
    ANNOUNCEMENT_PATH,
    FORWARD_TIMEOUT,
    Accepted,
    NotAccepted,
    NoticeReply,
    notify_departure,
    record_at_control_vms,
)
from camphorspread.process.clock import unix_ms
from camphorspread.process.departures import (
    Departure,
    DepartureNotice,
    find_departed_start,
    record_departure,
    resolve_departure,
)
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.events import Event
from camphorspread.process.instances import (
    Instance,
    InstanceReport,
    ReportOutcome,
    apply_report,
    drop_instance,
    has_owned_for_lease,
    list_owned_instances,
    remove_departed,
    restart_ownership,
)
from camphorspread.process.owner_rank import rank_owners
from camphorspread.process.possible_senders import SenderVm, list_possible_senders
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.placement_driver import review_queue

__all__ = [
    "apply_departure",
    "hand_over_instances",
    "process_announcement",
    "process_departure",
    "process_forwarded_announcement",
    "process_forwarded_departure",
]

# A VM that has just started or returned must stay alive this long before it gets backend servers.
STABLE_AFTER = timedelta(seconds=2)


async def process_announcement(
    state: SteeringState, report: InstanceReport
) -> Accepted | NotAccepted:
    """Handle an announcement that a backend server sent to this VM."""
    if report.is_leaving:
        return await process_departure(state, report.instance, report)
    owner = find_other_owner(state, report)
    if owner is not None and await forward_to_owner(state, owner, report):
        drop_instance(state.board.registry, report.instance)
        return Accepted(owner.peers)
    apply_and_log(state, report)
    return Accepted()


def find_other_owner(state: SteeringState, report: InstanceReport) -> EntryVm | None:
    """Return the VM that should own a backend server, None if it is this one.

    A VM that is stopping prefers one of the server's region that has just started to the VMs of
    other regions.
    """
    now = state.clock.monotonic()
    place = state.settings.place
    region = state.settings.regions.get(report.availability_zone, "")
    candidates = {
        peer.vm: (peer.availability_zone, peer.region)
        for peer in state.board.peers.values()
        if now < peer.alive_until
        and not peer.is_leaving
        and (now - peer.first_alive >= STABLE_AFTER or (state.is_leaving and peer.region == region))
    }
    if not state.is_leaving:
        candidates[place.vm] = (place.availability_zone, place.region)
    ranked = rank_owners(report.instance, report.availability_zone, region, candidates)
    if not ranked or ranked[0] == place.vm:
        return None
    return state.board.peers[ranked[0]]


async def forward_to_owner(state: SteeringState, owner: EntryVm, report: InstanceReport) -> bool:
    """Forward an announcement to its new owner; return True if that VM accepted it.

    That VM may own the server even if its response doesn't arrive.
    """
    restart_ownership(state.board.registry, report.instance, state.clock.monotonic())
    try:
        response = await state.link.call(
            owner.peers, "POST", ANNOUNCEMENT_PATH, encode_report(report), FORWARD_TIMEOUT
        )
    except LinkError as exc:
        state.log.write(Event.HANDOVER_FAILED, peer=owner.vm, cause=str(exc))
        return False
    return response.status == 200


def apply_and_log(state: SteeringState, report: InstanceReport) -> ReportOutcome:
    """Apply an announcement to the registry and log the result."""
    outcome = apply_report(state.board.registry, report, state.clock.monotonic())
    match outcome:
        case ReportOutcome.ADDED:
            state.log.write(
                Event.INSTANCE_ADDED,
                instance=report.instance,
                service=report.service,
                address=str(report.address),
                started_ms=report.started_ms,
                sequence=report.sequence,
            )
            review_queue(state, report.service)
        case ReportOutcome.LEFT:
            log_left(state, report.instance)
        case ReportOutcome.OUTDATED:
            state.log.write(
                Event.INSTANCE_OUTDATED,
                instance=report.instance,
                started_ms=report.started_ms,
                sequence=report.sequence,
            )
    return outcome


def log_left(state: SteeringState, name: str) -> None:
    """Log that a backend server has left."""
    state.log.write(Event.INSTANCE_LEFT, instance=name)


def process_forwarded_announcement(state: SteeringState, report: InstanceReport) -> None:
    """Handle an announcement that another VM forwarded."""
    apply_and_log(state, report)


def process_forwarded_departure(state: SteeringState, notice: DepartureNotice) -> int | None:
    """Stop sending to a backend server whose departure another VM forwarded.

    Returns:
        The start of the server as far as this VM knows it.
    """
    known_start = find_known_start(state, notice.instance)
    known_starts = [] if known_start is None else [known_start]
    now = state.clock.monotonic()
    apply_departure(state, resolve_departure(notice, known_starts, now, is_own=False))
    return known_start


def find_known_start(state: SteeringState, name: str) -> int | None:
    """Return the start of a backend server that is known here or has left, None if unknown."""
    known = state.board.registry.instances.get(name)
    if known is not None:
        return known.report.started_ms
    return find_departed_start(state.departures, name)


def apply_departure(state: SteeringState, departure: Departure) -> None:
    """Record a departure and stop sending to the backend server."""
    record_departure(state.departures, departure)
    if remove_departed(state.board.registry, departure):
        log_left(state, departure.instance)


async def process_departure(
    state: SteeringState, name: str, report: InstanceReport | None
) -> Accepted | NotAccepted:
    """Stop sending to a leaving backend server, here and on VMs that may still send to it.

    Another VM may have owned it until shortly before and may not know yet that it no longer does.
    """
    known: Instance | None = state.board.registry.instances.get(name)
    is_only_owner = known is not None and has_owned_for_lease(
        state.board.registry, known, state.clock.monotonic()
    )
    last_report = report or (known.report if known else None)
    start = report.started_ms if report else find_known_start(state, name)
    notice = DepartureNotice(name, start, unix_ms(state.clock))
    # If the lease of any other owner has ended, only borrowers in the region may send to it, and
    # their loans end in time without a message.
    peers = find_region_peers(state) if is_only_owner else find_senders(state, last_report)
    notifying = notify_entry_vms(state, peers, notice)
    if start is None:
        replies = await notifying
        starts = [reply.started_ms for reply in replies if reply.started_ms is not None]
        departure = resolve_departure(notice, starts, state.clock.monotonic())
        apply_departure(state, departure)
        is_replicated = await replicate_departure(state, departure)
    else:
        departure = resolve_departure(notice, [], state.clock.monotonic())
        apply_departure(state, departure)
        replies, is_replicated = await asyncio.gather(
            notifying, replicate_departure(state, departure)
        )
    if not is_only_owner and not all(reply.is_confirmed for reply in replies):
        return NotAccepted("another VM that may send to it didn't respond")
    return Accepted() if is_replicated else NotAccepted("too few VMs recorded the departure")


async def notify_entry_vms(
    state: SteeringState, peers: list[EntryVm], notice: DepartureNotice
) -> list[NoticeReply]:
    """Notify other entry VMs of a departure."""
    return await asyncio.gather(
        *(notify_departure(state.link, peer.peers, notice) for peer in peers)
    )


async def replicate_departure(state: SteeringState, departure: Departure) -> bool:
    """Let other VMs record a departure, which this one may lose; return True if enough did.

    A majority of the control VMs suffices: one of them passes it to each entry VM that is in
    contact with the control VMs. Without a majority every live entry VM has to confirm; they send
    it to the control VMs that return.
    """
    addresses = list(state.controls)
    now = state.clock.monotonic()
    recorded = await record_at_control_vms(state.link, addresses, departure, now)
    if recorded > len(addresses) // 2:
        return True
    notice = DepartureNotice(departure.instance, departure.started_ms, unix_ms(state.clock))
    replies = await notify_entry_vms(state, list_live_peers(state), notice)
    return bool(replies) and all(reply.is_confirmed for reply in replies)


def find_senders(state: SteeringState, report: InstanceReport | None) -> list[EntryVm]:
    """Return the other live VMs that may send to a backend server.

    Args:
        state: State of this VM.
        report: An announcement of the server, None if none is known.
    """
    live = list_live_peers(state)
    vms = [SenderVm(peer.vm, peer.region, peer.is_leaving, peer.first_alive) for peer in live]
    region = state.settings.regions.get(report.availability_zone) if report else None
    lease = state.board.registry.lease
    names = list_possible_senders(vms, region, lease, state.clock.monotonic())
    return [peer for peer in live if peer.vm in names or peer.region == state.board.region]


def find_region_peers(state: SteeringState) -> list[EntryVm]:
    """Return the other live VMs of this VM's region."""
    return [peer for peer in list_live_peers(state) if peer.region == state.board.region]


def list_live_peers(state: SteeringState) -> list[EntryVm]:
    """Return the other VMs that are alive."""
    now = state.clock.monotonic()
    return [peer for peer in state.board.peers.values() if now < peer.alive_until]


async def hand_over_instances(state: SteeringState) -> None:
    """Hand all owned backend servers over to other VMs before this one stops."""
    instances = list_owned_instances(state.board.registry)

    async def move(instance: Instance) -> None:
        owner = find_other_owner(state, instance.report)
        if owner is not None:
            await forward_to_owner(state, owner, instance.report)

    await asyncio.gather(*(move(instance) for instance in instances))
