"""An entry VM's polls of all control VMs: the catalogue, the other entry VMs, and its own record.

Every control VM is polled, so that any of them can announce a change, and each of them detects for
itself which entry VMs are alive. The catalogue itself is fetched separately (`catalogue_fetch`).
"""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from returns.result import Failure, Result, Success

from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import decode_departures, encode_departures
from camphorspread.process.announcements import apply_departure
from camphorspread.process.catalogue_fetch import (
    CONFIRM_WAIT,
    fetch_catalogues,
    find_nearest,
    is_behind,
)
from camphorspread.process.departures import list_unsent
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.events import Event
from camphorspread.process.live_vms import hold_live_vms, record_listed_vms
from camphorspread.process.poll_times import poll_hold
from camphorspread.process.routes_in_force import put_in_force
from camphorspread.process.steering_state import RATE_WINDOW, ControlVm, SteeringState
from camphorspread.process.supervision import start_supervised
from camphorspread.process.vm_record_codec import decode_address, decode_vm, encode_vm
from camphorspread.request.window import count_recent
from camphorspread.version.routing import RouteTable

__all__ = ["TableDecoder", "notify_control_vms", "poll_control_vms"]

POLL_PATH = "/v1/vm/poll"
# Longer than a round trip between regions that loses a packet.
RESPONSE_TIMEOUT = timedelta(milliseconds=900)
RETRY_INTERVAL = timedelta(milliseconds=250)
# A control VM that has been silent for this long is no longer polled once it isn't listed.
SILENCE_LIMIT = timedelta(seconds=10)
# Random delay of the first poll of each control VM, so that responses don't arrive together.
MAX_START_DELAY_S = 0.15

MILLISECOND = timedelta(milliseconds=1)

TableDecoder = Callable[[str], Result[RouteTable, str]]


async def poll_control_vms(state: SteeringState, decode_table: TableDecoder) -> None:
    """Poll all known control VMs, and fetch the catalogues that they announce, until cancelled.

    Args:
        state: State of the entry VM.
        decode_table: Decodes the text of a routing document, which a control VM of an earlier
            version of the program sends, into a `Result` with its table.
    """
    for seed in state.settings.seeds:
        address = Address(seed.host, state.settings.control_peer_port)
        state.controls.setdefault(address, ControlVm(address))
    polls: dict[Address, asyncio.Task] = {}
    tasks = (
        start_supervised(partial(fetch_catalogues, state), "catalogue_fetch", state.log),
        start_supervised(partial(confirm_late_updates, state), "confirmations", state.log),
    )
    try:
        while True:
            for address in list(state.controls):
                task = polls.get(address)
                if task is None or task.done():
                    poll = partial(poll_control_vm, state, address, decode_table)
                    polls[address] = start_supervised(poll, f"poll of {address}", state.log)
            hold_live_vms(state, poll_hold(len(state.controls)), state.clock.monotonic())
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())
    finally:
        for task in (*tasks, *polls.values()):
            task.cancel()


async def poll_control_vm(
    state: SteeringState, address: Address, decode_table: TableDecoder
) -> None:
    """Poll one control VM until it is no longer listed."""
    await asyncio.sleep(state.rng.random() * MAX_START_DELAY_S)
    was_reachable = True
    while address in state.controls:
        control = state.controls[address]
        # A poll that isn't held measures the round trip.
        is_measured = control.round_trip is not None
        hold = poll_hold(len(state.controls)) if is_measured else timedelta(0)
        revision = state.departures.revision
        sent_at = state.clock.monotonic()
        try:
            response = await state.link.call(
                address,
                "POST",
                POLL_PATH,
                encode_poll(state, control, hold),
                hold + RESPONSE_TIMEOUT,
            )
        except LinkError as exc:
            if was_reachable:
                state.log.write(Event.CONTROL_LOST, control=str(address), cause=str(exc))
            was_reachable = False
            control.departures_sent = control.round_trip = None
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            continue
        if not was_reachable:
            state.log.write(Event.CONTROL_REGAINED, control=str(address))
        was_reachable = True
        if not is_measured:
            control.round_trip = state.clock.monotonic() - sent_at
        if response.status == 200:
            control.departures_sent = revision
        apply_poll_response(state, control, response.value, decode_table)
        await wait_for_update(state, CONFIRM_WAIT)


