"""Refuses messages from other processes in another major version of the format."""

from returns.result import Failure, Result, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import FORMAT_HEADER
from camphorspread.connection.messages import find_header
from camphorspread.process.events import Event, EventLog
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.format import FORMAT, FormatError, check_format

__all__ = ["check_message_format"]


def check_message_format(
    exchange: Exchange, log: EventLog, seen: set[tuple[str, str]]
) -> Result[None, Refusal]:
    """Check the version that a message states.

    Only requests are checked: a process of another version refuses them, so that no response of
    another version is ever decoded.

    Args:
        exchange: The exchange, whose access key was checked.
        log: Log of refusals, one for each host and version.
        seen: Hosts and versions that were refused before.
    """
    stated = find_header(exchange.head.headers, FORMAT_HEADER)
    given = None if stated is None else stated.decode("latin-1")
    try:
        check_format(int(given) if given is not None and given.isdecimal() else given)
    except FormatError as exc:
        if (exchange.peer.host, given) not in seen:
            seen.add((exchange.peer.host, given))
            log.write(Event.FORMAT_REFUSED, source=exchange.peer.host, given=given, read=FORMAT)
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
    return Success(None)
