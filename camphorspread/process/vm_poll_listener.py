"""Answers the polls of entry VMs at a control VM."""

import asyncio
import contextlib
from datetime import timedelta

from camphorspread.connection.disconnect import Disconnected, run_while_connected
from camphorspread.connection.exchange import Exchange
from camphorspread.process.announcement_codec import decode_departures, encode_departures
from camphorspread.process.control_departures import record_departures
from camphorspread.process.departures import list_departures
from camphorspread.process.steering_control import (
    SteeringControl,
    is_current,
    mark_dead,
    record_poll,
)
from camphorspread.process.vm_record_codec import decode_vm, encode_address, encode_vm
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["encode_poll_response", "list_change_delay", "serve_vm_poll"]

LONG_POLL_LIMIT = timedelta(seconds=2)
# Time for each entry VM within which changes of the list are reported together. A report makes each
# VM poll again, so that its cost grows with their number.
LIST_CHANGE_DELAY_STEP = timedelta(milliseconds=5)
MAX_LIST_CHANGE_DELAY = timedelta(milliseconds=500)


async def serve_vm_poll(steering: SteeringControl, exchange: Exchange) -> None:
    """Answer an entry VM's poll once there is an update, or after the hold time."""
    value = await exchange.read_json()
    record = decode_vm(value)
    hold = decode_hold(value)
    if record is None or hold is None or type(value.get("version")) is not int:
        message = "a poll needs the record of an entry VM, its catalogue version and a hold time"
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
        return
    try:
        departures = decode_departures(
            value.get("departed", []), steering.control.clock.monotonic()
        )
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    record_departures(steering, departures)
    record_poll(steering, record, hold, value["version"])
    if hold and not has_update(steering, value):
        waiting = wait_for_update(steering, value)
        if isinstance(await run_while_connected(waiting, exchange.stream, hold), Disconnected):
            mark_dead(steering, record)
            exchange.abort()
            return
    await exchange.respond_json(200, encode_poll_response(steering, value))


def decode_hold(poll: object) -> timedelta | None:
    """Return for how long a poll may be held; None if the poll is malformed."""
    match poll:
        case {"hold_ms": int(hold_ms)}:
            longest_ms = LONG_POLL_LIMIT // timedelta(milliseconds=1)
            return timedelta(milliseconds=min(max(hold_ms, 0), longest_ms))
        case dict():
            return timedelta(0)
        case _:
            return None


async def wait_for_update(steering: SteeringControl, poll: dict) -> None:
    """Wait until there is something that an entry VM's poll doesn't state.

    Changes of the list of entry VMs often come in groups, and each response to a poll costs all VMs
    processor time; a new catalogue isn't delayed.
    """
    while not has_update(steering, poll):
        await steering.control.poll_changed.wait()
    if not has_catalogue_update(steering, poll):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(list_change_delay(len(steering.vms)).total_seconds()):
                while not has_catalogue_update(steering, poll):
                    await steering.control.poll_changed.wait()


def list_change_delay(vms: int) -> timedelta:
    """Return the time within which changes of the list of entry VMs are reported together.

    Args:
        vms: Number of entry VMs, each of which polls.
    """
    return min(LIST_CHANGE_DELAY_STEP * vms, MAX_LIST_CHANGE_DELAY)


def has_update(steering: SteeringControl, poll: dict) -> bool:
    """Return True if a list of VMs or the catalogue is newer than an entry VM's poll states.

    In a poll, `version` is the catalogue version that the entry VM holds, and `announced` the
    newest one that it knows to exist. The entry VM fetches the catalogue separately, so that only a
    newer version number is an update. Its nearest control VM, for which `is_nearest` is True, also
    reports departures of backend servers at once.
    """
    is_list_known = poll.get("fleet") == steering.fleet_list_version
    if not is_list_known or has_catalogue_update(steering, poll):
        return True
    return reports_departures(poll) and has_departure_update(steering, poll)


