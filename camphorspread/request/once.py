"""Serves requests with a once key: at the home VM of the key, or by forwarding them to it."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs
from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange, refuse_or_abort
from camphorspread.connection.messages import find_header
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import VmRecord, VmState
from camphorspread.process.ledger import (
    Claimed,
    ClaimResult,
    KeptResponse,
    OutcomeUnknown,
    Released,
    RequestShape,
    ResponseTooLarge,
    Running,
    claim_key,
    end_claim,
    make_result_refusal,
)
from camphorspread.request.deadline import DEADLINE_HEADER, parse_deadline
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.forwarding import ONCE_KEY_HEADER
from camphorspread.request.once_key import (
    HomeIdentity,
    OnceKey,
    format_once_key_prefix,
    parse_once_key,
)
from camphorspread.request.peer_forward import PeerForward, forward_request
from camphorspread.request.reasons import Reason
from camphorspread.request.recorder import ResponseRecorder
from camphorspread.request.relay import (
    BodyLimitPassed,
    NoResponse,
    NotSent,
    OwnerRefused,
    UploadStalled,
)
from camphorspread.version.catalogue import ServiceEntry, is_never_repeated

__all__ = [
    "OnceAttempt",
    "RunAttempt",
    "check_once_rule",
    "correct_outcome",
    "find_once_key_prefixes",
    "serve_at_home",
    "serve_with_once_key",
]

DEFAULT_TIME_LIMIT = timedelta(seconds=10)
DEFAULT_BODY_LIMIT_BYTES = 268435456
# Closing a connection with a small unread body resets it before the caller reads the response.
DISCARDED_BODY_BYTES = 65536


@attrs.define(eq=False)
class OnceAttempt:
    """A running request whose once key has been claimed.

    Attributes:
        recorder: Copy of the response.
        was_sent: True once a byte of the request may have reached a backend server.
        refusal: Refusal sent to the caller, or None.
    """

    recorder: ResponseRecorder = attrs.field(factory=ResponseRecorder)
    was_sent: bool = False
    refusal: Refusal | None = None


RunAttempt = Callable[[EntryState, Exchange, str, bytes, OnceAttempt], Awaitable[None]]


def check_once_rule(entry: ServiceEntry, method: str, path: str, has_key: bool) -> Refusal | None:
    """Return the refusal of a request that requires a once key and has none.

    The check is made before each attempt with the newest entry, so that a request that became
    "never repeated" while it was served isn't sent again.
    """
    if has_key or not is_never_repeated(entry, method, path):
        return None
    message = (
        f"this request runs at most once and requires the header {ONCE_KEY_HEADER.decode()}: take "
        f"once_key_prefix from GET /v1/lookup?service={entry.name} and append .<own unique id>"
    )
    return Refusal(ErrorKind.ONCE_KEY_REQUIRED, message)


def correct_outcome(attempt: OnceAttempt | None, refusal: Refusal) -> Refusal:
    """Replace the outcome "not run" by "unknown" if an earlier attempt may have been sent."""
    if attempt is None:
        return refusal
    if attempt.was_sent and refusal.response.outcome is Outcome.NOT_RUN:
        refusal = make_result_refusal(OutcomeUnknown())
    attempt.refusal = refusal
    return refusal


def find_once_key_prefixes(state: EntryState, vms: tuple[str, ...]) -> dict[str, str]:
    """Return the once key prefix of each VM whose incarnation is known, in the given order.

    The uptime of another VM is the last one received, so its prefix may be slightly outdated.
    """
    prefixes: dict[str, str] = {}
    for vm in vms:
        record = state.fleet.vms[vm]
        if vm == state.fleet.own_vm:
            uptime = state.clock.monotonic() - state.started
            prefixes[vm] = format_once_key_prefix(state.ledger.home, uptime)
        elif record.incarnation:
            home = HomeIdentity(record.availability_zone, vm, record.incarnation)
            uptime = timedelta(seconds=record.uptime_s)
            prefixes[vm] = format_once_key_prefix(home, uptime)
    return prefixes


async def serve_with_once_key(
    state: EntryState,
    exchange: Exchange,
    service: str,
    target: bytes,
    caller_region: str,
    run: RunAttempt,
) -> None:
    """Serve a caller's request with a once key, at this VM or through the home of the key.

    Args:
        state: State of the entry process.
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        caller_region: Region of the caller.
        run: Called to run the request once its key is claimed.
    """
    header = find_header(exchange.head.headers, ONCE_KEY_HEADER) or b""
    match parse_once_key(header):
        case Failure(refusal):
            await send_refusal(state, exchange, refusal)
        case Success(key) if is_served_here(state, key):
            await serve_at_home(state, exchange, service, target, run)
        case Success(key):
            await forward_to_home(state, exchange, service, target, caller_region, key)


def is_served_here(state: EntryState, key: OnceKey) -> bool:
    """Return True if this VM is the home of the key or has taken over the ledger of its home."""
    return key.home.vm == state.fleet.own_vm or key.home in state.ledger.taken_over_homes


def find_home_vm(state: EntryState, key: OnceKey) -> VmRecord | None:
    """Return the VM that holds the ledger entry of the key, or None if it is unknown or lost."""
    vm = state.successors.get(key.home, key.home.vm)
    record = state.fleet.vms.get(vm)
    return None if record is None or record.state is VmState.LOST else record


async def forward_to_home(
    state: EntryState,
    exchange: Exchange,
    service: str,
    target: bytes,
    caller_region: str,
    key: OnceKey,
) -> None:
    """Forward a request to its home VM; only the home can state that it wasn't run."""
    record = find_home_vm(state, key)
    if record is None:
        await refuse_unreachable(state, exchange, key, "the home VM is unknown or lost")
        return
    entry = state.catalogue.find_service(service) if state.catalogue else None
    limit = entry.body_limit_bytes if entry else DEFAULT_BODY_LIMIT_BYTES
    deadline = find_deadline(state, exchange, service)
    try:
        forward = PeerForward(exchange, service, target, caller_region, record, deadline, limit)
        async with asyncio.timeout((deadline - state.clock.monotonic()).total_seconds()):
            result = await forward_request(state, forward)
    except TimeoutError:
        # The connect timeout raises the same exception.
        await refuse_unreachable(state, exchange, key, "the request to the home VM timed out")
        return
    except OSError as exc:
        await refuse_unreachable(state, exchange, key, str(exc))
        return
    match result:
        case OwnerRefused(refusal=refusal):
            await send_refusal(state, exchange, refusal)
        case NoResponse(detail=detail) | NotSent(detail=detail):
            await refuse_unreachable(state, exchange, key, detail)
        case UploadStalled():
            refusal = Refusal(ErrorKind.UPLOAD_STALLED, "the upload of the request body stalled")
            await send_refusal(state, exchange, refusal)
        case BodyLimitPassed():
            refusal = Refusal(ErrorKind.BODY_LIMIT_PASSED, f"the body exceeds {limit} bytes")
            await send_refusal(state, exchange, refusal)
        case _ if not exchange.response_started:
            exchange.abort()


