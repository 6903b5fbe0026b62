"""Messages about announcements between control VMs and entry VMs, and their outcomes."""

from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address

__all__ = [
    "ANNOUNCEMENT_PATH",
    "FORWARD_TIMEOUT",
    "LEAVE_PATH",
    "Accepted",
    "NotAccepted",
    "notify_departure",
]

ANNOUNCEMENT_PATH = "/v1/entry/announcement"
LEAVE_PATH = "/v1/entry/leave"
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


async def notify_departure(link: JsonLink, address: Address, message: dict) -> bool:
    """Notify an entry VM that a backend server leaves; return True if it confirmed."""
    try:
        response = await link.call(address, "POST", LEAVE_PATH, message, FORWARD_TIMEOUT)
    except LinkError:
        return False  # The caller decides what an unanswered message means.
    return response.status == 200