def has_catalogue_update(steering: SteeringControl, poll: dict) -> bool:
    """Return True if the catalogue is newer than an entry VM's poll states."""
    known = poll["version"] if requests_catalogue(poll) else poll["announced"]
    return steering.control.catalogue.version > known


def has_departure_update(steering: SteeringControl, poll: dict) -> bool:
    """Return True if departures were recorded that an entry VM's poll doesn't state.

    An entry VM of an earlier version of the program doesn't ask for departures.
    """
    version = steering.departure_version
    return poll.get("departures", version) != version


def requests_catalogue(poll: dict) -> bool:
    """Return True if an entry VM requests the catalogue itself, not only its version.

    Only one of an earlier version of the program does, which doesn't state `is_nearest`.
    """
    if "is_nearest" in poll and type(poll.get("announced")) is int:
        return False
    return poll.get("fetches") is not False or type(poll.get("announced")) is not int


def reports_departures(poll: dict) -> bool:
    """Return True if this control VM reports departures to an entry VM at once."""
    return poll.get("is_nearest", poll.get("fetches")) is not False


def encode_poll_response(steering: SteeringControl, poll: dict) -> dict:
    """Return the response to a poll: what the entry VM doesn't have yet."""
    catalogue = steering.control.catalogue
    value: dict[str, object] = {
        "current": is_current(steering),
        "fleet": steering.fleet_list_version,
        "version": catalogue.version,
    }
    if poll.get("fleet") != steering.fleet_list_version:
        value |= encode_list_change(steering, poll)
    if has_departure_update(steering, poll):
        value["departures"] = encode_departure_change(steering, poll)
    if requests_catalogue(poll) and catalogue.version > poll["version"]:
        routing = catalogue.routing
        value["catalogue"] = {
            "version": catalogue.version,
            "routing": routing and {"revision": routing.revision, "text": routing.text},
            "evacuated": sorted(catalogue.evacuated_zones),
        }
    return value


def encode_list_change(steering: SteeringControl, poll: dict) -> dict[str, object]:
    """Return the entry VMs that changed since the list that a poll names, or else all of them.

    With dozens of entry VMs, the whole lists would fill slow links while VMs are restarted in turn.
    """
    revision = find_known_revision(steering, poll)
    if revision is not None:
        changed = [item for item in steering.vms.values() if item.revision > revision]
        return {
            "changed": [encode_vm(item.record) for item in changed if item.is_alive],
            "gone": [item.record.vm for item in changed if not item.is_alive],
        }
    return {
        "vms": [encode_vm(item.record) for item in steering.vms.values() if item.is_alive],
        "controls": [encode_address(member.peers) for member in steering.shell.state.members],
    }


def encode_departure_change(steering: SteeringControl, poll: dict) -> dict[str, object]:
    """Return the departures that were recorded since the version that a poll names, or else all."""
    incarnation, _, revision = str(poll["departures"]).partition(".")
    is_same_process = incarnation == steering.departure_version.partition(".")[0]
    known = int(revision) if is_same_process and revision.isdecimal() else 0
    now = steering.control.clock.monotonic()
    return {
        "version": steering.departure_version,
        "recorded": encode_departures(list_departures(steering.departures, known), now),
    }


def find_known_revision(steering: SteeringControl, poll: dict) -> int | None:
    """Return the revision of the list that an entry VM holds, None if it needs the whole list.

    An entry VM of an earlier version of the program doesn't ask for changes.
    """
    incarnation, _, rest = str(poll.get("fleet", "")).partition(".")
    revision, _, members = rest.partition(".")
    present_incarnation, _, present_rest = steering.fleet_list_version.partition(".")
    is_same_group = members == present_rest.partition(".")[2]
    if poll.get("takes_changes") is not True or not revision.isdigit() or not is_same_group:
        return None
    return int(revision) if incarnation == present_incarnation else None
