"""One attempt of a catalogue request: at an endpoint of this VM or through another entry VM."""

from datetime import timedelta

import attrs
from returns.result import Failure, Success

from camphorspread.connection.access_key import ACCESS_KEY_HEADER
from camphorspread.connection.client import ClientConnection
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import Headers, RequestHead, has_body
from camphorspread.connection.network import Address
from camphorspread.process.endpoint_health import record_result
from camphorspread.process.endpoints import Endpoint, record_failure, record_refusal, record_success
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import VmRecord
from camphorspread.process.observer import observe_attempt, trace_headers
from camphorspread.request.admission import AdmissionRequest
from camphorspread.request.admission_driver import CallerLeftError, admit_request, release_slot
from camphorspread.request.candidates import Candidate, OtherVm, OwnEndpoints
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import (
    CALLER_REGION_HEADER,
    FORWARD_PREFIX,
    ONCE_CLAIMED_HEADER,
    make_forward_head,
)
from camphorspread.request.link_rate_limit import LinkRateLimiter, link_share
from camphorspread.request.once import OnceAttempt
from camphorspread.request.reachability import record_connect_failure
from camphorspread.request.reasons import Reason
from camphorspread.request.region_overflow import record_overflow
from camphorspread.request.relay import (
    BodyLimitPassed,
    CallerDisconnected,
    NoResponse,
    NotSent,
    OwnerRefused,
    Relayed,
    RelayResult,
    ResponseCut,
    UploadStalled,
    relay,
)
from camphorspread.request.resend import BodyProgress
from camphorspread.request.retry import AttemptFailure
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["AttemptHistory", "AttemptResult", "Failed", "SteeredRequest", "attempt_candidate"]


@attrs.frozen
class SteeredRequest:
    """A request with the inputs of its routing and retry decisions.

    Attributes:
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        deadline: Time by which the response must be sent.
        caller_region: Region of the caller.
        is_forwarded: True if another entry VM forwarded it to this one.
        once: Claim of its once key at this home VM, or None.
    """

    exchange: Exchange
    service: str
    target: bytes
    deadline: timedelta
    caller_region: str
    is_forwarded: bool
    once: OnceAttempt | None = None

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.exchange.head.method.decode("ascii", "replace")

    @property
    def path(self) -> str:
        """Path relative to the service, without the query."""
        return self.target.partition(b"?")[0].decode("ascii", "replace")


@attrs.frozen
class Failed:
    """The attempt failed before any part of a response was sent to the caller.

    Attributes:
        refusal: Error response for the caller if no other attempt follows.
        may_have_run: False only if no byte can have reached a backend server.
        is_final: True if trying another candidate would be of no use.
    """

    refusal: Refusal
    may_have_run: bool = False
    is_final: bool = False

    def as_attempt_failure(self, body: BodyProgress) -> AttemptFailure:
        """Return the failure as the input of the retry decision."""
        return AttemptFailure(self.refusal, self.may_have_run, body)


AttemptResult = (
    Failed | Relayed | ResponseCut | CallerDisconnected | UploadStalled | BodyLimitPassed
)


@attrs.define(eq=False)
class AttemptHistory:
    """Progress of one request over all its attempts.

    Attributes:
        endpoints: Names of the endpoints of this VM that were tried.
        vms: Names of the other VMs that were tried.
        has_own_refused: True once admission at this VM has refused the request.
        has_overflowed: True once it was sent to another region instead of waiting at this VM.
        is_sent: True once an attempt has at least begun to connect to the next hop.
        is_waiting: True while the request waits for a slot.
        may_have_run: True from the sending of a head until the attempt is known not to have run.
        failed: The failure reported to the caller unless an attempt succeeds.
    """

    endpoints: frozenset[str] = frozenset()
    vms: frozenset[str] = frozenset()
    has_own_refused: bool = False
    has_overflowed: bool = False
    is_sent: bool = False
    is_waiting: bool = False
    may_have_run: bool = False
    failed: Failed | None = None


async def attempt_candidate(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    candidate: Candidate,
) -> AttemptResult:
    """Attempt the request at one candidate."""
    match candidate:
        case OwnEndpoints(may_wait=may_wait):
            return await attempt_local(state, req, attempts, entry, may_wait)
        case OtherVm(record=record, reason=reason, is_overflow=is_overflow):
            attempts.vms |= {record.vm}
            if is_overflow:
                attempts.has_overflowed = True
                record_overflow(state.overflow, record.vm, req.service, state.clock.monotonic())
            state.log.write(
                Event.REQUEST_PASSED, service=req.service, to=record.vm, reason=reason.value
            )
            return await attempt_forward(state, req, attempts, entry, record, reason)


async def attempt_local(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    may_wait: bool,
) -> AttemptResult:
    """Acquire a slot of an endpoint of this VM and send the request to it."""
    state.next_ticket += 1
    admission_req = AdmissionRequest(
        state.next_ticket,
        req.service,
        entry.service_class,
        req.deadline,
        req.caller_region != state.fleet.own.region,
        attempts.endpoints,
    )
    attempts.is_waiting = True
    try:
        admitted = await admit_request(state, req.exchange, admission_req, may_wait)
    except CallerLeftError:
        return CallerDisconnected()
    attempts.is_waiting = False
    match admitted:
        case Failure(refusal):
            attempts.has_own_refused = True
            is_final = refusal.kind is ErrorKind.DEADLINE_TOO_SHORT
            return Failed(refusal, is_final=is_final)
        case Success(endpoint):
            return await send_and_release_slot(state, req, attempts, entry, endpoint)


