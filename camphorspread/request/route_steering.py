"""Serves one caller's request by the route table: placement, attempts and response."""

from datetime import timedelta

import attrs
from returns.result import Failure, Success

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
    RequestRefusedError,
)
from camphorspread.connection.messages import Headers, has_body
from camphorspread.process.events import Event
from camphorspread.process.live_vms import find_retry_share
from camphorspread.process.steering_metrics import record_result
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import (
    IdentifiedCall,
    check_identity,
    identify_caller,
    is_still_identified,
)
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.fleet_retry_budget import record_first_send, try_fleet_retry
from camphorspread.request.identify import combine_home_regions
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    PlacementRequest,
    find_region,
)
from camphorspread.request.placement_driver import wait_for_placement
from camphorspread.request.placement_queue import Refused, withdraw_grant
from camphorspread.request.quota import Ticket, observe_sends
from camphorspread.request.quota_admission import (
    Admitted,
    Over,
    Undecided,
    admit_quota,
    settle_quota,
)
from camphorspread.request.region_shift import record_region
from camphorspread.request.reply import send_reply
from camphorspread.request.resend import RestUnread, may_resend
from camphorspread.request.route_attempt import (
    SERVER_ERROR,
    AttemptResult,
    Failed,
    Rejected,
    Served,
    attempt_forward,
    attempt_local,
)
from camphorspread.request.routed_request import Denied, RoutedRequest
from camphorspread.request.send import HELD_BYTES, Reply, RequestBody, StreamedReply
from camphorspread.request.slot_use import describe_use, measure_use
from camphorspread.request.splitting import pick_service
from camphorspread.request.window import record_event
from camphorspread.version.routing import CallerLimits, Route, find_route

__all__ = ["serve_by_route"]

FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# The final response is sent this long before the time limit, so that it arrives within it.
RESPONSE_MARGIN = timedelta(milliseconds=30)
# No further attempt begins unless more than this time is left until the deadline.
MIN_ATTEMPT_TIME = timedelta(milliseconds=50)
# Suggested delay where another VM or backend server can serve the caller at once.
PROMPT_RETRY_DELAY = timedelta(milliseconds=50)
# Only a change of the configuration helps a request that no region may run.
NO_REGION_RETRY_DELAY = timedelta(seconds=1)
# A caller that is refused before its body was read may send it for this long. It includes a round
# trip between regions.
REFUSED_BODY_LIMIT = timedelta(milliseconds=500)
# Other VMs to which a request is forwarded. The second one compensates for an outdated summary of
# the first; under overload, more would transfer bodies without finding a free slot.
MAX_FORWARDS = 2


async def serve_by_route(state: SteeringState, exchange: Exchange) -> None:
    """Serve one request of a caller."""
    arrived = state.clock.monotonic()
    match state.dialect.decode_request(exchange.head):
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
    """Serve one decoded request."""
    if state.table is None:
        refusal = Refusal(ErrorKind.NOT_READY, "this VM has no routes yet")
        await respond_denied(state, exchange, Denied(refusal, timedelta(seconds=1)))
        return
    route = find_route(state.table, call.host, call.target)
    if route is None:
        refusal = Refusal(ErrorKind.UNKNOWN_SERVICE, "no route has this host and path")
        await respond_denied(state, exchange, Denied(refusal))
        return
    match identify_caller(state, call, route):
        case Denied() as denied:
            await refuse_unread(state, exchange, denied)
        case IdentifiedCall() as caller:
            await steer_on_route(state, exchange, caller, route, arrived)


async def refuse_unread(state: SteeringState, exchange: Exchange, denied: Denied) -> None:
    """Refuse a request before its body has been read."""
    await respond_denied(state, exchange, denied)
    await exchange.discard_body(REFUSED_BODY_LIMIT)