async def refuse_unreachable(
    state: EntryState, exchange: Exchange, key: OnceKey, cause: str
) -> None:
    """Refuse a request whose home VM, which knows the outcome, can't be reached."""
    state.log.write(Event.ONCE_HOME_UNREACHABLE, home=key.home.vm, cause=cause)
    message = f"the home VM of the once key, {key.home.vm}, is unreachable"
    refusal = Refusal(ErrorKind.ONCE_HOME_UNREACHABLE, message, Reason.ONCE_HOME)
    await send_refusal(state, exchange, refusal)


def find_deadline(state: EntryState, exchange: Exchange, service: str) -> timedelta:
    """Return the deadline of a request, or the default one if its header is malformed."""
    now = state.clock.monotonic()
    entry = state.catalogue.find_service(service) if state.catalogue else None
    limit = entry.request_time_limit if entry else DEFAULT_TIME_LIMIT
    header = find_header(exchange.head.headers, DEADLINE_HEADER)
    return parse_deadline(header, now, limit).value_or(now + limit)


async def serve_at_home(
    state: EntryState, exchange: Exchange, service: str, target: bytes, run: RunAttempt
) -> None:
    """Run a request with a once key, or answer it from the ledger.

    The ledger is consulted before any other check can refuse the request, because a "not run"
    refusal applies to all requests with the key.
    """
    match parse_once_key(find_header(exchange.head.headers, ONCE_KEY_HEADER) or b""):
        case Failure(refusal):
            await send_refusal(state, exchange, refusal)
            return
        case Success(key):
            shape = make_request_shape(exchange, service, target)
    match claim_key(state.ledger, key, shape, state.clock.monotonic()):
        case Claimed():
            await run_claimed(state, exchange, service, target, key, run)
        case Running():
            await wait_for_claim_result(state, exchange, service, key)
        case Refusal() as refusal:
            await send_refusal(state, exchange, refusal)
        case ending:
            await respond_to_repeat(state, exchange, ending)


