"""One attempt of a routed request: at a backend server of this VM or through another VM."""

from datetime import timedelta

import attrs

from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.events import Event
from camphorspread.process.held_memory import expect_response
from camphorspread.process.instances import (
    Instance,
    is_usable,
    remove_instance,
    suspend_instance,
)
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import is_still_identified
from camphorspread.request.deadline import time_left
from camphorspread.request.errors import Outcome
from camphorspread.request.memory_limit import may_hold_response, note_response
from camphorspread.request.peer_forward_codec import (
    ForwardMetadata,
    decode_forward_result,
    encode_forward,
    strip_own_headers,
)
from camphorspread.request.placement_board import (
    ForwardPlacement,
    LocalPlacement,
    find_run_times,
    has_scarce_capacity,
)
from camphorspread.request.placement_driver import grant_freed_slots
from camphorspread.request.routed_request import RoutedRequest
from camphorspread.request.run_statistics import record_peer_warmth, record_run_end
from camphorspread.request.send import (
    AnswerRule,
    NotSent,
    Reply,
    ResponseLost,
    SendResult,
    StreamedReply,
    Withheld,
    send_request,
)
from camphorspread.request.server_pause import (
    find_return_delay,
    is_long_pause,
    spread_return_delay,
)
from camphorspread.request.stated_facts import (
    count_stated_requests,
    note_forwarded_departure,
    note_pause,
    note_statements,
)

__all__ = [
    "SERVER_ERROR",
    "AttemptResult",
    "Failed",
    "Rejected",
    "Served",
    "attempt_forward",
    "attempt_local",
    "may_start",
]

PEER_SUSPENSION = timedelta(milliseconds=700)
SERVER_ERROR = 500
# The deadline sent to the next hop is earlier by this much, as it may respond only at its deadline.
RETURN_MARGIN = timedelta(milliseconds=10)


@attrs.frozen
class Served:
    """A backend server sent a complete response."""

    reply: Reply | StreamedReply
    detail: str = ""
    excluded: str = ""


@attrs.frozen
class Rejected:
    """The attempt didn't run and will not run later.

    Attributes:
        detail: Cause, for the log.
        excluded: Server or VM to which this request isn't sent again.
        was_sent: True if a backend server received it.
        retry_after: Suggested delay before the caller retries, None if unknown.
    """

    detail: str
    excluded: str
    was_sent: bool
    retry_after: timedelta | None = None


@attrs.frozen
class Failed:
    """The attempt may have run, but no complete response was received."""

    detail: str
    excluded: str


AttemptResult = Served | Rejected | Failed


async def attempt_local(
    state: SteeringState, job: RoutedRequest, place: LocalPlacement
) -> AttemptResult:
    """Send a request to a backend server; the slot has been released when this returns."""
    instance = place.instance
    started = state.clock.monotonic()
    was_sent = False
    may_have_run = job.may_have_run

    def prepare() -> RequestHead | None:
        nonlocal was_sent
        now = state.clock.monotonic()
        if now >= job.req.deadline or not may_send_to(state, instance, now):
            return None
        if not may_start(state, job) or not may_hold_response(state, job, may_have_run):
            return None
        expect_response(state.held, job.holding)
        was_sent = True
        job.sends += 1
        job.sent[before:] = [now]
        remaining = time_left(job.req.deadline, now)
        return state.dialect.encode_request(job.call, instance.name, remaining)

    def is_answer(response: ResponseHead) -> bool:
        # A response that names no request may be a late copy of an earlier one. Taken for the
        # response to this request, a copied refusal would assure that this request didn't run.
        facts = state.dialect.decode_response(response)
        if facts.request_id != job.call.request_id:
            return False
        # The pause begins before the body of the response has arrived.
        note_pause(state, job, instance, facts.pause)
        return True

    def is_refusal(response: ResponseHead) -> bool:
        return state.dialect.decode_response(response).is_not_run

    result: SendResult | None = None
    may_have_run, before = job.may_have_run, len(job.sent)
    job.may_have_run = True
    try:
        result = await send_request(
            state.pool,
            instance.report.address,
            prepare,
            job.body,
            AnswerRule(is_answer, is_refusal, job.call.request_id, not job.call.request_id),
            note_held=lambda size: note_response(state, job.holding, size),
        )
        outcome = classify_send(state, job, place, result, was_sent)
        if isinstance(outcome, Rejected):
            job.may_have_run = may_have_run
            del job.sent[before:]
        return outcome
    finally:
        now = state.clock.monotonic()
        run_s = (now - started).total_seconds()
        is_success = isinstance(result, Withheld) or (
            isinstance(result, Reply | StreamedReply) and not is_failure(result)
        )
        if result is None:
            # The caller disconnected or its deadline passed, which counts as a failure of the
            # server only if the run took far longer than expected.
            times = find_run_times(
                state.board, job.req.service, job.req.route, job.route.promised.total_seconds()
            )
            is_success = run_s < 3 * times.cold_s
        counted_s = run_s if isinstance(result, Reply) else None
        requests = None
        if isinstance(result, Reply | StreamedReply):
            facts = state.dialect.decode_response(result.head)
            requests = count_stated_requests(facts.load)
            if is_long_pause(facts.pause):
                is_success, counted_s = True, None
            if not facts.is_misdirected:
                note_statements(state, job, instance, facts, now)
        record_run_end(state.board, instance, job.req, is_success, counted_s, now, requests, place)
        grant_freed_slots(state, instance)


