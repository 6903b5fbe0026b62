"""Heads of requests and responses as they are forwarded to the next hop."""

from datetime import timedelta

from camphorspread.connection.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    find_header,
    without_headers,
)
from camphorspread.request.deadline import DEADLINE_HEADER, format_time_left

__all__ = ["has_body", "is_framed", "make_forward_head", "make_response_head"]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
    }
)
REPLACED = HOP_BY_HOP | {DEADLINE_HEADER, b"traceparent", b"host"}
BODYLESS_STATUSES = frozenset({204, 304})


def has_body(headers: Headers) -> bool:
    """Return True if the headers announce a request body."""
    length = find_header(headers, b"content-length")
    return find_header(headers, b"transfer-encoding") is not None or length not in (None, b"0")


def is_framed(method: bytes, head: ResponseHead) -> bool:
    """Return True if the end of the response can be told from a broken connection.

    A response that ends with its connection looks complete after any reset, so it isn't accepted.
    """
    if method == b"HEAD" or head.status in BODYLESS_STATUSES:
        return True
    names = {name for name, _ in head.headers}
    return b"content-length" in names or b"transfer-encoding" in names


def make_forward_head(
    head: RequestHead,
    target: bytes,
    host: bytes,
    deadline: timedelta,
    now: timedelta,
    extra: Headers = (),
) -> RequestHead:
    """Return the head of a request for the next hop, with the time that is left.

    Args:
        head: Head as it was received.
        target: Path and query at the next hop.
        host: Value of the host header.
        deadline: Instant by which the request must be answered.
        now: Current instant.
        extra: Headers to add.
    """
    time_left = (DEADLINE_HEADER, format_time_left(deadline, now))
    kept = without_headers(head.headers, REPLACED)
    return RequestHead(head.method, target, ((b"host", host), *kept, time_left, *extra))


def make_response_head(head: ResponseHead) -> ResponseHead:
    """Return the head of a response for the previous hop."""
    return ResponseHead(head.status, without_headers(head.headers, HOP_BY_HOP))
