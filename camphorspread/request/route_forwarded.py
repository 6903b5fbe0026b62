"""Serves a request that another entry VM forwarded to this one."""

import asyncio
import contextlib
from datetime import timedelta

import attrs

from camphorspread.connection.disconnect import (
    Disconnected,
    Finished,
    TimedOut,
    run_while_connected,
)
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.process.held_memory import Holding, release
from camphorspread.process.reported_load import measure_loads
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.body_reading import read_first_part
from camphorspread.request.caller_identity import (
    check_identity,
    identify_forwarded,
)
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.memory_limit import check_memory, check_unsent, drop_body
from camphorspread.request.peer_forward_codec import (
    ForwardMetadata,
    ForwardResult,
    LeavingServer,
    decode_forward,
    encode_forward_result,
)
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    PlacementRequest,
    find_run_times,
)
from camphorspread.request.placement_driver import wait_for_placement
from camphorspread.request.placement_queue import Refused
from camphorspread.request.reply import send_reply
from camphorspread.request.route_attempt import (
    Failed,
    Rejected,
    Served,
    attempt_local,
    may_start,
)
from camphorspread.request.routed_request import Denied, RoutedRequest
from camphorspread.request.send import Reply, RequestBody, StreamedReply
from camphorspread.version.routing import Route

__all__ = ["serve_forwarded"]

# The forwarding VM, which knows how long the caller waits, resets the connection before; this only
# ends a body without end if that VM doesn't.
FORWARD_BODY_LIMIT = timedelta(minutes=5)


async def serve_forwarded(state: SteeringState, exchange: Exchange) -> None:
    """Answer a forwarded request with a backend server's response or with its outcome."""
    try:
        forward = decode_forward(exchange.head)
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    now = state.clock.monotonic()
    call = state.dialect.decode_request(exchange.head).unwrap()
    caller = identify_forwarded(state, call, forward)
    deadline = now + forward.time_left
    req = PlacementRequest(
        forward.service,
        forward.route,
        forward.object_key,
        forward.rank,
        now + forward.promised_left,
        deadline,
        home_regions=forward.home_regions,
        excluded=frozenset(forward.excluded),
        may_forward=False,
        organisation=forward.organisation,
        organisation_rank=forward.organisation_rank,
    )
    holding = Holding((forward.organisation_rank, forward.rank))
    denied = check_memory(state, holding.urgency, "forward")
    if denied is not None:
        await refuse_forwarded(state, exchange, forward, denied)
        return
    try:
        match await read_first_part(state, exchange, holding, now + forward.time_left / 2):
            case Denied() as denied:
                release(state.held, holding)
                await refuse_forwarded(state, exchange, forward, denied)
            case body:
                route = make_route(forward)
                job = RoutedRequest(
                    caller.call, route, req, body, now, deadline, caller.identity, holding=holding
                )
                await serve_job(state, exchange, forward, job)
    finally:
        release(state.held, holding)


async def refuse_forwarded(
    state: SteeringState, exchange: Exchange, forward: ForwardMetadata, denied: Denied
) -> None:
    """Refuse a forwarded request whose body hasn't been read, and discard that."""
    await exchange.discard_body(forward.time_left)
    await respond_forwarded(state, exchange, forward, make_denied_result(denied), None)


async def serve_job(
    state: SteeringState, exchange: Exchange, forward: ForwardMetadata, job: RoutedRequest
) -> None:
    """Run a forwarded request whose body has been read, and respond."""
    body, deadline = job.body, job.deadline
    if not state.can_end_before_exit(deadline):
        facts = ForwardResult(Outcome.NOT_RUN, ErrorKind.LEAVING, 0)
        await discard_rest(body, forward.time_left)
        await respond_forwarded(state, exchange, forward, facts, None)
        return
    state.in_flight += 1
    try:
        work = run_forwarded(state, job)
        match await run_while_connected(work, exchange.stream, forward.time_left):
            case Finished(value=(facts, reply)):
                pass
            case Disconnected():
                exchange.abort()
                return
            case TimedOut():
                outcome = Outcome.UNKNOWN if job.may_have_run else Outcome.NOT_RUN
                facts, reply = ForwardResult(outcome, ErrorKind.DEADLINE_EXCEEDED, job.sends), None
        if reply is None:
            release(state.held, job.holding)
            await discard_rest(body, deadline - state.clock.monotonic())
        drop_body(state, job)
        await respond_forwarded(state, exchange, forward, facts, reply, job.holding)
    finally:
        state.in_flight -= 1


