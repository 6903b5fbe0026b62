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
    "ONCE_CLAIMED_HEADER",
    "ONCE_KEY_HEADER",
    "OUTCOME_HEADER",
    "PASS_PREFIX",
    "REASON_HEADER",
    "is_framed",
    "make_forward_head",
    "make_response_head",
    "read_refusal",
    "split_service",
]

PASS_PREFIX = b"/v1/pass/"
# Headers with this prefix are between own processes; only a once key comes from callers.
OWN_PREFIX = b"camphorspread-"
CALLER_REGION_HEADER = b"camphorspread-caller-region"
# Marks a request whose home passes it to the owner of slots; others go through the ledger.
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
REPLACED = HOP_BY_HOP | {b"host"}
BODYLESS_STATUSES = frozenset({204, 304})


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
        extra: Headers to add, in place of received ones with the same names.
    """
    time_left = (DEADLINE_HEADER, format_time_left(deadline, now))
    replaced = REPLACED | {name for name, _ in extra}
    kept = tuple(
        (name, value)
        for name, value in without_headers(head.headers, replaced)
        if name == ONCE_KEY_HEADER or not name.startswith(OWN_PREFIX)
    )
    return RequestHead(head.method, target, ((b"host", host), *kept, time_left, *extra))


def make_response_head(head: ResponseHead, is_own: bool = False) -> ResponseHead:
    """Return the head of a response for the previous hop.

    Args:
        head: Head as it was received.
        is_own: True if an entry VM sent it. A backend server mustn't speak in the name of the
            entry VM, least of all about whether a request ran.
    """
    kept = without_headers(head.headers, HOP_BY_HOP)
    if not is_own:
        kept = tuple(item for item in kept if not item[0].startswith(OWN_PREFIX))
    return ResponseHead(head.status, kept)


def read_refusal(head: ResponseHead) -> Refusal | None:
    """Return the refusal in an entry VM's response if it says that the request was not run."""
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
    """Return the service and the rest of a target below a prefix.

    Examples:
        >>> split_service(b"/s/status-svc?full=1", b"/s/")
        ('status-svc', b'/?full=1')
    """
    below = target.removeprefix(prefix)
    path, mark, query = below.partition(b"?")
    service, _, rest = path.partition(b"/")
    return service.decode("ascii", "replace"), b"/" + rest + mark + query