async def steer_on_route(
    state: SteeringState,
    exchange: Exchange,
    caller: IdentifiedCall,
    route: Route,
    arrived: timedelta,
) -> None:
    """Serve one request whose route and organisation are known, within the organisation's quota."""
    match await admit_quota(state, caller.organisation):
        case Admitted(ticket=ticket):
            await steer_admitted(state, exchange, caller, route, arrived, ticket)
        case Over(retry_after=retry_after):
            refusal = Refusal(ErrorKind.QUOTA_EXCEEDED, "the organisation's limit is reached")
            await refuse_unread(state, exchange, Denied(refusal, retry_after))
        case Undecided(retry_after=retry_after):
            refusal = Refusal(ErrorKind.NOT_READY, "this VM has no share of the limit yet")
            await refuse_unread(state, exchange, Denied(refusal, retry_after))


async def steer_admitted(
    state: SteeringState,
    exchange: Exchange,
    caller: IdentifiedCall,
    route: Route,
    arrived: timedelta,
    ticket: Ticket | None,
) -> None:
    """Serve one request that is charged to a quota, or that has none."""
    call, organisation = caller.call, caller.organisation
    home_regions = combine_home_regions(route, organisation)
    deadline = arrived + route.time_limit
    if call.time_left is not None:
        deadline = min(deadline, arrived + call.time_left)
    service = pick_service(state.splitter, route)
    record_first_send(state.retry_budget, service, arrived)
    req = PlacementRequest(
        service,
        route.name,
        f"{route.name}/{call.object_key}" if route.has_affinity and call.object_key else "",
        route.rank,
        arrived + route.promised,
        deadline - RESPONSE_MARGIN,
        home_regions or (),
        organisation=organisation.name if organisation else "",
        organisation_rank=organisation.rank if organisation else 0,
    )
    job: RoutedRequest | None = None
    try:
        body = await read_first_part(state, exchange)
        job = RoutedRequest(call, route, req, body, arrived, deadline, caller.identity)
        if ticket is not None:
            observe_sends(state.quotas, ticket, job.sent)
        if home_regions is None:
            refusal = Refusal(ErrorKind.NO_BACKEND_SERVER, "no region may run the request")
            result = Denied(refusal, NO_REGION_RETRY_DELAY)
        elif state.can_end_before_exit(deadline):
            result = await run_until_disconnect(state, exchange, job)
        else:
            refusal = Refusal(ErrorKind.LEAVING, "this VM is about to stop")
            result = Denied(refusal, PROMPT_RETRY_DELAY)
    finally:
        settle_quota(state, ticket, job.sent if job is not None else [])
    if result is None:
        record_end(state, job, "caller_gone")
        exchange.abort()
        return
    match result:
        case Denied() as denied:
            record_end(state, job, denied.refusal.kind.value, denied)
            await respond_denied(state, exchange, denied)
        case Reply() | StreamedReply():
            record_end(state, job, str(result.head.status))
            await respond_reply(state, exchange, job, result)


async def read_first_part(state: SteeringState, exchange: Exchange) -> RequestBody:
    """Read the body of a request up to the size that is buffered.

    Raises:
        RequestRefusedError: The body exceeds the limit or violates the framing.
    """
    headers = exchange.head.headers
    if not has_body(headers):
        framing = tuple(item for item in headers if item[0] == b"content-length")
        return RequestBody(framing)
    # Another VM may forward a request to this one before it has its routes.
    limit = (state.table.limits if state.table else CallerLimits()).body_bytes
    announced = next((value for name, value in headers if name == b"content-length"), b"0")
    if int(announced) > limit:
        raise make_body_limit_error(limit)
    held = bytearray()
    while len(held) <= HELD_BYTES:
        chunk = await exchange.read_body()
        if not chunk:
            length = (b"content-length", b"%d" % len(held))
            return RequestBody((length,), bytes(held))
        held += chunk
        # A body in chunks doesn't announce its size.
        if len(held) > limit:
            raise make_body_limit_error(limit)

    async def receive() -> bytes:
        chunk = await exchange.read_body()
        if exchange.received_bytes > limit:
            raise make_body_limit_error(limit)
        return chunk

    framing: Headers = tuple(item for item in headers if item[0] in FRAMING_HEADERS)
    return RequestBody(framing, bytes(held), RestUnread(), receive)