def may_start(state: SteeringState, job: RoutedRequest) -> bool:
    """Return True if a request that waited for a slot or a connection may still be sent.

    Meanwhile its key may have been withdrawn, or the process may have been told to stop before the
    request is certain to end.
    """
    return state.can_end_before_exit(job.deadline) and is_still_identified(state, job)


def may_send_to(state: SteeringState, instance: Instance, now: timedelta) -> bool:
    """Return True if a backend server that was chosen earlier may still be sent a request."""
    board = state.board
    is_known = board.registry.instances.get(instance.name) is instance
    return is_known and is_usable(instance, board.evacuated_zones, now)


def is_failure(reply: Reply | StreamedReply) -> bool:
    """Return True if the response has a server error status."""
    return reply.head.status >= SERVER_ERROR


def classify_send(
    state: SteeringState,
    job: RoutedRequest,
    place: LocalPlacement,
    result: SendResult,
    was_sent: bool,
) -> AttemptResult:
    """Map the result of a send to a backend server to the result of the attempt."""
    instance = place.instance
    match result:
        case NotSent(detail=detail):
            # A failed connection indicates that the server has stopped or is restarting.
            suspend_instance(state.board.registry, instance, state.clock.monotonic())
            state.pool.close_address(instance.report.address)
            state.log.write(
                Event.CONNECT_FAILED, address=str(instance.report.address), cause=detail
            )
            return Rejected(f"not sent: {detail}", instance.name, False)
        case Withheld():
            return Rejected("the request or the server is no longer allowed", instance.name, False)
        case ResponseLost(detail=detail):
            return Failed(detail, instance.name)
        case Reply() | StreamedReply():
            facts = state.dialect.decode_response(result.head)
            if facts.is_misdirected:
                remove_instance(state.board.registry, instance.name, state.clock.monotonic())
                return Rejected("a different server responded at the address", instance.name, False)
            if facts.is_not_run:
                now = state.clock.monotonic()
                return_delay = find_return_delay(state.board, job.req.service, now)
                if return_delay is not None:
                    return_delay = spread_return_delay(return_delay, state.next_ticket)
                return Rejected(
                    f"rejected with {result.head.status}", instance.name, was_sent, return_delay
                )
            return Served(result, f"status {result.head.status}", instance.name)


