"""Once keys: idempotency keys that name the only VM that may run the request."""

import re
from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import ONCE_KEY_HEADER

__all__ = [
    "ONCE_KEY_HEADER",
    "HomeIdentity",
    "OnceKey",
    "format_once_key",
    "format_once_key_prefix",
    "parse_once_key",
]

NAME_PART = r"[A-Za-z0-9_-]{1,64}"
KEY_PATTERN = re.compile(
    rf"(?P<zone>{NAME_PART})\.(?P<vm>{NAME_PART})\.(?P<incarnation>[0-9a-f]{{1,16}})"
    rf"\.(?P<second>[0-9]{{1,10}})\.(?P<unique>{NAME_PART})"
)


@attrs.frozen
class HomeIdentity:
    """One incarnation of an entry VM, the home of the keys issued for it."""

    availability_zone: str
    vm: str
    incarnation: str


@attrs.frozen
class OnceKey:
    """A parsed once key.

    Attributes:
        home: The only incarnation that may run the request.
        issued: Time from the start of that incarnation until the prefix was issued.
        unique_id: Unique identifier chosen by the caller.
    """

    home: HomeIdentity
    issued: timedelta
    unique_id: str


def parse_once_key(header: bytes) -> Result[OnceKey, Refusal]:
    """Parse the value of `camphorspread-once-key`.

    Examples:
        >>> key = parse_once_key(b"sofia-a.sofia-a-1.00ff.17.fee-1").unwrap()
        >>> key.home.vm, key.issued.total_seconds()
        ('sofia-a-1', 17.0)
    """
    match = KEY_PATTERN.fullmatch(header.decode("latin-1"))
    if match is None:
        message = (
            f"{ONCE_KEY_HEADER.decode()} must be once_key_prefix from a lookup, a dot and "
            "a unique id of 1 to 64 letters, digits, '-' or '_'"
        )
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    home = HomeIdentity(match["zone"], match["vm"], match["incarnation"])
    return Success(OnceKey(home, timedelta(seconds=int(match["second"])), match["unique"]))


def format_once_key_prefix(home: HomeIdentity, uptime: timedelta) -> str:
    """Return the part of a key that precedes the caller's unique id.

    Args:
        home: Incarnation that will run the request.
        uptime: Time since the start of that incarnation.
    """
    second = int(uptime.total_seconds())
    return f"{home.availability_zone}.{home.vm}.{home.incarnation}.{second}"


def format_once_key(key: OnceKey) -> str:
    """Return the header value of a key."""
    return f"{format_once_key_prefix(key.home, key.issued)}.{key.unique_id}"