def make_body_limit_error(limit: int) -> RequestRefusedError:
    """Return the error for a body over the limit."""
    return RequestRefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes"))


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
            state, job.req, job.route.promised, lambda: is_still_identified(state, job)
        )
        if job.waited is None:
            job.waited = state.clock.monotonic() - job.arrived
            job.use = measure_use(state.board, job.req.service, place, state.clock.monotonic())
        match place:
            case Refused(retry_after=return_delay, has_server=has_server):
                denied = check_identity(state, job)
                if denied is not None:
                    return denied
                if job.may_have_run:
                    return Denied(Refusal(ErrorKind.BACKEND_FAILED, "no attempt got a response"))
                is_known = has_server or job.forwards
                kind = ErrorKind.OVERLOADED if is_known else ErrorKind.NO_BACKEND_SERVER
                return Denied(Refusal(kind, "no backend server has capacity"), return_delay)
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
        case Rejected(was_sent=False) if denied := check_identity(state, job):
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
    if now + MIN_ATTEMPT_TIME >= job.deadline:
        return final
    # Before the retry is counted in the budget.
    denied = check_identity(state, job)
    if denied is not None:
        return denied
    share = find_retry_share(state, now)
    if not try_fleet_retry(state.retry_budget, job.req.service, share, now):
        return final
    return None


def deny_late(job: RoutedRequest) -> Denied:
    """Return the result of a request whose deadline has passed."""
    return Denied(make_deadline_refusal(job))


async def respond_reply(
    state: SteeringState, exchange: Exchange, job: RoutedRequest, reply: Reply | StreamedReply
) -> None:
    """Send a backend server's response to the caller.

    A caller that states how long it will wait gets the rest of a body also after the time limit of
    the route.
    """
    until = job.arrived + max(job.call.time_left or timedelta(0), job.route.time_limit)
    limit = until - state.clock.monotonic()
    head = state.dialect.encode_response(reply.head)
    await send_reply(state, exchange, head, reply, job.req.service, limit)


async def respond_denied(state: SteeringState, exchange: Exchange, denied: Denied) -> None:
    """Send an error response generated by this VM."""
    exchange.refusal = denied.refusal
    head = state.dialect.encode_refusal(denied.refusal, denied.retry_after)
    await exchange.respond(head, denied.refusal.message.encode())


def record_end(
    state: SteeringState, job: RoutedRequest, result: str, denied: Denied | None = None
) -> None:
    """Record the end of a request in metrics and, unless it was unremarkable, in the log."""
    spent = state.clock.monotonic() - job.arrived
    outcome = denied.refusal.response.outcome if denied else Outcome.COMPLETED
    if outcome is Outcome.NOT_RUN and job.may_have_run:
        # An earlier attempt of a request whose key was withdrawn.
        outcome = Outcome.UNKNOWN
    record_result(state.metrics, job.req.service, result, spent)
    if denied is None and spent <= job.route.promised and len(job.trail) == 1:
        return
    state.log.write(
        Event.STEERING_ENDED,
        request=job.call.request_id,
        route=job.route.name,
        service=job.req.service,
        result=result,
        outcome=outcome.value,
        trail=job.trail,
        left_ms=(job.deadline - job.arrived) // timedelta(milliseconds=1),
        waited_ms=(spent if job.waited is None else job.waited) // timedelta(milliseconds=1),
        spent_ms=spent // timedelta(milliseconds=1),
        promised_ms=job.route.promised // timedelta(milliseconds=1),
        revision=state.table.revision,
        waiting=state.waiting.count(job.req.service),
        use=describe_use(job.use),
        **({"organisation": job.req.organisation} if job.req.organisation else {}),
    )