async def send_and_release_slot(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    endpoint: Endpoint,
) -> AttemptResult:
    """Send the request to the endpoint, record the result and release the slot."""
    attempts.endpoints |= {endpoint.announcement.endpoint}
    started = state.clock.monotonic()
    ending: AttemptResult | None = None
    try:
        ending = await send_to_endpoint(state, req, attempts, entry, endpoint)
    finally:
        now = state.clock.monotonic()
        # An abort or a stall by the caller says nothing about the endpoint.
        if not isinstance(ending, CallerDisconnected | UploadStalled | BodyLimitPassed):
            is_failure = not isinstance(ending, Relayed)
            record_result(state.slots, endpoint, now - started, is_failure, now)
            if is_failure:
                record_failure(endpoint, now)
            else:
                record_success(endpoint, now)
        release_slot(state, endpoint)
    return ending


async def send_to_endpoint(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    endpoint: Endpoint,
) -> AttemptResult:
    """Connect to an endpoint and relay the request."""
    address = endpoint.announcement.address
    attempts.is_sent = True
    conn = await connect(state, address)
    if isinstance(conn, Failed):
        record_refusal(endpoint, state.clock.monotonic())
        return conn
    # The endpoint may have begun to leave, or its lease ended, while the connection was opened.
    if not endpoint.is_sendable(state.clock.monotonic()):
        state.pool.release_unused(conn)
        message = "the backend server is leaving"
        return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.LEAVING))
    announcement = endpoint.announcement
    with observe_attempt(
        state.observer,
        req.exchange,
        announcement.availability_zone,
        endpoint=announcement.endpoint,
        reason=Reason.RETRIED if attempts.failed else Reason.SAME_AVAILABILITY_ZONE,
    ):
        head = make_head(state, req, address, req.target)
        return await send(state, req, attempts, entry, conn, head, forwarded_to=None)


async def attempt_forward(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    record: VmRecord,
    reason: Reason,
) -> AttemptResult:
    """Forward the request to another entry VM, which admits or refuses it."""
    attempts.is_sent = True
    conn = await connect(state, record.peers)
    if isinstance(conn, Failed):
        record_connect_failure(state.connect_failures, record.vm, state.clock.monotonic())
        return conn
    extra: Headers = (
        (CALLER_REGION_HEADER, req.caller_region.encode()),
        (ACCESS_KEY_HEADER, state.link.access_key),
    )
    if req.once is not None:
        extra += ((ONCE_CLAIMED_HEADER, b"1"),)
    if has_body(req.exchange.head.headers):
        extra += ((b"expect", b"100-continue"),)
    target = FORWARD_PREFIX + req.service.encode() + req.target
    with observe_attempt(
        state.observer, req.exchange, record.availability_zone, vm=record.vm, reason=reason
    ):
        head = make_head(state, req, record.peers, target, extra)
        return await send(state, req, attempts, entry, conn, head, forwarded_to=record)


def make_head(
    state: EntryState,
    req: SteeredRequest,
    address: Address,
    target: bytes,
    extra: Headers = (),
) -> RequestHead:
    """Return the head for the next hop, with the time left until the deadline."""
    now = state.clock.monotonic()
    host = str(address).encode()
    extra += trace_headers(state.observer, req.exchange)
    return make_forward_head(req.exchange.head, target, host, req.deadline, now, extra)


async def connect(state: EntryState, address: Address) -> ClientConnection | Failed:
    """Return a connection, or a failure after which the request is known not to have run."""
    try:
        return await state.pool.acquire(address)
    except OSError as exc:
        state.log.write(Event.CONNECT_FAILED, address=str(address), cause=str(exc))
        message = "the next hop is unreachable"
        return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))


def make_link_rate_limiter(state: EntryState, target: VmRecord) -> LinkRateLimiter | None:
    """Return the rate limiter for a body sent to another region, None within the region."""
    region = state.settings.place.region
    entry = state.catalogue.find_region(region) if state.catalogue else None
    if entry is None or target.region == region:
        return None
    return LinkRateLimiter(state.link_bytes_window, link_share(entry), state.clock)


async def send(
    state: EntryState,
    req: SteeredRequest,
    attempts: AttemptHistory,
    entry: ServiceEntry,
    conn: ClientConnection,
    head: RequestHead,
    forwarded_to: VmRecord | None,
) -> AttemptResult:
    """Relay the request over a connection and classify the result."""
    may_have_run_before = attempts.may_have_run
    attempts.may_have_run = True
    recorder = req.once.recorder if req.once else None
    is_forward = forwarded_to is not None
    rate_limiter = make_link_rate_limiter(state, forwarded_to) if forwarded_to else None
    result = await relay(
        req.exchange, conn, head, entry.body_limit_bytes, is_forward, recorder, rate_limiter
    )
    if conn.is_reusable:
        state.pool.release(conn)
    ending = classify_result(state, req, result)
    if isinstance(ending, Failed) and not ending.may_have_run:
        attempts.may_have_run = may_have_run_before
    return ending


def classify_result(state: EntryState, req: SteeredRequest, result: RelayResult) -> AttemptResult:
    """Map the result of the relay to the result of the attempt."""
    match result:
        case NotSent(detail=detail):
            state.log.write(Event.CONNECT_FAILED, service=req.service, cause=detail)
            message = "the connection to the next hop was closed before the request was sent"
            return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))
        case OwnerRefused(refusal=refusal):
            is_final = refusal.kind is ErrorKind.DEADLINE_PASSED_IN_QUEUE
            return Failed(refusal, is_final=is_final)
        case NoResponse(detail=detail):
            state.log.write(Event.RESPONSE_CUT, service=req.service, cause=detail)
            message = "the backend server sent no response"
            return Failed(Refusal(ErrorKind.BACKEND_FAILED, message), may_have_run=True)
        case ending:
            return ending
