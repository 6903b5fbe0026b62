"""Steers one request of a caller by the route table: places it, sends it, and answers."""

import asyncio
from datetime import timedelta

import attrs
from returns.result import Failure, Success

from camphorspread.connection.exchange import (
    CallerGoneError,
    Exchange,
    RefusedError,
    StalledError,
)
from camphorspread.connection.messages import Headers, has_body
from camphorspread.process.events import Event
from camphorspread.process.steering_metrics import record_result
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.fleet_budget import record_first_send, try_repeat
from camphorspread.request.place_wait import wait_for_place
from camphorspread.request.placement_board import Pass, PlacementRequest, Start
from camphorspread.request.reply import send_reply
from camphorspread.request.route_attempt import (
    SERVER_ERROR,
    AttemptResult,
    Failed,
    Rejected,
    Served,
    attempt_pass,
    attempt_start,
)
from camphorspread.request.send import HELD_BYTES, Reply, RequestBody, StreamedReply
from camphorspread.request.splitting import pick_service
from camphorspread.request.steered_request import SteeredRequest
from camphorspread.request.waiting import Refused
from camphorspread.request.window import record_event
from camphorspread.version.routing import CallerLimits, Route, find_route

__all__ = ["steer"]

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# The final response leaves this long before the time limit, so that it arrives within it.
LIMIT_MARGIN = timedelta(milliseconds=30)
# Another endpoint that shows nothing within this time of the last attempt isn't tried.
SHORTEST_ATTEMPT = timedelta(milliseconds=50)
# Other VMs that a request is passed to. The second one makes up for an outdated summary of the
# first; under overload more of them would carry bodies around without finding room.
MOST_PASSES = 2


@attrs.frozen
class Denied:
    """The request gets an error response of this program."""

    refusal: Refusal
    return_after: timedelta | None = None


async def steer(state: SteeringState, exchange: Exchange) -> None:
    """Answer one request of a caller."""
    arrived = state.clock.monotonic()
    match state.dialect.decode_call(exchange.head):
        case Failure(refusal):
            await respond_denied(state, exchange, Denied(refusal))
            return
        case Success(call):
            pass
    record_event(state.arrivals, arrived)
    state.in_flight += 1
    try:
        await steer_call(state, exchange, call, arrived)
    finally:
        state.in_flight -= 1


async def steer_call(
    state: SteeringState, exchange: Exchange, call: SteeredCall, arrived: timedelta
) -> None:
    """Answer one decoded request."""
    if state.table is None:
        refusal = Refusal(ErrorKind.NOT_READY, "this VM has no routes yet")
        await respond_denied(state, exchange, Denied(refusal, timedelta(seconds=1)))
        return
    route = find_route(state.table, call.host, call.target)
    if route is None:
        refusal = Refusal(ErrorKind.UNKNOWN_SERVICE, "no route has this host and path")
        await respond_denied(state, exchange, Denied(refusal))
        return
    await steer_on_route(state, exchange, call, route, arrived)


async def steer_on_route(
    state: SteeringState, exchange: Exchange, call: SteeredCall, route: Route, arrived: timedelta
) -> None:
    """Answer one request whose route is known."""
    deadline = arrived + route.time_limit
    if call.time_left is not None:
        deadline = min(deadline, arrived + call.time_left)
    service = pick_service(state.splitter, route)
    record_first_send(state.budget, service, arrived)
    req = PlacementRequest(
        service,
        route.name,
        f"{route.name}/{call.object_key}" if route.has_affinity and call.object_key else "",
        route.rank,
        arrived + route.promised,
        deadline - LIMIT_MARGIN,
        route.home_regions,
    )
    body = await read_first_part(state, exchange)
    job = SteeredRequest(call, route, req, body, arrived, deadline)
    result = await run_until_gone(state, exchange, job)
    if result is None:
        note_end(state, job, "caller_gone")
        exchange.abort()
        return
    match result:
        case Denied() as denied:
            note_end(state, job, denied.refusal.kind.value, denied)
            await respond_denied(state, exchange, denied)
        case Reply() | StreamedReply():
            note_end(state, job, str(result.head.status))
            await respond_reply(state, exchange, result)


async def read_first_part(state: SteeringState, exchange: Exchange) -> RequestBody:
    """Read the body of a request up to the size that is held.

    Raises:
        RefusedError: The body is over the limit or breaks the framing.
    """
    headers = exchange.head.headers
    if not has_body(headers):
        framing = tuple(item for item in headers if item[0] == b"content-length")
        return RequestBody(framing)
    # Another VM may pass a request here before this one has its routes.
    limit = (state.table.limits if state.table else CallerLimits()).body_bytes
    announced = next((value for name, value in headers if name == b"content-length"), b"0")
    if int(announced) > limit:
        raise too_large(limit)
    held = bytearray()
    while len(held) <= HELD_BYTES:
        part = await exchange.read_body()
        if not part:
            length = (b"content-length", b"%d" % len(held))
            return RequestBody((length,), bytes(held))
        held += part

    async def read_rest() -> bytes:
        part = await exchange.read_body()
        if exchange.received_bytes > limit:
            raise too_large(limit)
        return part

    framing: Headers = tuple(item for item in headers if item[0] in FRAMING_HEADERS)
    return RequestBody(framing, bytes(held), False, read_rest)


def too_large(limit: int) -> RefusedError:
    """Return the refusal of a body over the limit."""
    return RefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, f"the body is over {limit} bytes"))