async def discard_rest(body: RequestBody, limit: timedelta) -> None:
    """Read the rest of a body that isn't sent to a backend server.

    The forwarding VM sends the whole body before it reads the response, and closing the connection
    with unread data would reset it before the response is read.

    Args:
        body: Body of the forwarded request.
        limit: Longest time for reading it.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit.total_seconds()):
            while await body.read_rest():
                pass


def make_route(forward: ForwardMetadata) -> Route:
    """Return a route with those fields of the other VM's route that an attempt uses."""
    return Route(
        forward.route,
        host="",
        path_prefix="/",
        is_idempotent=False,
        time_limit=forward.time_left,
        promised=forward.promised,
        rank=forward.rank,
        targets=(),
    )


async def run_forwarded(
    state: SteeringState, job: RoutedRequest
) -> tuple[ForwardResult, Reply | StreamedReply | None]:
    """Make one attempt at a backend server of this VM; retries are up to the forwarding VM."""
    denied = check_identity(state, job)
    if denied is not None:
        return make_denied_result(denied), None
    place = await wait_for_placement(
        state, job.req, job.route.promised, lambda: may_start(state, job)
    )
    match place:
        case Refused(retry_after=return_delay, has_server=has_server):
            denied = check_identity(state, job)
            if denied is not None:
                return make_denied_result(denied), None
            if not state.can_end_before_exit(job.deadline):
                return ForwardResult(Outcome.NOT_RUN, ErrorKind.LEAVING, 0), None
            kind = ErrorKind.OVERLOADED if has_server else ErrorKind.NO_BACKEND_SERVER
            return ForwardResult(Outcome.NOT_RUN, kind, 0, retry_after=return_delay), None
        case ForwardPlacement():
            # Not reached: `may_forward` is False, so that a request is forwarded only once.
            return ForwardResult(Outcome.NOT_RUN, ErrorKind.INTERNAL, 0), None
    started = state.clock.monotonic()
    result = await attempt_local(state, job, place)
    leaving = find_leaving(place, state.clock.monotonic())
    match result:
        case Served(reply=reply):
            run = state.clock.monotonic() - started
            fast = is_fast(state, job, run)
            return ForwardResult(Outcome.COMPLETED, None, job.sends, fast, leaving=leaving), reply
        case Rejected(was_sent=False) if denied := check_unsent(state, job):
            return make_denied_result(denied), None
        case Rejected(retry_after=return_delay):
            return ForwardResult(
                Outcome.NOT_RUN, ErrorKind.OVERLOADED, job.sends, False, 0, return_delay, leaving
            ), None
        case Failed():
            return ForwardResult(Outcome.UNKNOWN, ErrorKind.BACKEND_FAILED, job.sends), None


def make_denied_result(denied: Denied) -> ForwardResult:
    """Return the result of a request that this VM may not send for its caller."""
    return ForwardResult(Outcome.NOT_RUN, denied.refusal.kind, 0, retry_after=denied.retry_after)


def find_leaving(place: LocalPlacement, now: timedelta) -> LeavingServer | None:
    """Return the backend server of a placement if it has stated that it leaves."""
    instance = place.instance
    if now >= instance.stated.leaving_until:
        return None
    return LeavingServer(instance.name, instance.report.started_ms)


def is_fast(state: SteeringState, job: RoutedRequest, run_time: timedelta) -> bool:
    """Return True if the run time is closer to that of a warm run than of a cold one."""
    promised_s = job.route.promised.total_seconds()
    times = find_run_times(state.board, job.req.service, job.req.route, promised_s)
    return run_time.total_seconds() < (times.warm_s + times.cold_s) / 2


async def respond_forwarded(
    state: SteeringState,
    exchange: Exchange,
    forward: ForwardMetadata,
    facts: ForwardResult,
    reply: Reply | StreamedReply | None,
    holding: Holding | None = None,
) -> None:
    """Send the response and its metadata to the forwarding VM."""
    now = state.clock.monotonic()
    load = measure_loads(state.board, state.waiting, state.region_loads, now).get(forward.service)
    facts = attrs.evolve(facts, free=load.free if load else 0)
    headers = encode_forward_result(facts)
    match reply:
        case None:
            status = 503 if facts.outcome is Outcome.NOT_RUN else 502
            await exchange.respond(ResponseHead(status, headers))
        case _:
            head = state.dialect.encode_response(reply.head)
            head = attrs.evolve(head, headers=(*head.headers, *headers))
            limit = FORWARD_BODY_LIMIT
            await send_reply(state, exchange, head, reply, forward.service, limit, holding)
