"""Sends the messages of the membership and updates the process's view of the fleet."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.endpoint_health import count_free_slots
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.process.liveness import HEARTBEAT_INTERVAL, list_records
from camphorspread.process.membership_codec import encode_digest, encode_heartbeat
from camphorspread.process.membership_exchange import (
    DigestArrived,
    Effect,
    FullSummaryRequested,
    HeartbeatArrived,
    MembershipEvent,
    SendDigest,
    SendHeartbeat,
    Tick,
    apply_event,
)
from camphorspread.process.offered import read_rates

__all__ = ["handle_membership_event", "run_membership"]


async def run_membership(state: EntryState) -> None:
    """Send heartbeats and summaries every 0.5 s until cancelled."""
    # Each message has its own task, so that an unresponsive VM doesn't delay the others.
    async with asyncio.TaskGroup() as group:
        while True:
            for effect in handle_membership_event(state, Tick(make_own_record(state))):
                group.create_task(execute_effect(state, effect))
            await asyncio.sleep(HEARTBEAT_INTERVAL.total_seconds())


def handle_membership_event(state: EntryState, event: MembershipEvent) -> list[Effect]:
    """Apply an event, update the view of the fleet and return the messages to send."""
    now = state.clock.monotonic()
    effects = apply_event(state.membership, event, now)
    match event:
        case Tick():
            update_fleet_view(state, state.membership.members, now)
        case HeartbeatArrived(stated=stated):
            update_fleet_view(state, {stated.record.vm}, now)
        case DigestArrived(summaries=summaries):
            stated = {item.record.vm for summary in summaries for item in summary.members}
            update_fleet_view(state, stated & set(state.membership.members), now)
    return effects


def update_fleet_view(state: EntryState, vms: Iterable[str], now: timedelta) -> None:
    """Update the records of these VMs in the view of the fleet and log state changes."""
    records = list_records(state.membership, sorted(vms), now)
    before = state.fleet.vms
    for vm, record in records.items():
        former = before[vm].state if vm in before else VmState.LOST
        if record.state is not former:
            state.log.write(Event.VM_STATE_CHANGED, about=vm, state=record.state.value)
    state.fleet = FleetView(state.settings.place.vm, {**before, **records})


def make_own_record(state: EntryState) -> VmRecord:
    """Return the current record of this VM."""
    place, settings = state.settings.place, state.settings
    now = state.clock.monotonic()
    free, total = {}, {}
    for service in sorted(state.registry.services):
        endpoints = state.registry.list_live(service, now)
        free[service] = sum(count_free_slots(item, now) for item in endpoints)
        total[service] = sum(item.announcement.slots for item in endpoints)
    return VmRecord(
        place.vm,
        place.availability_zone,
        place.region,
        settings.callers,
        settings.peers,
        state.incarnation,
        VmState.LEAVING if state.is_leaving else VmState.ALIVE,
        free_slots=free,
        total_slots=total,
        catalogue_version=state.catalogue.version if state.catalogue else 0,
        backend_servers=settings.backend_servers,
        offered_per_second=read_rates(state.offered, now),
        measured=now,
    )


async def execute_effect(state: EntryState, effect: Effect) -> None:
    """Send one message; an unresponsive VM is detected by its missing messages."""
    now = state.clock.monotonic()
    match effect:
        case SendHeartbeat(target=target, stated=stated):
            await send_message(state, target.peers, "heartbeat", encode_heartbeat(stated, now))
        case SendDigest(target=target, summaries=summaries):
            message = encode_digest(state.settings.place.vm, summaries, now)
            response = await send_message(state, target.peers, "summary", message)
            match response:
                case {"whole": [_, *_] as sources}:
                    event = FullSummaryRequested(target.vm, tuple(map(str, sources)))
                    for reply in handle_membership_event(state, event):
                        await execute_effect(state, reply)


async def send_message(state: EntryState, address: Address, kind: str, message: object) -> object:
    """Send a message and return the value of the response, None if the call failed."""
    try:
        response = await state.link.call(address, "POST", f"/v1/peer/{kind}", message)
    except LinkError:
        return None
    return response.value
