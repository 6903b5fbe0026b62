"""Request deadlines, sent from hop to hop as the remaining time."""

from datetime import timedelta

from returns.result import Failure, Result, Success

from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["DEADLINE_HEADER", "format_time_left", "parse_deadline", "time_left"]

DEADLINE_HEADER = b"camphorspread-deadline-ms"
MAX_DEADLINE_DIGITS = 9


def parse_deadline(
    header: bytes | None, now: timedelta, limit: timedelta
) -> Result[timedelta, Refusal]:
    """Return the deadline of the request as a monotonic time.

    Hops exchange the remaining time rather than a timestamp, so their clocks need not agree.

    Args:
        header: Value of `camphorspread-deadline-ms` in milliseconds, or None.
        now: Current monotonic time.
        limit: Longest time that the catalogue entry allows.

    Returns:
        The deadline, or a refusal if the header isn't a positive integer.

    Examples:
        >>> parse_deadline(b"250", timedelta(seconds=1), timedelta(seconds=10)).unwrap()
        datetime.timedelta(seconds=1, microseconds=250000)
    """
    if header is None:
        return Success(now + limit)
    if not header.isdigit() or len(header) > MAX_DEADLINE_DIGITS or int(header) == 0:
        message = f"{DEADLINE_HEADER.decode()} must be a positive integer of milliseconds"
        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
    return Success(now + min(limit, timedelta(milliseconds=int(header))))


def time_left(deadline: timedelta, now: timedelta) -> timedelta:
    """Return the time until the deadline, zero once it has passed."""
    return max(deadline - now, timedelta(0))


def format_time_left(deadline: timedelta, now: timedelta) -> bytes:
    """Return the header value for the next hop: the remaining milliseconds, at least 1."""
    milliseconds = time_left(deadline, now) // timedelta(milliseconds=1)
    return b"%d" % max(milliseconds, 1)