async def run_until_gone(
    state: SteeringState, exchange: Exchange, job: SteeredRequest
) -> Denied | Reply | StreamedReply | None:
    """Run a request until it has a result, its deadline passes, or its caller is gone (None)."""
    work = asyncio.create_task(run_attempts(state, job))
    # While the rest of a body is being read, a caller that leaves shows in that.
    watch = asyncio.create_task(exchange.wait_until_gone()) if job.body.is_whole else None
    left = job.deadline - LIMIT_MARGIN - state.clock.monotonic()
    tasks = {work} if watch is None else {work, watch}
    try:
        await asyncio.wait(
            tasks, timeout=max(left.total_seconds(), 0), return_when=asyncio.FIRST_COMPLETED
        )
        if work.done():
            return work.result()
        if watch is not None and watch.done():
            return None
        return Denied(deadline_refusal(job))
    except (CallerGoneError, StalledError):
        return None
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def deadline_refusal(job: SteeredRequest) -> Refusal:
    """Return the refusal of a request whose time is over."""
    if job.may_have_run:
        return Refusal(ErrorKind.DEADLINE_EXCEEDED, "the response didn't come in time")
    return Refusal(ErrorKind.DEADLINE_PASSED_IN_QUEUE, "no backend server had room in time")


async def run_attempts(state: SteeringState, job: SteeredRequest) -> Denied | Reply | StreamedReply:
    """Send a request to one place after the other until one answers or no more may be tried."""
    while True:
        place = await wait_for_place(state, job.req, job.route.promised)
        if job.waited is None:
            job.waited = state.clock.monotonic() - job.arrived
        match place:
            case Refused(return_after=after, has_server=has_server):
                if job.may_have_run:
                    return Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt was answered"))
                is_known = has_server or job.passes
                kind = ErrorKind.OVERLOADED if is_known else ErrorKind.NO_BACKEND_SERVER
                return Denied(Refusal(kind, "no backend server has room"), after)
            case Start():
                job.trail.append(f"start {place.instance.name}")
                result = await attempt_start(state, job, place)
            case Pass():
                job.passes += 1
                if job.passes == MOST_PASSES:
                    job.req = attrs.evolve(job.req, may_pass=False)
                job.trail.append(f"pass {place.peer.vm}")
                result = await attempt_pass(state, job, place)
        match result:
            case Served(reply=reply) if not is_worth_repeating(job, reply):
                return reply
        job.trail.append(result.detail)
        if result.excluded:
            job.req = attrs.evolve(job.req, excluded=job.req.excluded | {result.excluded})
        denied = decide_end(state, job, result)
        if denied is not None:
            return denied
        state.metrics.repeats[(job.req.service,)] += 1


def is_worth_repeating(job: SteeredRequest, reply: Reply | StreamedReply) -> bool:
    """Return True if a backend server failed an idempotent request that another may serve."""
    is_held = isinstance(reply, Reply)
    return is_held and job.route.is_idempotent and reply.head.status >= SERVER_ERROR


def decide_end(
    state: SteeringState, job: SteeredRequest, result: AttemptResult
) -> Denied | Reply | StreamedReply | None:
    """Return how a request ends after a failed attempt, or None if another one follows."""
    now = state.clock.monotonic()
    match result:
        case Rejected(was_sent=was_sent, return_after=after):
            if not was_sent:
                return None if now + SHORTEST_ATTEMPT < job.deadline else timed_out(job)
            final = Denied(Refusal(ErrorKind.OVERLOADED, "a backend server rejected it"), after)
            if job.may_have_run:
                final = Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt was answered"))
        case Failed(detail=detail):
            job.may_have_run = True
            final = Denied(Refusal(ErrorKind.BACKEND_FAILED, f"no whole response: {detail}"))
            if not job.route.is_idempotent:
                return final
        case Served(reply=reply):
            final = reply
    if job.body.is_consumed or job.sends >= job.route.max_attempts:
        return final
    if now + SHORTEST_ATTEMPT >= job.deadline:
        return final
    if not try_repeat(state.budget, job.req.service, state.live_vms, now):
        return final
    return None


def timed_out(job: SteeredRequest) -> Denied:
    """Return the end of a request whose time is over."""
    return Denied(deadline_refusal(job))


async def respond_reply(
    state: SteeringState, exchange: Exchange, reply: Reply | StreamedReply
) -> None:
    """Send a backend server's response to the caller."""
    head = state.dialect.encode_reply(reply.head)
    await send_reply(exchange, head, reply)


async def respond_denied(state: SteeringState, exchange: Exchange, denied: Denied) -> None:
    """Send an error response of this program."""
    exchange.refusal = denied.refusal
    head = state.dialect.encode_refusal(denied.refusal, denied.return_after)
    await exchange.respond(head, denied.refusal.message.encode())


def note_end(
    state: SteeringState, job: SteeredRequest, result: str, denied: Denied | None = None
) -> None:
    """Count and log a request that has ended."""
    spent = state.clock.monotonic() - job.arrived
    record_result(state.metrics, job.req.service, result, spent)
    if denied is None and spent <= job.route.promised and len(job.trail) == 1:
        return
    state.log.write(
        Event.STEERING_ENDED,
        request=job.call.request_id,
        route=job.route.name,
        service=job.req.service,
        result=result,
        outcome=denied.refusal.response.outcome.value if denied else Outcome.COMPLETED.value,
        trail=job.trail,
        left_ms=(job.deadline - job.arrived) // timedelta(milliseconds=1),
        waited_ms=(spent if job.waited is None else job.waited) // timedelta(milliseconds=1),
        spent_ms=spent // timedelta(milliseconds=1),
        promised_ms=job.route.promised // timedelta(milliseconds=1),
        revision=state.table.revision,
        waiting=state.waiting.count(job.req.service),
    )
