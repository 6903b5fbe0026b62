"""Headers of requests that one entry VM passes to another, and of the responses to them."""

import json
from datetime import timedelta

import attrs

from camphorspread.connection.messages import Headers, RequestHead, ResponseHead, find_header
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.forwarding import ERROR_HEADER, OUTCOME_HEADER

__all__ = [
    "PASS_HEADER",
    "PassFacts",
    "PassedRequest",
    "decode_pass",
    "decode_pass_facts",
    "encode_pass",
    "encode_pass_facts",
    "strip_own_headers",
]

PASS_HEADER = b"camphorspread-pass"
FACTS_HEADER = b"camphorspread-pass-facts"
OWN_PREFIX = b"camphorspread-"
MILLISECOND = timedelta(milliseconds=1)


@attrs.frozen
class PassedRequest:
    """What the VM that gets a passed request needs to know beside the request.

    Attributes:
        service: Service that it goes to.
        route: Name of its route.
        object_key: Object that it is about.
        rank: Order under overload.
        promised: Promised time of the route.
        promised_left: Time until which the response counts as on time; negative if that is over.
        time_left: Time until the response must be back.
        excluded: Backend servers that have failed it.
        home_regions: Regions that may run it; empty if all may. The VM that gets it may own servers
            of another region.
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


@attrs.frozen
class PassFacts:
    """What the other VM says of a passed request beside the response.

    Attributes:
        outcome: Whether the request ran.
        kind: Kind of the error; None with a backend server's response.
        sends: Backend servers that it was sent to.
        is_fast: True if the run took the time of one about a known object.
        free: Free slots that the other VM has left for the service.
        return_after: When a refused caller is likely to be served; None if that isn't known.
    """

    outcome: Outcome
    kind: ErrorKind | None = None
    sends: int = 1
    is_fast: bool = False
    free: int = 0
    return_after: timedelta | None = None


def encode_pass(head: RequestHead, passed: PassedRequest) -> RequestHead:
    """Return the head of a request for another entry VM."""
    value = {
        "service": passed.service,
        "route": passed.route,
        "object": passed.object_key,
        "rank": passed.rank,
        "promised_ms": passed.promised // MILLISECOND,
        "promised_left_ms": passed.promised_left // MILLISECOND,
        "left_ms": passed.time_left // MILLISECOND,
        "excluded": passed.excluded,
        "homes": passed.home_regions,
    }
    text = json.dumps(value, separators=(",", ":")).encode()
    return attrs.evolve(head, headers=(*strip_own_headers(head.headers), (PASS_HEADER, text)))


def decode_pass(head: RequestHead) -> PassedRequest:
    """Read what came with a passed request.

    Raises:
        ValueError: The header is missing or has another form.
    """
    try:
        value = json.loads(find_header(head.headers, PASS_HEADER) or b"")
        return PassedRequest(
            str(value["service"]),
            str(value["route"]),
            str(value["object"]),
            int(value["rank"]),
            value["promised_ms"] * MILLISECOND,
            value["promised_left_ms"] * MILLISECOND,
            value["left_ms"] * MILLISECOND,
            tuple(value["excluded"]),
            tuple(value["homes"]),
        )
    except (KeyError, TypeError, RecursionError) as exc:
        raise ValueError(f"{PASS_HEADER.decode()} has another form: {exc}") from exc


def encode_pass_facts(facts: PassFacts) -> Headers:
    """Return the headers for the response to a passed request."""
    value = {
        "sends": facts.sends,
        "fast": facts.is_fast,
        "free": facts.free,
        "return_ms": (None if facts.return_after is None else facts.return_after // MILLISECOND),
    }
    headers: Headers = (
        (FACTS_HEADER, json.dumps(value, separators=(",", ":")).encode()),
        (OUTCOME_HEADER, facts.outcome.value.encode()),
    )
    if facts.kind is not None:
        headers += ((ERROR_HEADER, facts.kind.value.encode()),)
    return headers


def decode_pass_facts(head: ResponseHead) -> PassFacts | None:
    """Read what the other VM says; None if the response isn't one of an entry VM."""
    try:
        value = json.loads(find_header(head.headers, FACTS_HEADER) or b"")
        outcome = Outcome((find_header(head.headers, OUTCOME_HEADER) or b"").decode())
        kind = find_header(head.headers, ERROR_HEADER)
        return_ms = value["return_ms"]
        return PassFacts(
            outcome,
            None if kind is None else ErrorKind(kind.decode()),
            int(value["sends"]),
            bool(value["fast"]),
            int(value["free"]),
            None if return_ms is None else return_ms * MILLISECOND,
        )
    except (KeyError, TypeError, ValueError):
        return None


def strip_own_headers(headers: Headers) -> Headers:
    """Return the headers without those between the project's own processes."""
    return tuple(item for item in headers if not item[0].startswith(OWN_PREFIX))


def make_refusal(facts: PassFacts, message: str) -> Refusal:
    """Return the refusal that the other VM gave."""
    return Refusal(facts.kind or ErrorKind.BACKEND_FAILED, message)
