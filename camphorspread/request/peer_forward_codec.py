"""Headers of requests forwarded from one entry VM to another, and of their responses."""

import json
from datetime import timedelta

import attrs

from camphorspread.connection.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    find_header,
    is_header_value,
)
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.forwarding import ERROR_HEADER, OUTCOME_HEADER

__all__ = [
    "FORWARD_HEADER",
    "ForwardMetadata",
    "ForwardResult",
    "LeavingServer",
    "decode_forward",
    "decode_forward_result",
    "encode_forward",
    "encode_forward_result",
    "strip_own_headers",
]

FORWARD_HEADER = b"camphorspread-pass"
FORWARD_RESULT_HEADER = b"camphorspread-pass-facts"
OWN_PREFIX = b"camphorspread-"
MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class ForwardMetadata:
    """Metadata that accompanies a request forwarded to another entry VM.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        object_key: Affinity key of the request.
        rank: Priority under overload.
        promised: Promised response time of the route.
        promised_left: Remaining time in which the response is on time, negative once it is late.
        time_left: Remaining time until the response must have arrived.
        excluded: Backend servers at which earlier attempts failed.
        home_regions: Regions that may run the request, empty if all may. They are checked again,
            as the receiving VM may own servers of another region.
        organisation: Name of the caller's organisation, empty for none.
        organisation_rank: Priority of the organisation.
        routes_revision: Revision of the routes against which the caller's key was checked.
    """

    service: str
    route: str
    object_key: str
    rank: int
    promised: timedelta
    promised_left: timedelta
    time_left: timedelta
    excluded: tuple[str, ...] = ()
    home_regions: tuple[str, ...] = ()
    organisation: str = ""
    organisation_rank: int = 0
    routes_revision: int = 0


@attrs.frozen
class LeavingServer:
    """A start of a backend server that has stated that it leaves."""

    instance: str
    started_ms: int


@attrs.frozen
class ForwardResult:
    """Metadata that accompanies the response to a forwarded request.

    Attributes:
        outcome: Whether the request ran.
        kind: Error kind, None with a backend server's response.
        sends: Number of sends to backend servers.
        is_fast: True if the run time was that of a warm run.
        free: Free slots of the service that remain at the responding VM.
        retry_after: Suggested delay before the caller retries, None if unknown.
        leaving: The backend server that got the request, if it leaves.
    """

    outcome: Outcome
    kind: ErrorKind | None = None
    sends: int = 1
    is_fast: bool = False
    free: int = 0
    retry_after: timedelta | None = None
    leaving: LeavingServer | None = None


def encode_forward(head: RequestHead, forward: ForwardMetadata) -> RequestHead:
    """Return the head of a request to be forwarded to another entry VM."""
    fields = {
        "service": forward.service,
        "route": forward.route,
        "object": forward.object_key,
        "rank": forward.rank,
        "promised_ms": forward.promised // MILLISECOND,
        "promised_left_ms": forward.promised_left // MILLISECOND,
        "left_ms": forward.time_left // MILLISECOND,
        "excluded": forward.excluded,
        "homes": forward.home_regions,
    }
    if forward.organisation:
        fields["organisation"] = forward.organisation
        fields["organisation_rank"] = forward.organisation_rank
        fields["routes_revision"] = forward.routes_revision
    encoded = json.dumps(fields, separators=(",", ":")).encode()
    return attrs.evolve(head, headers=(*strip_own_headers(head.headers), (FORWARD_HEADER, encoded)))


def decode_forward(head: RequestHead) -> ForwardMetadata:
    """Decode the metadata of a forwarded request.

    Raises:
        ValueError: The header is missing or malformed.
    """
    try:
        fields = json.loads(find_header(head.headers, FORWARD_HEADER) or b"")
        return ForwardMetadata(
            str(fields["service"]),
            str(fields["route"]),
            str(fields["object"]),
            int(fields["rank"]),
            fields["promised_ms"] * MILLISECOND,
            fields["promised_left_ms"] * MILLISECOND,
            fields["left_ms"] * MILLISECOND,
            tuple(fields["excluded"]),
            tuple(fields["homes"]),
            decode_organisation(fields),
            int(fields.get("organisation_rank", 0)),
            int(fields.get("routes_revision", 0)),
        )
    except (KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise ValueError(f"{FORWARD_HEADER.decode()} is malformed: {exc}") from exc


def decode_organisation(fields: dict) -> str:
    """Decode the name of the caller's organisation; it is optional.

    Raises:
        ValueError: The name can't be sent to a backend server.
    """
    name = fields.get("organisation", "")
    if name != "" and not (isinstance(name, str) and is_header_value(name)):
        raise ValueError(f"{FORWARD_HEADER.decode()} has no valid organisation")
    return name


def encode_forward_result(facts: ForwardResult) -> Headers:
    """Return the headers for the response to a forwarded request."""
    fields = {
        "sends": facts.sends,
        "fast": facts.is_fast,
        "free": facts.free,
        "return_ms": (None if facts.retry_after is None else facts.retry_after // MILLISECOND),
    }
    if facts.leaving is not None:
        fields["leaving"] = [facts.leaving.instance, facts.leaving.started_ms]
    headers: Headers = (
        (FORWARD_RESULT_HEADER, json.dumps(fields, separators=(",", ":")).encode()),
        (OUTCOME_HEADER, facts.outcome.value.encode()),
    )
    if facts.kind is not None:
        headers += ((ERROR_HEADER, facts.kind.value.encode()),)
    return headers


def decode_forward_result(head: ResponseHead) -> ForwardResult | None:
    """Decode the metadata of a response, or return None if no entry VM sent it."""
    try:
        fields = json.loads(find_header(head.headers, FORWARD_RESULT_HEADER) or b"")
        outcome = Outcome((find_header(head.headers, OUTCOME_HEADER) or b"").decode())
        kind = find_header(head.headers, ERROR_HEADER)
        return_ms = fields["return_ms"]
        return ForwardResult(
            outcome,
            None if kind is None else ErrorKind(kind.decode()),
            int(fields["sends"]),
            bool(fields["fast"]),
            int(fields["free"]),
            None if return_ms is None else return_ms * MILLISECOND,
            decode_leaving(fields.get("leaving")),
        )
    except (KeyError, TypeError, ValueError, OverflowError, RecursionError):
        return None


def decode_leaving(value: object) -> LeavingServer | None:
    """Decode the server that leaves, None if there is none; it is optional."""
    match value:
        case [str(instance), int(started_ms)]:
            return LeavingServer(instance, started_ms)
    return None


def strip_own_headers(headers: Headers) -> Headers:
    """Return the headers without the internal ones of the fleet."""
    return tuple(item for item in headers if not item[0].startswith(OWN_PREFIX))


def make_refusal(facts: ForwardResult, message: str) -> Refusal:
    """Return the refusal that the other VM reported."""
    return Refusal(facts.kind or ErrorKind.BACKEND_FAILED, message)
