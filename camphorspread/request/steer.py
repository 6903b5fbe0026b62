"""Serves one steered request: from the choice of an endpoint to the end of its response."""

from datetime import timedelta

import attrs
from returns.result import Failure, Success

from camphorspread.connection.client import ClientConnection
from camphorspread.connection.messages import find_header
from camphorspread.connection.server import Exchange, refuse_or_abort
from camphorspread.process.endpoints import Endpoint
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.observer import observe_attempt, trace_headers
from camphorspread.request.deadline import DEADLINE_HEADER, parse_deadline
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import make_forward_head
from camphorspread.request.relay import (
    BodyLimitPassed,
    CallerGone,
    NoResponse,
    Relayed,
    RelayResult,
    ResponseCut,
    UploadStalled,
    relay,
)
from camphorspread.request.routing import choose_endpoint
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["steer_request"]


@attrs.frozen
class SteeredRequest:
    """A request with everything that its decisions need.

    Attributes:
        exchange: The caller's exchange.
        entry: Catalogue entry of the service.
        target: Path and query at the backend server.
        deadline: Instant by which it must be answered.
    """

    exchange: Exchange
    entry: ServiceEntry
    target: bytes
    deadline: timedelta


async def steer_request(state: EntryState, exchange: Exchange, service: str, target: bytes) -> None:
    """Serve a request on `/s/SERVICE/PATH`.

    Args:
        state: State of the entry process.
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
    """
    catalogue = state.catalogue
    if catalogue is None:
        await exchange.refuse(Refusal(ErrorKind.NOT_READY, "this VM has no catalogue yet"))
        return
    entry = catalogue.find_service(service)
    if entry is None:
        message = f"the catalogue has no service {service!r}"
        await refuse(state, exchange, Refusal(ErrorKind.UNKNOWN_SERVICE, message))
        return
    now = state.clock.monotonic()
    header = find_header(exchange.head.headers, DEADLINE_HEADER)
    match parse_deadline(header, now, entry.request_time_limit):
        case Failure(refusal):
            await refuse(state, exchange, refusal)
        case Success(deadline):
            await serve(state, SteeredRequest(exchange, entry, target, deadline))


async def serve(state: EntryState, req: SteeredRequest) -> None:
    """Try endpoints until one of them takes the request."""
    excluded: frozenset[str] = frozenset()
    while True:
        now = state.clock.monotonic()
        match choose_endpoint(state.registry, req.entry.name, now, excluded):
            case Failure(refusal):
                await refuse(state, req.exchange, refusal)
                return
            case Success(endpoint):
                endpoint.in_use += 1
        try:
            conn = await connect(state, endpoint)
            if conn is not None:
                announced = endpoint.announcement
                with observe_attempt(
                    state.observer,
                    req.exchange,
                    announced.availability_zone,
                    endpoint=announced.endpoint,
                ):
                    await send(state, req, endpoint, conn)
                return
        finally:
            endpoint.in_use -= 1
        excluded |= {endpoint.announcement.endpoint}


async def connect(state: EntryState, endpoint: Endpoint) -> ClientConnection | None:
    """Return a connection to the endpoint, or None if it can't be reached."""
    try:
        return await state.pool.acquire(endpoint.announcement.address)
    except OSError as exc:
        state.log.write(
            Event.REQUEST_RETRIED, endpoint=endpoint.announcement.endpoint, cause=str(exc)
        )
        return None


async def send(
    state: EntryState, req: SteeredRequest, endpoint: Endpoint, conn: ClientConnection
) -> None:
    """Relay the request to the endpoint and answer the caller if the relay couldn't."""
    address = str(endpoint.announcement.address).encode()
    now = state.clock.monotonic()
    extra = trace_headers(state.observer, req.exchange)
    head = make_forward_head(req.exchange.head, req.target, address, req.deadline, now, extra)
    result = await relay(req.exchange, conn, head, req.entry.body_limit_bytes)
    if conn.is_reusable:
        state.pool.release(conn)
    await finish(state, req, result)


async def finish(state: EntryState, req: SteeredRequest, result: RelayResult) -> None:
    """Log how the relay ended and send the error response where one is owed."""
    service = req.entry.name
    match result:
        case Relayed(status=status):
            state.log.write(Event.REQUEST_SERVED, service=service, status=status)
        case NoResponse(detail=detail):
            message = "the backend server gave no response"
            state.log.write(Event.RESPONSE_CUT, service=service, cause=detail)
            await refuse(state, req.exchange, Refusal(ErrorKind.BACKEND_FAILED, message))
        case ResponseCut(detail=detail):
            state.log.write(Event.RESPONSE_CUT, service=service, cause=detail)
        case CallerGone():
            req.exchange.abort()
            state.log.write(Event.CALLER_GONE, service=service)
        case UploadStalled():
            message = "the body made no progress"
            await refuse(state, req.exchange, Refusal(ErrorKind.UPLOAD_STALLED, message))
        case BodyLimitPassed():
            message = f"the body is over {req.entry.body_limit_bytes} bytes"
            await refuse(state, req.exchange, Refusal(ErrorKind.BODY_LIMIT_PASSED, message))


async def refuse(state: EntryState, exchange: Exchange, refusal: Refusal) -> None:
    """Send a refusal, or reset the connection if a response has begun, and log it."""
    state.log.write(Event.REQUEST_REFUSED, kind=refusal.kind.value, reason=refusal.reason.value)
    await refuse_or_abort(exchange, refusal)
