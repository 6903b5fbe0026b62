"""One attempt of a steered request: at an own endpoint or through another entry VM."""

from datetime import timedelta

import attrs
from returns.result import Failure, Success

from camphorspread.connection.access_key import ACCESS_KEY_HEADER
from camphorspread.connection.client import ClientConnection
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import Headers, RequestHead, has_body
from camphorspread.connection.network import Address
from camphorspread.process.endpoints import Endpoint, record_failure, record_refusal, record_success
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import VmRecord
from camphorspread.process.observer import observe_attempt, trace_headers
from camphorspread.process.slots import record_result
from camphorspread.request.admission import AdmissionRequest
from camphorspread.request.admission_shell import CallerLeftError, admit_request, release_slot
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import (
    CALLER_REGION_HEADER,
    ONCE_CLAIMED_HEADER,
    PASS_PREFIX,
    make_forward_head,
)
from camphorspread.request.link_pace import LinkPacer, link_share
from camphorspread.request.once import OnceAttempt
from camphorspread.request.reasons import Reason
from camphorspread.request.relay import (
    BodyLimitPassed,
    CallerGone,
    NoResponse,
    NotSent,
    OwnerRefused,
    Relayed,
    RelayResult,
    ResponseCut,
    UploadStalled,
    relay,
)
from camphorspread.request.retry import AttemptFailure
from camphorspread.request.routing import Candidate, OtherVm, OwnEndpoints
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["Attempts", "Ending", "Failed", "SteeredRequest", "attempt_candidate"]


@attrs.frozen
class SteeredRequest:
    """A request with everything that its decisions need.

    Attributes:
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        deadline: Instant by which it must be answered.
        caller_region: Region of the caller.
        is_passed: True if another entry VM passed it here.
        once: The claim of its once key at this home, or None.
    """

    exchange: Exchange
    service: str
    target: bytes
    deadline: timedelta
    caller_region: str
    is_passed: bool
    once: OnceAttempt | None = None

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.exchange.head.method.decode("ascii", "replace")

    @property
    def path(self) -> str:
        """Path below the service, without the query."""
        return self.target.partition(b"?")[0].decode("ascii", "replace")


@attrs.frozen
class Failed:
    """The attempt gave the caller nothing yet.

    Attributes:
        refusal: What the caller gets if there is no further attempt.
        may_have_run: False only if no byte can have reached a backend server.
        is_final: True if no other candidate would do better.
    """

    refusal: Refusal
    may_have_run: bool = False
    is_final: bool = False

    def as_attempt_failure(self, is_body_read: bool) -> AttemptFailure:
        """Return the failure as the retry decision takes it."""
        return AttemptFailure(self.refusal, self.may_have_run, is_body_read)


Ending = Failed | Relayed | ResponseCut | CallerGone | UploadStalled | BodyLimitPassed


@attrs.define(eq=False)
class Attempts:
    """What one request has tried.

    Attributes:
        endpoints: Names of tried endpoints of this VM.
        vms: Names of tried other VMs.
        has_own_refused: True once this VM's own admission refused it.
        is_sent: True once an attempt left this VM, connecting included.
        is_waiting: True while it waits for a slot.
        may_have_run: True from the sending of a head until the attempt provably didn't run.
        failed: The failure that the caller hears of unless an attempt serves it.
    """

    endpoints: frozenset[str] = frozenset()
    vms: frozenset[str] = frozenset()
    has_own_refused: bool = False
    is_sent: bool = False
    is_waiting: bool = False
    may_have_run: bool = False
    failed: Failed | None = None


async def attempt_candidate(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    candidate: Candidate,
) -> Ending:
    """Try one candidate."""
    match candidate:
        case OwnEndpoints(may_wait=may_wait):
            return await attempt_own(state, req, attempts, entry, may_wait)
        case OtherVm(record=record, reason=reason):
            attempts.vms |= {record.vm}
            state.log.write(
                Event.REQUEST_PASSED, service=req.service, to=record.vm, reason=reason.value
            )
            return await attempt_pass(state, req, attempts, entry, record, reason)


async def attempt_own(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    may_wait: bool,
) -> Ending:
    """Take a slot of an own endpoint and send the request to it."""
    state.next_ticket += 1
    asked = AdmissionRequest(
        state.next_ticket,
        req.service,
        entry.service_class,
        req.deadline,
        req.caller_region != state.fleet.own.region,
        attempts.endpoints,
    )
    attempts.is_waiting = True
    try:
        admitted = await admit_request(state, req.exchange, asked, may_wait)
    except CallerLeftError:
        return CallerGone()
    attempts.is_waiting = False
    match admitted:
        case Failure(refusal):
            attempts.has_own_refused = True
            is_final = refusal.kind is ErrorKind.DEADLINE_TOO_SHORT
            return Failed(refusal, is_final=is_final)
        case Success(endpoint):
            return await use_slot(state, req, attempts, entry, endpoint)


