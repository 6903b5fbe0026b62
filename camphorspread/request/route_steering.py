"""Attempts of a request at successive placements, until it has a final result."""

from datetime import timedelta

import attrs

from camphorspread.connection.disconnect import (
    Disconnected,
    Finished,
    TimedOut,
    run_while_connected,
)
from camphorspread.connection.exchange import (
    CallerDisconnectedError,
    Exchange,
    ProgressTimeoutError,
)
from camphorspread.process.live_vms import find_retry_share
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import check_identity
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.fleet_retry_budget import try_fleet_retry
from camphorspread.request.memory_limit import check_unsent, drop_response
from camphorspread.request.placement_board import ForwardPlacement, LocalPlacement, find_region
from camphorspread.request.placement_driver import wait_for_placement
from camphorspread.request.placement_queue import Refused, withdraw_grant
from camphorspread.request.refusals import (
    PROMPT_RETRY_DELAY,
    refuse_before_exit,
    refuse_placement,
)
from camphorspread.request.region_shift import record_region
from camphorspread.request.resend import may_resend
from camphorspread.request.route_attempt import (
    SERVER_ERROR,
    AttemptResult,
    Failed,
    Rejected,
    Served,
    attempt_forward,
    attempt_local,
    may_start,
)
from camphorspread.request.routed_request import RESPONSE_MARGIN, Denied, RoutedRequest
from camphorspread.request.send import Reply, StreamedReply
from camphorspread.request.slot_use import measure_use

__all__ = ["run_until_disconnect"]

# No further attempt begins unless more than this time is left until the deadline.
MIN_ATTEMPT_TIME = timedelta(milliseconds=50)
# Other VMs to which a request is forwarded. The second one compensates for an outdated summary of
# the first; under overload, more would transfer bodies without finding a free slot.
MAX_FORWARDS = 2


async def run_until_disconnect(
    state: SteeringState, exchange: Exchange, job: RoutedRequest
) -> Denied | Reply | StreamedReply | None:
    """Run a request until it has a result, its deadline passes, or its caller leaves (None)."""
    remaining = job.deadline - RESPONSE_MARGIN - state.clock.monotonic()
    try:
        result = await run_while_connected(run_attempts(state, job), exchange.stream, remaining)
    except (CallerDisconnectedError, ProgressTimeoutError):
        return None
    match result:
        case Finished(value=value):
            return value
        case Disconnected():
            return None
        case TimedOut():
            return Denied(make_deadline_refusal(job))


def make_deadline_refusal(job: RoutedRequest) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if job.may_have_run:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, "no response arrived before the deadline")
    return Refusal(ErrorKind.DEADLINE_PASSED_IN_QUEUE, "no slot became free before the deadline")


async def run_attempts(state: SteeringState, job: RoutedRequest) -> Denied | Reply | StreamedReply:
    """Attempt a request at successive placements until it is served or no retry is allowed."""
    while True:
        place = await wait_for_placement(
            state, job.req, job.route.promised, lambda: may_start(state, job)
        )
        if job.waited is None:
            job.waited = state.clock.monotonic() - job.arrived
            job.use = measure_use(state.board, job.req.service, place, state.clock.monotonic())
        match place:
            case Refused(retry_after=return_delay, has_server=has_server):
                denied = check_identity(state, job)
                if denied is not None:
                    return denied
                if not state.can_end_before_exit(job.deadline):
                    return refuse_stopping(job)
                if job.may_have_run:
                    return Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt got a response"))
                return refuse_placement(has_server or job.forwards > 0, return_delay)
            case LocalPlacement():
                record_placement(state, place)
                job.trail.append(f"start {place.instance.name}")
                result = await attempt_local(state, job, place)
            case ForwardPlacement():
                record_placement(state, place)
                job.forwards += 1
                if job.forwards == MAX_FORWARDS:
                    job.req = attrs.evolve(job.req, may_forward=False)
                job.trail.append(f"pass {place.peer.vm}")
                result = await attempt_forward(state, job, place)
        match result:
            case Served(reply=reply) if not is_worth_repeating(job, reply):
                return reply
        job.trail.append(result.detail)
        if result.excluded:
            job.req = attrs.evolve(job.req, excluded=job.req.excluded | {result.excluded})
        denied = decide_after_failure(state, job, result)
        withdraw_grant(state.board, job.req, denied is not None, state.clock.monotonic())
        if denied is not None:
            return denied
        drop_response(state, job.holding)
        state.metrics.repeats[(job.req.service,)] += 1


def record_placement(state: SteeringState, place: LocalPlacement | ForwardPlacement) -> None:
    """Record the region to which a request is sent."""
    region = find_region(state.board, place)
    record_region(state.board.region_shares, region, state.clock.monotonic())


def is_worth_repeating(job: RoutedRequest, reply: Reply | StreamedReply) -> bool:
    """Return True if an idempotent request got a server error that a retry may avoid."""
    is_held = isinstance(reply, Reply)
    return is_held and job.route.is_idempotent and reply.head.status >= SERVER_ERROR


def decide_after_failure(
    state: SteeringState, job: RoutedRequest, result: AttemptResult
) -> Denied | Reply | StreamedReply | None:
    """Return the final result after a failed attempt, or None if another one follows."""
    now = state.clock.monotonic()
    match result:
        case Rejected(was_sent=False) if denied := check_next_attempt(state, job):
            return denied
        case Rejected(was_sent=was_sent, retry_after=return_delay):
            if not was_sent and may_resend(job.body.progress):
                return None if now + MIN_ATTEMPT_TIME < job.deadline else deny_late(job)
            if not was_sent:
                # Only the caller can send the body again, which another server may take at once.
                return_delay = return_delay or PROMPT_RETRY_DELAY
            final = Denied(
                Refusal(ErrorKind.OVERLOADED, "a backend server rejected the request"), return_delay
            )
            if job.may_have_run:
                final = Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt got a response"))
        case Failed(detail=detail):
            job.may_have_run = True
            final = Denied(Refusal(ErrorKind.BACKEND_FAILED, f"no complete response: {detail}"))
            if not job.route.is_idempotent:
                return final
        case Served(reply=reply):
            final = reply
    if not may_resend(job.body.progress) or job.sends >= job.route.max_attempts:
        return final
    if now + MIN_ATTEMPT_TIME >= job.deadline or not state.can_end_before_exit(job.deadline):
        return final
    # Before the retry is counted in the budget.
    denied = check_identity(state, job)
    if denied is not None:
        return denied
    share = find_retry_share(state, now)
    if not try_fleet_retry(state.retry_budget, job.req.service, share, now):
        return final
    return None


def check_next_attempt(state: SteeringState, job: RoutedRequest) -> Denied | None:
    """Return the refusal of a request whose last attempt wasn't sent, None if it may continue."""
    denied = check_unsent(state, job)
    if denied is None and not state.can_end_before_exit(job.deadline):
        return refuse_stopping(job)
    return denied


def refuse_stopping(job: RoutedRequest) -> Denied:
    """Return the result of a request that this VM doesn't send any more before it stops."""
    if job.may_have_run:
        return Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt got a response"))
    return refuse_before_exit()


def deny_late(job: RoutedRequest) -> Denied:
    """Return the result of a request whose deadline has passed."""
    return Denied(make_deadline_refusal(job))
