"""Serving of callers' requests by their routes, from the arrival to the response."""

from datetime import timedelta

from returns.result import Failure, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.process.events import Event
from camphorspread.process.held_memory import Holding, release
from camphorspread.process.steering_metrics import record_result
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.body_reading import read_first_part
from camphorspread.request.caller_identity import IdentifiedCall, identify_caller
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.errors import ErrorKind, Outcome, Refusal
from camphorspread.request.fleet_retry_budget import record_first_send
from camphorspread.request.identify import combine_home_regions
from camphorspread.request.memory_limit import check_memory, drop_body
from camphorspread.request.missing_route import deny_missing_route
from camphorspread.request.quota import Ticket, observe_sends
from camphorspread.request.quota_admission import (
    Admitted,
    Over,
    Undecided,
    admit_quota,
    settle_quota,
)
from camphorspread.request.refusals import refuse_before_exit, refuse_charge, refuse_without_region
from camphorspread.request.reply import send_reply
from camphorspread.request.route_steering import run_until_disconnect
from camphorspread.request.routed_request import Denied, RoutedRequest, make_placement_request
from camphorspread.request.send import Reply, StreamedReply
from camphorspread.request.slot_use import describe_use
from camphorspread.request.splitting import pick_service
from camphorspread.request.window import record_event
from camphorspread.version.routing import Route, find_route

__all__ = ["serve_by_route"]

# A caller that is refused before its body was read may send it for this long. It includes a round
# trip between regions.
REFUSED_BODY_LIMIT = timedelta(milliseconds=500)


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
        await refuse_unread(state, exchange, Denied(refusal, timedelta(seconds=1)))
        return
    route = find_route(state.table, call.host, call.target)
    if route is None:
        await refuse_unread(state, exchange, deny_missing_route(state, call))
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
    """Serve one request whose route and organisation are known, within memory and quota."""
    organisation_rank = caller.organisation.rank if caller.organisation else 0
    holding = Holding((organisation_rank, route.rank))
    denied = check_memory(state, holding.urgency, "arrival")
    if denied is not None:
        await refuse_unread(state, exchange, denied)
        return
    match await admit_quota(state, caller.organisation):
        case Admitted(ticket=ticket):
            try:
                await steer_admitted(state, exchange, caller, route, arrived, ticket, holding)
            finally:
                release(state.held, holding)
        case Over() | Undecided() as result:
            await refuse_unread(state, exchange, refuse_charge(result))


async def steer_admitted(
    state: SteeringState,
    exchange: Exchange,
    caller: IdentifiedCall,
    route: Route,
    arrived: timedelta,
    ticket: Ticket | None,
    holding: Holding,
) -> None:
    """Serve one request that is charged to a quota, or that has none."""
    call, organisation = caller.call, caller.organisation
    home_regions = combine_home_regions(route, organisation)
    deadline = arrived + route.time_limit
    if call.time_left is not None:
        deadline = min(deadline, arrived + call.time_left)
    service = pick_service(state.splitter, route)
    record_first_send(state.retry_budget, service, arrived)
    req = make_placement_request(
        route, service, call.object_key, organisation, home_regions or (), arrived, deadline
    )
    job: RoutedRequest | None = None
    try:
        match await read_first_part(state, exchange, holding, arrived + (deadline - arrived) / 2):
            case Denied() as denied:
                result = denied
            case body:
                job = RoutedRequest(
                    call, route, req, body, arrived, deadline, caller.identity, holding=holding
                )
                if ticket is not None:
                    observe_sends(state.quotas, ticket, job.sent)
                result = await run_job(state, exchange, job, home_regions)
    finally:
        settle_quota(state, ticket, job.sent if job is not None else [])
    if job is None:
        await refuse_unread(state, exchange, result)
        return
    drop_body(state, job)
    if result is None:
        record_end(state, job, "caller_gone")
        exchange.abort()
        return
    match result:
        case Denied() as denied:
            release(state.held, holding)
            record_end(state, job, denied.refusal.kind.value, denied)
            await respond_denied(state, exchange, denied)
        case Reply() | StreamedReply():
            record_end(state, job, str(result.head.status))
            await respond_reply(state, exchange, job, result)


async def run_job(
    state: SteeringState,
    exchange: Exchange,
    job: RoutedRequest,
    home_regions: tuple[str, ...] | None,
) -> Denied | Reply | StreamedReply | None:
    """Run a request whose body has been read, if this VM and its regions may run it."""
    if home_regions is None:
        return refuse_without_region()
    if state.can_end_before_exit(job.deadline):
        return await run_until_disconnect(state, exchange, job)
    return refuse_before_exit()


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
    await send_reply(state, exchange, head, reply, job.req.service, limit, job.holding)


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
