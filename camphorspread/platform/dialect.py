"""The platform's headers on requests and responses."""

from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    find_header,
)
from camphorspread.request.dialect import ReplyFacts, SteeredCall
from camphorspread.request.errors import ErrorKind, Outcome, Refusal

__all__ = ["PlatformDialect"]

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
EXPECTED_INSTANCE = b"expected-instance"
NOT_EXECUTED = b"not-executed"
SERVER_LOAD = b"server-load"
RETRY_AFTER = b"retry-after"
OBJECT_COOKIE = "Affinity-Key"
MISDIRECTED = 421
# Of one connection only, or set anew for each hop.
UNFORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
        DEADLINE,
        EXPECTED_INSTANCE,
    }
)
OWN_PREFIX = b"camphorspread-"
MAX_DEADLINE_DIGITS = 9
# Statuses with which a client may be told that its request didn't run.
NOT_RUN_STATUS = 503
SERVER_ERROR = 500


@attrs.frozen
class PlatformDialect:
    """Decodes and encodes the heads of requests and responses."""

    def decode_call(self, head: RequestHead) -> Result[SteeredCall, Refusal]:
        """Decode a client's request."""
        host = request_id = cookie = b""
        time_left = None
        for name, value in head.headers:
            match name:
                case b"host":
                    host = value
                case b"request-id":
                    request_id = value
                case b"cookie":
                    cookie = value
                case b"deadline-ms":
                    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
                        message = "Deadline-Ms must be a whole number of milliseconds"
                        return Failure(Refusal(ErrorKind.MALFORMED_REQUEST, message))
                    time_left = timedelta(milliseconds=int(value))
        return Success(
            SteeredCall(
                head,
                host.decode("ascii", "replace"),
                head.target.decode("ascii", "replace"),
                request_id.decode("ascii", "replace"),
                find_object_key(cookie.decode("ascii", "replace")),
                time_left,
            )
        )

    def encode_send(self, call: SteeredCall, instance: str, time_left: timedelta) -> RequestHead:
        """Return the head for an endpoint."""
        named = find_connection_headers(call.head.headers)
        kept = tuple(
            item
            for item in call.head.headers
            if item[0] not in UNFORWARDED
            and item[0] not in named
            and not item[0].startswith(OWN_PREFIX)
        )
        left_ms = max(time_left // timedelta(milliseconds=1), 1)
        own = ((DEADLINE, b"%d" % left_ms), (EXPECTED_INSTANCE, instance.encode()))
        return attrs.evolve(call.head, headers=(*kept, *own))

    def decode_reply(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of an endpoint's response."""
        request_id = b""
        is_not_run = False
        requests = None
        for name, value in head.headers:
            if name == REQUEST_ID:
                request_id = value
            elif name == NOT_EXECUTED:
                is_not_run = True
            elif name == SERVER_LOAD:
                requests = count_requests(value)
        is_misdirected = head.status == MISDIRECTED
        return ReplyFacts(
            request_id.decode("ascii", "replace"),
            is_not_run or is_misdirected,
            is_misdirected,
            requests,
        )

    def encode_reply(self, head: ResponseHead) -> ResponseHead:
        """Return the head of an endpoint's response for the client."""
        named = find_connection_headers(head.headers)
        kept = tuple(
            item for item in head.headers if item[0] not in UNFORWARDED and item[0] not in named
        )
        return ResponseHead(head.status, kept)

    def encode_refusal(self, refusal: Refusal, return_after: timedelta | None) -> ResponseHead:
        """Return the head of an error response; its status must not promise too much."""
        response = refusal.response
        status = response.status
        if response.outcome is Outcome.NOT_RUN and status >= SERVER_ERROR:
            status = NOT_RUN_STATUS
        headers: Headers = ((b"content-type", b"text/plain"),)
        if return_after is not None:
            headers += ((RETRY_AFTER, b"%.2f" % return_after.total_seconds()),)
        return ResponseHead(status, headers)


def count_requests(load: bytes) -> int | None:
    """Return the running and waiting requests that a load header tells, None if it is malformed.

    Its third number is that of the slots.
    """
    match load.split(b","):
        case [running, waiting, _] if running.strip().isdigit() and waiting.strip().isdigit():
            return int(running) + int(waiting)
    return None


def find_object_key(cookies: str) -> str:
    """Return the object that the cookies name, empty if they name none."""
    for item in cookies.split(";"):
        name, _, value = item.strip().partition("=")
        if name == OBJECT_COOKIE:
            return value
    return ""


def find_connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the names of headers that concern one connection only."""
    value = find_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(item.strip().lower() for item in value.split(b","))