def make_request_shape(exchange: Exchange, service: str, target: bytes) -> RequestShape:
    """Return the properties that must be equal in all requests with the same key."""
    headers = exchange.head.headers
    length = find_header(headers, b"content-length")
    if length is None and find_header(headers, b"transfer-encoding") is None:
        length = b"0"
    return RequestShape(
        service, exchange.head.method, target, None if length is None else int(length)
    )


async def run_claimed(
    state: EntryState,
    exchange: Exchange,
    service: str,
    target: bytes,
    key: OnceKey,
    run: RunAttempt,
) -> None:
    """Run a claimed request and record its result in the ledger, also after an exception."""
    attempt = OnceAttempt()
    ended: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
    state.running_keys[key] = ended
    try:
        await run(state, exchange, service, target, attempt)
    finally:
        ending = derive_claim_result(attempt)
        end_claim(state.ledger, key, ending)
        del state.running_keys[key]
        ended.set_result(ending)
        if isinstance(ending, OutcomeUnknown):
            state.log.write(Event.ONCE_OUTCOME_UNKNOWN, service=service, key=key.unique_id)


def derive_claim_result(attempt: OnceAttempt) -> ClaimResult:
    """Derive the result of a request from what was sent and received."""
    recorder = attempt.recorder
    if recorder.is_complete and recorder.head is not None:
        if recorder.is_too_large:
            return ResponseTooLarge()
        return KeptResponse(recorder.head, bytes(recorder.body))
    if attempt.was_sent:
        return OutcomeUnknown()
    refusal = attempt.refusal or Refusal(ErrorKind.OVERLOADED, "the request wasn't sent")
    return Released(refusal)


async def wait_for_claim_result(
    state: EntryState, exchange: Exchange, service: str, key: OnceKey
) -> None:
    """Answer a repeated request once the first one has ended, or at its own deadline.

    If the first request ends without having been sent, the repeat gets the same refusal: running
    it would contradict the "not run" that was reported to the first caller.
    """
    remaining = find_deadline(state, exchange, service) - state.clock.monotonic()
    try:
        async with asyncio.timeout(remaining.total_seconds()):
            ending = await asyncio.shield(state.running_keys[key])
    except TimeoutError:
        message = "the first request with this once key is still running"
        refusal = Refusal(ErrorKind.ONCE_IN_PROGRESS, message, Reason.ONCE_REPEAT)
        await send_refusal(state, exchange, refusal)
        return
    await respond_to_repeat(state, exchange, ending)


async def respond_to_repeat(state: EntryState, exchange: Exchange, ending: ClaimResult) -> None:
    """Send the result of the first request that the ledger holds."""
    match ending:
        case KeptResponse(head=head, body=body):
            await discard_body(exchange)
            await exchange.send_head(head)
            if body:
                await exchange.send_body(body)
            await exchange.finish()
        case other:
            await send_refusal(state, exchange, make_result_refusal(other))


async def send_refusal(state: EntryState, exchange: Exchange, refusal: Refusal) -> None:
    """Log a refusal and send it."""
    state.log.write(Event.REQUEST_REFUSED, kind=refusal.kind.value, reason=refusal.reason.value)
    if not exchange.response_started:
        await discard_body(exchange)
    await refuse_or_abort(exchange, refusal)


async def discard_body(exchange: Exchange) -> None:
    """Read and discard the remainder of a small body."""
    if exchange.has_whole_body:
        return
    length = find_header(exchange.head.headers, b"content-length")
    awaits_continue = exchange.state.they_are_waiting_for_100_continue
    if length is None or awaits_continue or int(length) > DISCARDED_BODY_BYTES:
        return
    while await exchange.read_body():
        pass