async def use_slot(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    endpoint: Endpoint,
) -> Ending:
    """Send the request to an endpoint whose slot is taken, and give the slot back."""
    attempts.endpoints |= {endpoint.announcement.endpoint}
    began = state.clock.monotonic()
    ending: Ending | None = None
    try:
        ending = await send_to_endpoint(state, req, attempts, entry, endpoint)
    finally:
        now = state.clock.monotonic()
        # The caller, not the endpoint, is at fault when it leaves or stalls.
        if not isinstance(ending, CallerGone | UploadStalled | BodyLimitPassed):
            is_failure = not isinstance(ending, Relayed)
            record_result(state.slots, endpoint, now - began, is_failure, now)
            if is_failure:
                record_failure(endpoint, now)
            else:
                record_success(endpoint, now)
        release_slot(state, endpoint)
    return ending


async def send_to_endpoint(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    endpoint: Endpoint,
) -> Ending:
    """Connect to an endpoint and relay the request."""
    address = endpoint.announcement.address
    attempts.is_sent = True
    conn = await connect(state, address)
    if isinstance(conn, Failed):
        record_refusal(endpoint, state.clock.monotonic())
        return conn
    # It may have begun to leave, or its lease may have ended, while the connection was opened.
    if not endpoint.is_sendable(state.clock.monotonic()):
        state.pool.release_unused(conn)
        message = "the backend server is leaving"
        return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.LEAVING))
    announced = endpoint.announcement
    with observe_attempt(
        state.observer,
        req.exchange,
        announced.availability_zone,
        endpoint=announced.endpoint,
        reason=Reason.RETRIED if attempts.failed else Reason.SAME_AVAILABILITY_ZONE,
    ):
        head = make_head(state, req, address, req.target)
        return await send(state, req, attempts, entry, conn, head, passed_to=None)


async def attempt_pass(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    record: VmRecord,
    reason: Reason,
) -> Ending:
    """Pass the request to another entry VM, which admits or refuses it."""
    attempts.is_sent = True
    conn = await connect(state, record.peers)
    if isinstance(conn, Failed):
        return conn
    extra: Headers = (
        (CALLER_REGION_HEADER, req.caller_region.encode()),
        (ACCESS_KEY_HEADER, state.link.access_key),
    )
    if req.once is not None:
        extra += ((ONCE_CLAIMED_HEADER, b"1"),)
    if has_body(req.exchange.head.headers):
        extra += ((b"expect", b"100-continue"),)
    target = PASS_PREFIX + req.service.encode() + req.target
    with observe_attempt(
        state.observer, req.exchange, record.availability_zone, vm=record.vm, reason=reason
    ):
        head = make_head(state, req, record.peers, target, extra)
        return await send(state, req, attempts, entry, conn, head, passed_to=record)


def make_head(
    state: EntryState,
    req: SteeredRequest,
    address: Address,
    target: bytes,
    extra: Headers = (),
) -> RequestHead:
    """Return the head for the next hop with the time that is left now."""
    now = state.clock.monotonic()
    host = str(address).encode()
    extra += trace_headers(state.observer, req.exchange)
    return make_forward_head(req.exchange.head, target, host, req.deadline, now, extra)


async def connect(state: EntryState, address: Address) -> ClientConnection | Failed:
    """Return a connection, or a failure that is provably not run."""
    try:
        return await state.pool.acquire(address)
    except OSError as exc:
        state.log.write(Event.CONNECT_FAILED, address=str(address), cause=str(exc))
        message = "the next hop can't be reached"
        return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))


def find_pacer(state: EntryState, target: VmRecord) -> LinkPacer | None:
    """Return what paces a body on its way to another region, None within the region."""
    region = state.settings.place.region
    entry = state.catalogue.find_region(region) if state.catalogue else None
    if entry is None or target.region == region:
        return None
    return LinkPacer(state.link_window, link_share(entry), state.clock)


async def send(
    state: EntryState,
    req: SteeredRequest,
    attempts: Attempts,
    entry: ServiceEntry,
    conn: ClientConnection,
    head: RequestHead,
    passed_to: VmRecord | None,
) -> Ending:
    """Relay the request on a connection and classify the result."""
    may_have_run_before = attempts.may_have_run
    attempts.may_have_run = True
    recorder = req.once.recorder if req.once else None
    is_pass = passed_to is not None
    pacer = find_pacer(state, passed_to) if passed_to else None
    result = await relay(req.exchange, conn, head, entry.body_limit_bytes, is_pass, recorder, pacer)
    if conn.is_reusable:
        state.pool.release(conn)
    ending = classify(state, req, result)
    if isinstance(ending, Failed) and not ending.may_have_run:
        attempts.may_have_run = may_have_run_before
    return ending


def classify(state: EntryState, req: SteeredRequest, result: RelayResult) -> Ending:
    """Return the ending of an attempt from the result of its relay."""
    match result:
        case NotSent(detail=detail):
            state.log.write(Event.CONNECT_FAILED, service=req.service, cause=detail)
            message = "the connection to the next hop had ended"
            return Failed(Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT))
        case OwnerRefused(refusal=refusal):
            is_final = refusal.kind is ErrorKind.DEADLINE_PASSED_IN_QUEUE
            return Failed(refusal, is_final=is_final)
        case NoResponse(detail=detail):
            state.log.write(Event.RESPONSE_CUT, service=req.service, cause=detail)
            message = "the backend server gave no response"
            return Failed(Refusal(ErrorKind.BACKEND_FAILED, message), may_have_run=True)
        case ending:
            return ending
