"""Serves one catalogue request: checks, attempts at candidates, retries and the response."""

import asyncio
from functools import partial

import attrs
from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange, refuse_or_abort
from camphorspread.connection.messages import find_header
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.offered import record_offered
from camphorspread.process.region_share import compute_limits
from camphorspread.request.admission import estimate_wait
from camphorspread.request.attempt import (
    AttemptHistory,
    AttemptResult,
    Failed,
    SteeredRequest,
    attempt_candidate,
)
from camphorspread.request.candidates import Candidate, OtherVm, OwnEndpoints, order_candidates
from camphorspread.request.deadline import DEADLINE_HEADER, parse_deadline, time_left
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.forwarding import ONCE_CLAIMED_HEADER, ONCE_KEY_HEADER
from camphorspread.request.once import (
    OnceAttempt,
    check_once_rule,
    correct_outcome,
    serve_at_home,
    serve_with_once_key,
)
from camphorspread.request.reasons import Reason
from camphorspread.request.region_overflow import choose_overflow, has_lost_vm
from camphorspread.request.relay import (
    BodyLimitPassed,
    CallerDisconnected,
    Relayed,
    ResponseCut,
    UploadStalled,
)
from camphorspread.request.resend import RestUnread, may_resend, note_read
from camphorspread.request.retry import decide_retry, record_request
from camphorspread.version.catalogue import ServiceEntry

__all__ = ["refuse", "steer_forwarded_request", "steer_request"]


async def steer_request(
    state: EntryState, exchange: Exchange, service: str, target: bytes, caller_region: str
) -> None:
    """Serve a caller's request on `/s/SERVICE/PATH`.

    Args:
        state: State of the entry process.
        exchange: The caller's exchange.
        service: Name of the service.
        target: Path and query at the backend server.
        caller_region: Region of the caller.
    """
    if caller_region == state.settings.place.region:
        record_offered(state.offered, service, state.clock.monotonic())
    if find_header(exchange.head.headers, ONCE_KEY_HEADER) is not None:
        run = partial(check_and_serve, caller_region=caller_region, is_forwarded=False)
        await serve_with_once_key(state, exchange, service, target, caller_region, run)
    else:
        await check_and_serve(
            state, exchange, service, target, None, caller_region, is_forwarded=False
        )


async def steer_forwarded_request(
    state: EntryState, exchange: Exchange, service: str, target: bytes, caller_region: str
) -> None:
    """Serve a request that another entry VM forwarded to this one.

    A request that its home has claimed, or without a once key, is served by this VM's endpoints
    only. Any other request with a once key was forwarded to its home, which is this VM.
    """
    headers = exchange.head.headers
    is_claimed = find_header(headers, ONCE_CLAIMED_HEADER) is not None
    if find_header(headers, ONCE_KEY_HEADER) is not None and not is_claimed:
        run = partial(check_and_serve, caller_region=caller_region, is_forwarded=False)
        await serve_at_home(state, exchange, service, target, run)
    else:
        await check_and_serve(
            state, exchange, service, target, None, caller_region, is_forwarded=True
        )


async def check_and_serve(
    state: EntryState,
    exchange: Exchange,
    service: str,
    target: bytes,
    once: OnceAttempt | None,
    caller_region: str,
    is_forwarded: bool,
) -> None:
    """Validate a request and serve it until its deadline."""
    if state.catalogue is None:
        message = "this VM has no catalogue yet"
        await refuse(state, exchange, Refusal(ErrorKind.NOT_READY, message), once)
        return
    entry = state.catalogue.find_service(service)
    if entry is None:
        await refuse(state, exchange, unknown_service_refusal(service), once)
        return
    length = find_header(exchange.head.headers, b"content-length")
    if length is not None and int(length) > entry.body_limit_bytes:
        message = f"the body exceeds {entry.body_limit_bytes} bytes"
        await refuse(state, exchange, Refusal(ErrorKind.BODY_TOO_LARGE, message), once)
        return
    now = state.clock.monotonic()
    header = find_header(exchange.head.headers, DEADLINE_HEADER)
    match parse_deadline(header, now, entry.request_time_limit):
        case Failure(refusal):
            await refuse(state, exchange, refusal, once)
        case Success(deadline):
            req = SteeredRequest(
                exchange, service, target, deadline, caller_region, is_forwarded, once
            )
            await serve(state, req)