async def wait_for_update(state: SteeringState, limit: timedelta) -> None:
    """Wait until the newest catalogue that was announced is in force, so that a poll states it."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit.total_seconds()):
            while is_behind(state):
                await state.in_force.wait()


async def notify_control_vms(state: SteeringState) -> None:
    """Notify all control VMs at once that the record of this VM has changed."""

    async def notify(control: ControlVm) -> None:
        sent_at = state.clock.monotonic()
        value = encode_poll(state, control, timedelta(0))
        try:
            await state.link.call(control.peers, "POST", POLL_PATH, value, RESPONSE_TIMEOUT)
            measured = state.clock.monotonic() - sent_at
            # A message may wait for others on a slow link, which says nothing about the distance.
            control.round_trip = min(control.round_trip or measured, measured)
        except LinkError as exc:
            state.log.write(Event.CONTROL_LOST, control=str(control.peers), cause=str(exc))

    await asyncio.gather(*(notify(control) for control in list(state.controls.values())))


async def confirm_late_updates(state: SteeringState) -> None:
    """Tell the control VMs of catalogues that came too late for their polls, until cancelled."""
    while True:
        await state.confirmation_due.wait()
        state.confirmation_due.clear()
        await notify_control_vms(state)


def is_nearest(state: SteeringState, control: ControlVm) -> bool:
    """Return True if a control VM is the nearest one, or if none responded recently."""
    return find_nearest(state, state.clock.monotonic()) in (None, control)


def encode_poll(state: SteeringState, control: ControlVm, hold: timedelta) -> dict:
    """Return a poll: the record of this VM and the versions that it has."""
    place = state.settings.place
    own_record = EntryVm(
        place.vm,
        state.incarnation,
        place.availability_zone,
        place.region,
        state.role.callers,
        state.settings.peers,
        state.is_accepting,
        state.is_leaving,
        count_recent(state.arrivals, state.clock.monotonic()) / RATE_WINDOW.total_seconds(),
    )
    departures = list_unsent(state.departures, control.departures_sent)
    return {
        **encode_vm(own_record),
        "version": state.catalogue_version,
        "announced": state.announced_version,
        "is_nearest": is_nearest(state, control),
        # A control VM of an earlier version of the program sends the catalogue to these polls.
        "fetches": is_nearest(state, control),
        "fleet": control.fleet_list_version,
        "takes_changes": True,
        "departures": control.departure_version,
        "departed": encode_departures(departures, state.clock.monotonic()),
        "hold_ms": hold // MILLISECOND,
    }


def apply_poll_response(
    state: SteeringState, control: ControlVm, value: object, decode_table: TableDecoder
) -> None:
    """Apply the response of a control VM to a poll; malformed parts are ignored."""
    if not isinstance(value, dict):
        return
    now = state.clock.monotonic()
    control.last_response_at = now
    match value:
        case {"vms": list(vms), "controls": list(controls)}:
            control.fleet_list_version = str(value.get("fleet", ""))
            control.listed_vms = frozenset(apply_vm_list(state, vms, now))
            apply_control_list(state, controls)
        case {"changed": list(changed), "gone": list(gone)}:
            control.fleet_list_version = str(value.get("fleet", ""))
            names = frozenset(name for name in gone if isinstance(name, str))
            control.listed_vms = (control.listed_vms - names).union(
                apply_vm_list(state, changed, now)
            )
    record_listed_vms(state, control, now)
    match value.get("departures"):
        case {"version": str(version), "recorded": list(recorded)}:
            apply_recorded_departures(state, recorded, now)
            if is_other_process(control.departure_version, version):
                control.departures_sent = None
            control.departure_version = version
    if value.get("current") is True:
        state.confirmed_at = now
    announced = value.get("version")
    if type(announced) is int:
        control.catalogue_version = announced
        state.announce(announced, now)
    match value.get("catalogue"):
        case {"version": int(version), "routing": routing, "evacuated": list(zones)} if (
            version > state.catalogue_version and all(isinstance(zone, str) for zone in zones)
        ):
            apply_catalogue(state, version, routing, frozenset(zones), decode_table)


def is_other_process(known: str, stated: str) -> bool:
    """Return True if two versions of recorded departures are from different processes."""
    return bool(known) and known.partition(".")[0] != stated.partition(".")[0]


def apply_recorded_departures(state: SteeringState, values: list, now: timedelta) -> None:
    """Apply the departures that a control VM has recorded."""
    try:
        departures = decode_departures(values, now)
    except ValueError as exc:
        state.log.write(Event.ANNOUNCEMENT_REFUSED, instance="", cause=str(exc))
        return
    for departure in departures:
        apply_departure(state, departure)


def apply_vm_list(state: SteeringState, values: list, now: timedelta) -> list[str]:
    """Apply the list of live entry VMs; return their names."""
    names = []
    for value in values:
        record = decode_vm(value)
        if record is None or record.vm == state.settings.place.vm:
            continue
        names.append(record.vm)
        known = state.board.peers.get(record.vm)
        if known is None or known.incarnation != record.incarnation:
            record.first_alive = now
            state.board.peers[record.vm] = record
            log_vm(state, record)
        elif (known.is_accepting, known.is_leaving) != (record.is_accepting, record.is_leaving):
            known.is_accepting, known.is_leaving = record.is_accepting, record.is_leaving
            log_vm(state, known)
    return names


def log_vm(state: SteeringState, record: EntryVm) -> None:
    """Log that another entry VM appeared, or that it starts or stops accepting callers."""
    state.log.write(
        Event.ENTRY_VM_CHANGED,
        peer=record.vm,
        incarnation=record.incarnation,
        accepting=record.is_accepting,
    )


def apply_control_list(state: SteeringState, values: list) -> None:
    """Poll the control VMs that are members of the group, and no others."""
    listed = {address for value in values if (address := decode_address(value)) is not None}
    for address in listed:
        if address not in state.controls:
            state.controls[address] = ControlVm(address)
    if not listed:
        return
    now = state.clock.monotonic()
    for address, control in list(state.controls.items()):
        is_silent = (
            control.last_response_at is None or now - control.last_response_at > SILENCE_LIMIT
        )
        if address not in listed and is_silent and len(state.controls) > len(listed):
            del state.controls[address]


def apply_catalogue(
    state: SteeringState,
    version: int,
    routing: object,
    evacuated: frozenset[str],
    decode_table: TableDecoder,
) -> None:
    """Apply a newer catalogue that a control VM of an earlier version of the program sent whole.

    Args:
        state: State of the entry VM.
        version: Version of the catalogue.
        routing: JSON form of the routing document; None before the first one.
        evacuated: Evacuated availability zones.
        decode_table: Decodes the text of the routing document.
    """
    table: RouteTable | None = state.table
    match routing:
        case {"revision": int(revision), "text": str(text)}:
            if table is None or revision > table.revision:
                match decode_table(text):
                    case Success(decoded):
                        table = decoded
                    case Failure(fault):
                        state.log.write(Event.DOCUMENT_REFUSED, cause=fault)
                        return
        case None:
            pass
        case _:
            state.log.write(Event.DOCUMENT_REFUSED, cause="the routing document is malformed")
            return
    put_in_force(state, version, table, "", evacuated)
