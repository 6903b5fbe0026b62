"""Handles announcements of backend servers at an entry VM, or forwards them to the owner."""

import asyncio
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.announcement_codec import encode_leave, encode_report
from camphorspread.process.announcement_messages import (
    ANNOUNCEMENT_PATH,
    FORWARD_TIMEOUT,
    Accepted,
    NotAccepted,
    notify_departure,
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
    remove_instance,
    restart_ownership,
)
from camphorspread.process.owner_rank import rank_owners
from camphorspread.process.possible_senders import SenderVm, list_possible_senders
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.placement_driver import review_queue

__all__ = [
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


def process_forwarded_departure(
    state: SteeringState, name: str, order: tuple[int, int] | None
) -> None:
    """Stop sending to a backend server whose departure another VM forwarded."""
    if remove_instance(state.board.registry, name, state.clock.monotonic(), order):
        log_left(state, name)


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
    # The other VMs need the start of the server to reject its late announcements.
    order = last_report.departure_order if last_report else None
    if remove_instance(state.board.registry, name, state.clock.monotonic(), order):
        log_left(state, name)
    message = encode_leave(name, order)
    # If the lease of any other owner has ended, only borrowers in the region may send to it, and
    # their loans end in time without a message.
    peers = find_region_peers(state) if is_only_owner else find_senders(state, last_report)
    results = await asyncio.gather(
        *(notify_departure(state.link, peer.peers, message) for peer in peers)
    )
    if all(results) or is_only_owner:
        return Accepted()
    return NotAccepted("another VM that may send to it didn't respond")


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