def unknown_service_refusal(service: str) -> Refusal:
    """Return the refusal for a service that isn't in the catalogue."""
    return Refusal(ErrorKind.UNKNOWN_SERVICE, f"the catalogue has no service {service!r}")


async def serve(state: EntryState, req: SteeredRequest) -> None:
    """Try candidates until one of them serves the request or the deadline passes."""
    now = state.clock.monotonic()
    record_request(state.retry_budget, now)
    attempts = AttemptHistory()
    try:
        async with asyncio.timeout(time_left(req.deadline, now).total_seconds()):
            ending = await try_candidates(state, req, attempts)
    except TimeoutError:
        ending = Failed(late_refusal(attempts), may_have_run=attempts.may_have_run)
    finally:
        if req.once is not None:
            req.once.was_sent = attempts.may_have_run
    await log_and_respond(state, req, ending)


def late_refusal(attempts: AttemptHistory) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if attempts.may_have_run:
        message = "no response arrived before the deadline"
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, message, Reason.DEADLINE)
    if attempts.is_waiting:
        message = "the deadline passed while the request waited for a slot"
        return Refusal(ErrorKind.DEADLINE_PASSED_IN_QUEUE, message, Reason.DEADLINE)
    message = "the deadline passed before the request could be sent"
    return Refusal(ErrorKind.DEADLINE_TOO_SHORT, message, Reason.DEADLINE)


async def try_candidates(
    state: EntryState, req: SteeredRequest, attempts: AttemptHistory
) -> AttemptResult:
    """Try candidates in order until one serves the request or no retry is allowed."""
    while True:
        entry = state.catalogue.find_service(req.service)
        if entry is None:
            return choose_reported_failure(attempts, Failed(unknown_service_refusal(req.service)))
        # Each attempt is checked against the newest rules, which may have changed meanwhile.
        has_key = find_header(req.exchange.head.headers, ONCE_KEY_HEADER) is not None
        rule_refusal = check_once_rule(entry, req.method, req.path, has_key)
        if rule_refusal is not None:
            return choose_reported_failure(attempts, Failed(rule_refusal))
        candidate = next_candidate(state, req, attempts)
        if candidate is None:
            return choose_reported_failure(attempts, Failed(no_candidate_refusal(req.service)))
        ending = await attempt_candidate(state, req, attempts, entry, candidate)
        if not isinstance(ending, Failed):
            return ending
        if attempts.failed is None or ending.may_have_run or not attempts.failed.may_have_run:
            attempts.failed = ending if is_preferred(ending, attempts.failed) else attempts.failed
        refusal = check_retry(state, req, attempts, ending)
        if refusal is not None:
            return choose_reported_failure(attempts, attrs.evolve(ending, refusal=refusal))


def is_preferred(new_failure: Failed, known_failure: Failed | None) -> bool:
    """Return True if the new failure should be reported to the caller instead of the known one."""
    if known_failure is None or new_failure.may_have_run:
        return True
    return known_failure.refusal.kind is ErrorKind.NO_BACKEND_SERVER


def next_candidate(
    state: EntryState, req: SteeredRequest, attempts: AttemptHistory
) -> Candidate | None:
    """Return the first candidate that is left for this request, or None."""
    live = state.registry.list_live(req.service, state.clock.monotonic())
    has_own = any(endpoint.announcement.endpoint not in attempts.endpoints for endpoint in live)
    for candidate in order_candidates(
        state.catalogue,
        state.fleet,
        state.connect_failures,
        req.service,
        has_own,
        req.is_forwarded,
    ):
        match candidate:
            case OwnEndpoints(may_wait=may_wait) if not attempts.has_own_refused and (
                has_own or not attempts.endpoints
            ):
                overflow = find_overflow(state, req, attempts) if may_wait else None
                return overflow or candidate
            case OtherVm(record=record) if record.vm not in attempts.vms:
                return candidate
    return None


def find_overflow(
    state: EntryState, req: SteeredRequest, attempts: AttemptHistory
) -> OtherVm | None:
    """Return the VM of another region to try before waiting at this VM, or None."""
    if req.is_forwarded or attempts.has_overflowed:
        return None
    now = state.clock.monotonic()
    if not (
        has_lost_vm(state.fleet, state.connect_failures)
        or state.registry.has_quarantine(req.service, now)
    ):
        return None
    limits = compute_limits(state, now, req.service)
    wait = estimate_wait(state.admission, limits, req.service, now, req.deadline - now)
    record = choose_overflow(
        state.catalogue,
        state.fleet,
        state.connect_failures,
        state.overflow,
        req.service,
        wait,
        now,
    )
    if record is None or record.vm in attempts.vms:
        return None
    return OtherVm(record, Reason.OTHER_REGION, is_overflow=True)


