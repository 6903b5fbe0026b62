"""Departures of backend servers at a control VM: it tells the other VMs and keeps a record."""

import asyncio
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import (
    decode_departures,
    decode_report,
    encode_report,
)
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
    resolve_departure,
)
from camphorspread.process.events import Event
from camphorspread.process.instances import InstanceReport
from camphorspread.process.possible_senders import SenderVm, list_possible_senders
from camphorspread.process.steering_control import ListedVm, SteeringControl, is_current
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = [
    "CONFIRM_PATH",
    "broadcast_departure",
    "record_departures",
    "serve_confirmation",
    "serve_departures",
]

CONFIRM_PATH = "/v1/control/departure-confirmation"
# A backend server waits a second; the confirmation itself needs up to two forwards.
CONFIRM_TIMEOUT = timedelta(milliseconds=900)
# Each of them notifies all entry VMs that may send to the server.
MAX_CONFIRMING_VMS = 3


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

    A control VM that may not know the entry VMs yet lets another one confirm the departure.

    Args:
        steering: State of this control VM.
        name: Identifier of the backend server.
        report: Its last announcement; None if the departure came without a valid one.
    """
    if knows_entry_vms(steering):
        return await confirm_departure(steering, name, report)
    if await ask_other_control_vms(steering, name, report):
        return Accepted()
    if is_current(steering):
        return await confirm_departure(steering, name, report)
    return NotAccepted("this control VM may not know all entry VMs, and no other one confirmed")


def knows_entry_vms(steering: SteeringControl) -> bool:
    """Return True if all entry VMs in contact with the control VMs have polled this one."""
    uptime = steering.control.clock.monotonic() - steering.started_at
    lease = steering.settings.bounds.announcement_lease
    return is_current(steering) and uptime >= lease and bool(steering.vms)


async def ask_other_control_vms(
    steering: SteeringControl, name: str, report: InstanceReport | None
) -> bool:
    """Let some other control VMs confirm a departure; return True as soon as one has."""
    value = {"instance": name, "report": report and encode_report(report)}
    others = list_other_control_vms(steering)
    asked = steering.control.rng.sample(others, min(len(others), MAX_CONFIRMING_VMS))

    async def ask(address: Address) -> bool:
        try:
            response = await steering.control.link.call(
                address, "POST", CONFIRM_PATH, value, CONFIRM_TIMEOUT
            )
        except LinkError:
            return False
        return response.status == 200

    tasks = [asyncio.create_task(ask(item)) for item in asked]
    try:
        for task in asyncio.as_completed(tasks):
            if await task:
                return True
    finally:
        for task in tasks:
            task.cancel()
    return False


async def serve_confirmation(steering: SteeringControl, exchange: Exchange) -> None:
    """Confirm a departure that another control VM can't confirm."""
    try:
        match await exchange.read_json():
            case {"instance": str(name), "report": None}:
                report = None
            case {"instance": str(name), "report": value}:
                report = decode_report(value)
            case _:
                raise ValueError("the departure is malformed")
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    result: Accepted | NotAccepted = NotAccepted("this control VM may not know all entry VMs")
    if knows_entry_vms(steering):
        result = await confirm_departure(steering, name, report)
    match result:
        case Accepted():
            await exchange.respond_json(200, {})
        case NotAccepted(cause=cause):
            await exchange.respond_json(503, {"error": cause})


async def confirm_departure(
    steering: SteeringControl, name: str, report: InstanceReport | None
) -> Accepted | NotAccepted:
    """Stop the entry VMs that this control VM knows from sending to a backend server.

    Acceptance applies to the whole fleet, so each entry VM that may know the server must confirm,
    or must have been silent for longer than the lease of an announcement, and a majority of the
    control VMs must record the departure.
    """
    clock = steering.control.clock
    lease = steering.settings.bounds.announcement_lease
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
        is_replicated = await replicate_departure(
            steering, resolve_departure(notice, starts, clock.monotonic())
        )
    else:
        departure = resolve_departure(notice, [], clock.monotonic())
        replies, is_replicated = await asyncio.gather(
            notifying, replicate_departure(steering, departure)
        )
    if not all(reply.is_confirmed for reply in replies):
        return NotAccepted("an entry VM that may send to the backend server didn't confirm")
    return (
        Accepted() if is_replicated else NotAccepted("too few control VMs recorded the departure")
    )


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


async def replicate_departure(steering: SteeringControl, departure: Departure) -> bool:
    """Record a departure here and at the other control VMs; return True if a majority did."""
    record_departures(steering, [departure])
    others = list_other_control_vms(steering)
    now = steering.control.clock.monotonic()
    recorded = 1 + await record_at_control_vms(steering.control.link, others, departure, now)
    return recorded > len(steering.shell.state.members) // 2


def list_other_control_vms(steering: SteeringControl) -> list[Address]:
    """Return the addresses of the other members of the group, or the seeds if it has none yet."""
    settings = steering.settings
    addresses = [member.peers for member in steering.shell.state.members]
    if not addresses:
        addresses = [Address(seed.host, settings.control_peer_port) for seed in settings.seeds]
    return [address for address in addresses if address != settings.peers]
