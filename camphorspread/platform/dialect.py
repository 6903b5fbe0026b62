"""The platform's headers on requests and responses."""

import contextlib
import re
from collections.abc import Callable
from datetime import timedelta

import attrs
from returns.result import Failure, Result, Success

from camphorspread.connection.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    find_header,
)
from camphorspread.request.dialect import (
    Credential,
    DepartureStatement,
    KeyCredential,
    Leaving,
    Limited,
    LoadStated,
    LoadStatement,
    LoadUnstated,
    MalformedCredential,
    NoCredential,
    RateStatement,
    ReplyFacts,
    Staying,
    SteeredCall,
    Unlimited,
    Unreadable,
)
from camphorspread.request.errors import ErrorKind, Outcome, Refusal

__all__ = ["PlatformDialect"]

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
EXPECTED_INSTANCE = b"expected-instance"
NOT_EXECUTED = b"not-executed"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
WWW_AUTHENTICATE = b"www-authenticate"
TENANT = b"tenant"
KEY_SCHEME = b"token"
AFFINITY_COOKIE = "Affinity-Key"
MISDIRECTED_STATUS = 421
# Hop-by-hop headers, and headers that are set anew for each hop.
NOT_FORWARDED_HEADERS = frozenset(
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
INTERNAL_HEADER_PREFIX = b"camphorspread-"
MAX_DEADLINE_DIGITS = 9
# Credentials with the scheme of keys, also in a list with others.
KEY_HEADER_PATTERN = re.compile(rb"(^|,)\s*token", re.IGNORECASE)
# Parts of other credentials that may be a key, sent with the wrong scheme.
AUTHORIZATION_WORD = re.compile(rb'[^\s,"]+')
# Requests per second, or a speed: a decimal number without sign or exponent, of a bounded size.
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
MAX_LOAD_DIGITS = 9
# The speed that a server states while work takes as long as usual.
NORMAL_SPEED = 100
SECONDS_PATTERN = re.compile(rb"[0-9]{1,32}(\.[0-9]{0,32})?|\.[0-9]{1,32}")
# A longer pause would keep a server idle for good if its statement is wrong.
MAX_PAUSE_S = 3600.0
# Part of an unreadable header that is logged.
MAX_LOGGED_BYTES = 64
# The only server error that assures a client that its request didn't run.
NOT_RUN_STATUS = 503
FIRST_SERVER_ERROR_STATUS = 500


@attrs.frozen
class PlatformDialect:
    """Decodes and encodes the heads of requests and responses."""

    def decode_request(self, head: RequestHead) -> Result[SteeredCall, Refusal]:
        """Decode a client's request."""
        host = request_id = cookie = b""
        time_left = None
        authorizations = []
        for name, value in head.headers:
            match name:
                case b"authorization":
                    authorizations.append(value)
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
                find_affinity_key(cookie.decode("ascii", "replace")),
                time_left,
                decode_credential(authorizations),
            )
        )

    def identify_call(
        self, call: SteeredCall, organisation: str, is_key: Callable[[str], bool]
    ) -> SteeredCall:
        """Return a request without its key and without a caller's claim to an organisation."""
        headers = tuple(item for item in call.head.headers if not is_identity_header(*item, is_key))
        head = attrs.evolve(call.head, headers=headers)
        return attrs.evolve(call, head=head, credential=NoCredential(), organisation=organisation)

    def encode_request(self, call: SteeredCall, instance: str, time_left: timedelta) -> RequestHead:
        """Return the request head that is forwarded to an endpoint."""
        hop_headers = find_connection_headers(call.head.headers)
        forwarded = tuple(
            item
            for item in call.head.headers
            if item[0] not in NOT_FORWARDED_HEADERS
            and item[0] not in hop_headers
            and not item[0].startswith(INTERNAL_HEADER_PREFIX)
        )
        left_ms = max(time_left // timedelta(milliseconds=1), 1)
        own: Headers = ((DEADLINE, b"%d" % left_ms), (EXPECTED_INSTANCE, instance.encode()))
        if call.organisation:
            # Added after the filters, so that `Connection: Tenant` of the caller can't remove it.
            own += ((TENANT, call.organisation.encode()),)
        return attrs.evolve(call.head, headers=(*forwarded, *own))

    def decode_response(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of an endpoint's response."""
        request_id = b""
        is_not_run = False
        load: LoadStatement = LoadUnstated()
        limits, departures, pauses = [], [], []
        for name, value in head.headers:
            if name == REQUEST_ID:
                request_id = value
            elif name == NOT_EXECUTED:
                is_not_run = True
            elif name == RETRY_AFTER:
                pauses.append(value)
            elif name == SERVER_LOAD:
                load = parse_server_load(value)
            elif name == SERVER_LIMIT:
                limits.append(value)
            elif name == SERVER_LEAVING:
                departures.append(value)
        is_misdirected = head.status == MISDIRECTED_STATUS
        return ReplyFacts(
            request_id.decode("ascii", "replace"),
            is_not_run or is_misdirected,
            is_misdirected,
            load,
            parse_rate_limit(limits),
            parse_departure(departures),
            parse_pause(pauses) if is_not_run and head.status == NOT_RUN_STATUS else None,
        )

    def encode_response(self, head: ResponseHead) -> ResponseHead:
        """Return the response head that is forwarded to the client."""
        hop_headers = find_connection_headers(head.headers)
        forwarded = tuple(
            item
            for item in head.headers
            if item[0] not in NOT_FORWARDED_HEADERS and item[0] not in hop_headers
        )
        return ResponseHead(head.status, forwarded)

    def encode_refusal(self, refusal: Refusal, retry_after: timedelta | None) -> ResponseHead:
        """Return the head of an error response.

        A request that is known not to have run gets status 503 instead of another server error.
        Every other server error leaves open whether the request ran.
        """
        response = refusal.response
        status = response.status
        if response.outcome is Outcome.NOT_RUN and status >= FIRST_SERVER_ERROR_STATUS:
            status = NOT_RUN_STATUS
        headers: Headers = ((b"content-type", b"text/plain"),)
        if retry_after is not None:
            headers += ((RETRY_AFTER, b"%.2f" % retry_after.total_seconds()),)
        if refusal.kind is ErrorKind.KEY_REFUSED:
            headers += ((WWW_AUTHENTICATE, b"Token"),)
        return ResponseHead(status, headers)


def decode_credential(values: list[bytes]) -> Credential:
    """Return the credential in the authorization headers, of which there should be one at most."""
    match values:
        case []:
            return NoCredential()
        case [value]:
            match value.split():
                case [scheme, key] if scheme.lower() == KEY_SCHEME:
                    with contextlib.suppress(UnicodeDecodeError):
                        return KeyCredential(key.decode())
    return MalformedCredential()


def is_identity_header(name: bytes, value: bytes, is_key: Callable[[str], bool]) -> bool:
    """Return True if a header names an organisation or carries a key, in whatever form.

    Args:
        name: Name of the header.
        value: Its value.
        is_key: Returns True if a text is the key of an organisation.
    """
    match name.lower():
        case b"tenant":
            return True
        case b"authorization":
            words = AUTHORIZATION_WORD.findall(value)
            return KEY_HEADER_PATTERN.search(value) is not None or any(
                is_key(word.decode("utf-8", "replace")) for word in words
            )
    return False


def parse_server_load(load: bytes) -> LoadStatement:
    """Return the statement of a load header.

    Its values are the running and waiting requests, the slots and optionally the speed in percent;
    further ones are ignored. The slots are those that the server announces, so they aren't checked.
    """
    parts = [item.strip() for item in load.split(b",")]
    match parts:
        case [running, waiting, slots, *more] if is_count(running) and is_count(waiting):
            speed = parse_speed(more[0]) if more else None
            if not more or speed is not None:
                stated_slots = int(slots) if is_count(slots) else 0
                return LoadStated(int(running), int(waiting), stated_slots, speed)
    return make_unreadable([load])


def is_count(value: bytes) -> bool:
    """Return True if a value is a whole number of a bounded size."""
    return value.isdigit() and len(value) <= MAX_LOAD_DIGITS


def parse_speed(value: bytes) -> float | None:
    """Return the speed that a server states, 1.0 for the usual one, None if it can't be read."""
    return float(value) / NORMAL_SPEED if DECIMAL_PATTERN.fullmatch(value) else None


def parse_pause(values: list[bytes]) -> timedelta | None:
    """Return the longest stated pause, None if none is stated in seconds; other forms are valid."""
    stripped = [value.strip() for value in values]
    seconds = [float(value) for value in stripped if SECONDS_PATTERN.fullmatch(value)]
    longest = min(max(seconds, default=0.0), MAX_PAUSE_S)
    return timedelta(seconds=longest) or None


def parse_rate_limit(values: list[bytes]) -> RateStatement:
    """Return the statement of an endpoint's limit headers, of which there should be one at most."""
    match values:
        case []:
            return Unlimited()
        case [value] if DECIMAL_PATTERN.fullmatch(value.strip()):
            return Limited(float(value))
    return make_unreadable(values)


def parse_departure(values: list[bytes]) -> DepartureStatement:
    """Return the statement of an endpoint's headers on its departure; the only value is `1`."""
    if not values:
        return Staying()
    if all(value.strip() == b"1" for value in values):
        return Leaving()
    return make_unreadable(values)


def make_unreadable(values: list[bytes]) -> Unreadable:
    """Return the statement of headers that can't be read."""
    return Unreadable(b", ".join(values)[:MAX_LOGGED_BYTES].decode("ascii", "replace"))


def find_affinity_key(cookies: str) -> str:
    """Return the value of the affinity cookie, empty if there is none."""
    for item in cookies.split(";"):
        name, _, value = item.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return ""


def find_connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the header names that the connection header lists as hop-by-hop."""
    value = find_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(item.strip().lower() for item in value.split(b","))
