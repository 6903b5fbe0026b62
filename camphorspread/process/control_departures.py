"""Departures of backend servers at a control VM: it tells the other VMs and keeps a record."""

import asyncio
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import decode_departures
from camphorspread.process.announcement_messages import (
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
    settle_departure,
)
from camphorspread.process.events import Event
from camphorspread.process.instances import InstanceReport
from camphorspread.process.possible_senders import SenderVm, list_possible_senders
from camphorspread.process.steering_control import ListedVm, SteeringControl, is_current
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["broadcast_departure", "record_departures", "serve_departures"]


def record_departures(steering: SteeringControl, departures: list[Departure]) -> None:
    """Record departures that another VM states, and wake the polls that pass them on."""
    recorded = [item for item in departures if record_departure(steering.departures, item)]
    for departure in recorded:
        steering.control.log.write(
            Event.DEPARTURE_RECORDED,
            instance=departure.instance,
            started_ms=departure.started_ms,
        )
    if recorded:
        steering.control.wake_polls()


async def serve_departures(steering: SteeringControl, exchange: Exchange) -> None:
    """Record departures that another VM has confirmed, or is about to."""
    match await exchange.read_json():
        case {"departures": values}:
            pass
        case _:
            values = None
    try:
        departures = decode_departures(values, steering.control.clock.monotonic())
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    record_departures(steering, departures)
    await exchange.respond_json(200, {})


def find_senders(steering: SteeringControl, region: str | None, lease: timedelta) -> list[ListedVm]:
    """Return the entry VMs that may send to a backend server of a region, dead ones included."""
    vms = [
        SenderVm(
            name,
            item.record.region,
            item.record.is_leaving,
            item.alive_since if item.is_alive else None,
        )
        for name, item in steering.vms.items()
    ]
    now = steering.control.clock.monotonic()
    return [steering.vms[name] for name in list_possible_senders(vms, region, lease, now)]


async def broadcast_departure(
    steering: SteeringControl, name: str, report: InstanceReport | None
) -> Accepted | NotAccepted:
    """Stop all entry VMs from sending to a backend server that leaves.

    `report` is None if the departure came without a valid report.

    Acceptance applies to the whole fleet, so each entry VM that may know the server must confirm,
    or must have been silent for longer than the lease of an announcement, and a majority of the
    control VMs must record the departure.
    """
    clock = steering.control.clock
    lease = steering.settings.bounds.announcement_lease
    if not is_current(steering) or clock.monotonic() - steering.started_at < lease:
        return NotAccepted("this control VM may not know all entry VMs")
    start = report.started_ms if report else None
    region = None
    if report is not None:
        region = steering.settings.regions.get(report.availability_zone)
    notice = DepartureNotice(name, start, unix_ms(clock))
    notifying = notify_senders(steering, find_senders(steering, region, lease), notice)
    if start is None:
        replies = await notifying
        starts = [reply.started_ms for reply in replies if reply.started_ms is not None]
        if not starts and (departed := find_departed_start(steering.departures, name)) is not None:
            starts = [departed]
        is_kept = await keep_departure(
            steering, settle_departure(notice, starts, clock.monotonic())
        )
    else:
        departure = settle_departure(notice, [], clock.monotonic())
        replies, is_kept = await asyncio.gather(notifying, keep_departure(steering, departure))
    if not all(reply.is_confirmed for reply in replies):
        return NotAccepted("an entry VM that may send to the backend server didn't confirm")
    return Accepted() if is_kept else NotAccepted("too few control VMs recorded the departure")


async def notify_senders(
    steering: SteeringControl, items: list[ListedVm], notice: DepartureNotice
) -> list[NoticeReply]:
    """Notify entry VMs of a departure; one that was silent for a lease needn't confirm."""
    clock = steering.control.clock
    lease = steering.settings.bounds.announcement_lease

    async def notify(item: ListedVm) -> NoticeReply:
        if not item.is_alive:
            return NoticeReply(clock.monotonic() - item.last_poll_at >= lease)
        return await notify_departure(steering.control.link, item.record.peers, notice)

    return await asyncio.gather(*(notify(item) for item in items))


async def keep_departure(steering: SteeringControl, departure: Departure) -> bool:
    """Record a departure here and at the other control VMs; return True if a majority did."""
    record_departures(steering, [departure])
    others = list_other_control_vms(steering)
    now = steering.control.clock.monotonic()
    recorded = 1 + await record_at_control_vms(steering.control.link, others, departure, now)
    return recorded > len(steering.shell.state.members) // 2


def list_other_control_vms(steering: SteeringControl) -> list[Address]:
    """Return the addresses of the other members of the group."""
    own = steering.settings.peers
    return [member.peers for member in steering.shell.state.members if member.peers != own]
