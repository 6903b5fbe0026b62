"""Messages about announcements between control VMs and entry VMs, and their outcomes."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address
from camphorspread.process.announcement_codec import encode_departures, encode_leave
from camphorspread.process.departures import Departure, DepartureNotice

__all__ = [
    "ANNOUNCEMENT_PATH",
    "FORWARD_TIMEOUT",
    "LEAVE_PATH",
    "RECORD_PATH",
    "Accepted",
    "NotAccepted",
    "NoticeReply",
    "notify_departure",
    "record_at_control_vms",
]

ANNOUNCEMENT_PATH = "/v1/entry/announcement"
LEAVE_PATH = "/v1/entry/leave"
RECORD_PATH = "/v1/control/departures"
# A backend server waits a second for its response.
FORWARD_TIMEOUT = timedelta(milliseconds=450)


@attrs.frozen
class Accepted:
    """The announcement is accepted.

    Attributes:
        owner: Where later announcements should go; None for the present address.
    """

    owner: Address | None = None


@attrs.frozen
class NotAccepted:
    """The announcement can't be confirmed; the backend server asks another VM."""

    cause: str


@attrs.frozen
class NoticeReply:
    """Reply of an entry VM to the notice of a departure.

    Attributes:
        is_confirmed: True if the VM sends nothing more to the backend server.
        started_ms: Start of the backend server, if the VM knows it.
    """

    is_confirmed: bool
    started_ms: int | None = None


async def notify_departure(
    link: JsonLink, address: Address, notice: DepartureNotice
) -> NoticeReply:
    """Notify an entry VM that a backend server leaves."""
    try:
        response = await link.call(
            address, "POST", LEAVE_PATH, encode_leave(notice), FORWARD_TIMEOUT
        )
    except LinkError:
        return NoticeReply(False)  # The caller decides what an unanswered message means.
    match response.value:
        case {"started_ms": int(started_ms)} if response.status == 200:
            return NoticeReply(True, started_ms)
    return NoticeReply(response.status == 200)


async def record_at_control_vms(
    link: JsonLink, addresses: Iterable[Address], departure: Departure, now: timedelta
) -> int:
    """Record a departure at control VMs; return how many of them confirmed."""
    value = {"departures": encode_departures([departure], now)}

    async def record(address: Address) -> bool:
        try:
            response = await link.call(address, "POST", RECORD_PATH, value, FORWARD_TIMEOUT)
        except LinkError:
            return False
        return response.status == 200

    return sum(await asyncio.gather(*(record(address) for address in addresses)))
