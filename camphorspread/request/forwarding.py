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
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.reasons import Reason

__all__ = [
    "CALLER_REGION_HEADER",
    "ERROR_HEADER",
    "FORWARD_PREFIX",
    "ONCE_CLAIMED_HEADER",
    "ONCE_KEY_HEADER",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "is_framed",
    "make_forward_head",
    "make_response_head",
    "read_refusal",
    "split_service",
]

FORWARD_PREFIX = b"/v1/pass/"
# Headers with this prefix are internal and dropped when forwarding, except a caller's once key.
OWN_PREFIX = b"camphorspread-"
CALLER_REGION_HEADER = b"camphorspread-caller-region"
# Marks a request that its home VM has claimed and forwards to the owner of the endpoints. Other
# keyed requests go through the ledger.
ONCE_CLAIMED_HEADER = b"camphorspread-once-claimed"
ONCE_KEY_HEADER = b"camphorspread-once-key"
ERROR_HEADER = b"camphorspread-error"
OUTCOME_HEADER = b"camphorspread-outcome"
REASON_HEADER = b"camphorspread-reason"

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
DROPPED_HEADERS = HOP_BY_HOP | {b"host"}
BODYLESS_STATUSES = frozenset({204, 304})


def is_framed(method: bytes, head: ResponseHead) -> bool:
    """Return True if a complete response can be distinguished from a truncated one.

    A response delimited only by the end of its connection looks complete after any reset, so it
    isn't accepted.
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
    """Return the head of a request for the next hop, with the remaining time.

    Args:
        head: Head as received.
        target: Path and query at the next hop.
        host: Value of the host header.
        deadline: Time by which the response must be sent.
        now: Current monotonic time.
        extra: Headers to add, which replace received ones with the same names.
    """
    time_left = (DEADLINE_HEADER, format_time_left(deadline, now))
    dropped_names = DROPPED_HEADERS | {name for name, _ in extra}
    forwarded = tuple(
        (name, value)
        for name, value in without_headers(head.headers, dropped_names)
        if name == ONCE_KEY_HEADER or not name.startswith(OWN_PREFIX)
    )
    return RequestHead(head.method, target, ((b"host", host), *forwarded, time_left, *extra))


def make_response_head(head: ResponseHead, is_own: bool = False) -> ResponseHead:
    """Return the head of a response for the previous hop.

    Args:
        head: Head as received.
        is_own: True if an entry VM sent it. Internal headers of a backend server are removed, as
            it must not state an outcome on behalf of the entry VM.
    """
    forwarded = without_headers(head.headers, HOP_BY_HOP)
    if not is_own:
        forwarded = tuple(item for item in forwarded if not item[0].startswith(OWN_PREFIX))
    return ResponseHead(head.status, forwarded)


def read_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal in an entry VM's response, or None unless its outcome is "not run"."""
    if find_header(head.headers, OUTCOME_HEADER) != Outcome.NOT_RUN.value.encode():
        return None
    kind = find_header(head.headers, ERROR_HEADER) or b""
    reason = find_header(head.headers, REASON_HEADER) or b""
    try:
        refusal = Refusal(
            ErrorKind(kind.decode("ascii", "replace")),
            "the owner of the endpoints refused the request",
            Reason(reason.decode("ascii", "replace")),
        )
    except ValueError:
        return None
    return refusal if refusal.response.outcome is Outcome.NOT_RUN else None


def split_service(target: bytes, prefix: bytes) -> tuple[str, bytes]:
    """Split a target below a prefix into the service and the remaining target.

    Examples:
        >>> split_service(b"/s/status-svc?full=1", b"/s/")
        ('status-svc', b'/?full=1')
    """
    remainder = target.removeprefix(prefix)
    path, separator, query = remainder.partition(b"?")
    service, _, rest = path.partition(b"/")
    return service.decode("ascii", "replace"), b"/" + rest + separator + query