def check_retry(
    state: EntryState, req: SteeredRequest, attempts: AttemptHistory, ending: Failed
) -> Refusal | None:
    """Return None if another candidate may be tried, else the refusal for the caller."""
    if ending.is_final or (req.once is not None and ending.may_have_run):
        return ending.refusal
    if not attempts.is_sent:
        # Nothing was sent by this VM yet, so the next candidate isn't a retry.
        return None
    candidate = next_candidate(state, req, attempts)
    if candidate is None:
        return ending.refusal
    # This interface buffers no part of a body.
    failure = ending.as_attempt_failure(note_read(RestUnread(), req.exchange.received_bytes))
    is_return = attempts.has_overflowed and isinstance(candidate, OwnEndpoints)
    if is_return and not attempts.may_have_run and may_resend(failure.body):
        # The other region has run nothing, so that waiting here isn't a retry.
        return None
    # The catalogue entry may have changed during the attempt.
    entry: ServiceEntry | None = state.catalogue.find_service(req.service)
    if entry is None:
        return ending.refusal
    now = state.clock.monotonic()
    decision = decide_retry(
        failure,
        entry,
        req.method,
        req.path,
        now < state.catalogue_lease_end,
        state.retry_budget,
        now,
    )
    match decision:
        case Failure(refusal):
            return refusal
    state.log.write(Event.REQUEST_RETRIED, service=req.service, cause=ending.refusal.kind.value)
    return None


def choose_reported_failure(attempts: AttemptHistory, ending: Failed) -> Failed:
    """Return the failure to report to the caller.

    If any attempt may have run, its failure is reported, as the outcome is then unknown.
    """
    known = attempts.failed
    if known is None or known.refusal.kind is ending.refusal.kind:
        return ending
    if not attempts.may_have_run and is_preferred(ending, known):
        return ending
    return attrs.evolve(known, refusal=attrs.evolve(known.refusal, reason=ending.refusal.reason))


def no_candidate_refusal(service: str) -> Refusal:
    """Return the refusal for a service without endpoints at any reachable VM."""
    message = f"no backend server serves {service}"
    return Refusal(ErrorKind.NO_BACKEND_SERVER, message, Reason.NO_LIVE_ENDPOINT)


async def log_and_respond(state: EntryState, req: SteeredRequest, ending: AttemptResult) -> None:
    """Log the end of the request and send an error response if there was no other response."""
    service = req.service
    match ending:
        case Relayed(status=status):
            state.log.write(Event.REQUEST_SERVED, service=service, status=status)
        case Failed(refusal=refusal, may_have_run=may_have_run):
            if may_have_run and refusal.response.outcome is Outcome.NOT_RUN:
                message = "an earlier attempt may have run: " + refusal.message
                refusal = Refusal(ErrorKind.BACKEND_FAILED, message, refusal.reason)
            await refuse(state, req.exchange, refusal, req.once)
        case ResponseCut(detail=detail):
            state.log.write(Event.RESPONSE_CUT, service=service, cause=detail)
        case CallerDisconnected():
            req.exchange.abort()
            state.log.write(Event.CALLER_GONE, service=service)
        case UploadStalled():
            message = "the upload of the request body stalled"
            await refuse(state, req.exchange, Refusal(ErrorKind.UPLOAD_STALLED, message), req.once)
        case BodyLimitPassed():
            message = "the body exceeds the limit of the catalogue entry"
            refusal = Refusal(ErrorKind.BODY_LIMIT_PASSED, message)
            await refuse(state, req.exchange, refusal, req.once)


async def refuse(
    state: EntryState, exchange: Exchange, refusal: Refusal, once: OnceAttempt | None = None
) -> None:
    """Log a refusal and send it, or reset the connection if a response has begun."""
    refusal = correct_outcome(once, refusal)
    state.log.write(Event.REQUEST_REFUSED, kind=refusal.kind.value, reason=refusal.reason.value)
    await refuse_or_abort(exchange, refusal)