async def attempt_forward(
    state: SteeringState, job: RoutedRequest, place: ForwardPlacement
) -> AttemptResult:
    """Forward a request to another entry VM."""
    peer = place.peer
    was_prepared = False
    may_have_run, before = job.may_have_run, len(job.sent)

    def prepare() -> RequestHead | None:
        nonlocal was_prepared
        now = state.clock.monotonic()
        if now >= job.req.deadline or not may_start(state, job):
            return None
        if not may_hold_response(state, job, may_have_run):
            return None
        expect_response(state.held, job.holding)
        was_prepared = True
        return make_forward_head(state, job, peer, now)

    job.may_have_run = True
    try:
        result = await send_request(
            state.peer_pool,
            peer.peers,
            prepare,
            job.body,
            AnswerRule(lambda _response: True),
            note_held=lambda size: note_response(state, job.holding, size),
        )
    finally:
        # The request may wait at the other VM, which may send it at any time until now.
        if was_prepared:
            job.sent.append(state.clock.monotonic())
    outcome = classify_forward(state, job, peer, result)
    if isinstance(outcome, Rejected):
        job.may_have_run = may_have_run
        del job.sent[before:]
    return outcome


def make_forward_head(
    state: SteeringState, job: RoutedRequest, peer: EntryVm, now: timedelta
) -> RequestHead:
    """Return the head with which a request is forwarded to another entry VM.

    The time on the way there is subtracted from the time left and, under scarce capacity, that on
    the way back too: a run that ends in between would use a slot in vain.
    """
    is_scarce = has_scarce_capacity(state.board, job.req.service)
    on_the_way = timedelta(seconds=peer.round_trip_s / (1 if is_scarce else 2))
    remaining = time_left(job.req.deadline, now) - on_the_way
    forward = ForwardMetadata(
        job.req.service,
        job.req.route,
        job.req.object_key,
        job.req.rank,
        job.route.promised,
        job.req.promised_at - now - on_the_way,
        max(remaining - RETURN_MARGIN, timedelta(milliseconds=1)),
        tuple(job.req.excluded),
        job.req.home_regions,
        job.req.organisation,
        job.req.organisation_rank,
        state.table.revision if state.table else 0,
    )
    head = encode_forward(job.call.head, forward)
    return attrs.evolve(
        head, headers=tuple(item for item in head.headers if item[0] not in UNFORWARDED_HEADERS)
    )


UNFORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
    }
)


def classify_forward(
    state: SteeringState,
    job: RoutedRequest,
    peer: EntryVm,
    result: SendResult,
) -> AttemptResult:
    """Map the result of a forward to another entry VM to the result of the attempt."""
    match result:
        case NotSent(detail=detail):
            suspend_peer(state, peer, detail)
            return Rejected(f"{peer.vm} is unreachable: {detail}", peer.vm, False)
        case Withheld():
            return Rejected("the request is no longer allowed", peer.vm, False)
        case ResponseLost(detail=detail):
            job.sends += 1
            suspend_peer(state, peer, detail)
            return Failed(f"{peer.vm}: {detail}", peer.vm)
    facts = decode_forward_result(result.head)
    if facts is None:
        job.sends += 1
        return Failed(f"{peer.vm} sent a malformed response", peer.vm)
    job.sends += facts.sends
    note_forwarded_departure(state, job, facts.leaving)
    load = peer.loads.get(job.req.service)
    if load is not None:
        load.free = facts.free
    record_peer_warmth(peer, job.req, facts.is_fast)
    match facts.outcome:
        case Outcome.COMPLETED:
            head = attrs.evolve(result.head, headers=strip_own_headers(result.head.headers))
            return Served(attrs.evolve(result, head=head), f"status {head.status}", peer.vm)
        case Outcome.NOT_RUN:
            detail = f"{peer.vm} refused: {facts.kind.value if facts.kind else 'unknown'}"
            return Rejected(detail, peer.vm, facts.sends > 0, facts.retry_after)
        case _:
            return Failed(f"{peer.vm}: outcome unknown", peer.vm)


def suspend_peer(state: SteeringState, peer: EntryVm, detail: str) -> None:
    """Suspend forwarding to another VM for `PEER_SUSPENSION`."""
    peer.suspended_until = state.clock.monotonic() + PEER_SUSPENSION
    state.peer_pool.close_address(peer.peers)
    state.log.write(Event.CONNECT_FAILED, address=str(peer.peers), cause=detail)
