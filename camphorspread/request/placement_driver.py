"""Awaits the placement of a request, and places queued requests when capacity becomes free."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.steering_metrics import record_wait
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.displacement import refuse_displaced
from camphorspread.request.placement_board import ForwardPlacement, LocalPlacement, PlacementRequest
from camphorspread.request.placement_queue import (
    Granted,
    Refused,
    Waiter,
    count_decision,
    grant_slot,
    remove_waiter,
    request_placement,
    review_waiters,
)
from camphorspread.request.run_statistics import record_run_start

__all__ = ["grant_freed_slots", "review_periodically", "review_queue", "wait_for_placement"]

# Interval of the review that picks up changes without a local event: free slots at other VMs, the
# rate limits of cold servers, and elapsed deadlines.
REVIEW_INTERVAL = timedelta(milliseconds=40)


async def wait_for_placement(
    state: SteeringState,
    req: PlacementRequest,
    promised: timedelta,
    may_wait: Callable[[], bool] = lambda: True,
) -> LocalPlacement | ForwardPlacement | Refused:
    """Return the placement of a request, or its refusal.

    The capacity of a granted placement is reserved; `release_unused` frees it if it isn't used.

    Args:
        state: State of this VM.
        req: The request.
        promised: Promised response time of its route.
        may_wait: Returns False once the request may no longer run; it is then refused with the next
            review, so that it doesn't occupy the queue.
    """
    started = state.clock.monotonic()
    state.next_ticket += 1
    waiter = Waiter(state.next_ticket, req, promised.total_seconds())
    decision = request_placement(state.board, state.waiting, waiter, started)
    if decision is None:
        fut = asyncio.get_running_loop().create_future()
        state.waiting_futures[waiter.ticket] = fut
        state.waiting_checks[waiter.ticket] = may_wait
        state.has_waiting.set()
        for refusal in refuse_displaced(state.board, state.waiting, waiter, started):
            resolve_waiter(state, refusal, req.service)
        try:
            decision = await fut
        except asyncio.CancelledError:
            remove_waiter(state.board, state.waiting, waiter)
            if not fut.done() or fut.cancelled():
                count_decision(state.board, waiter, False, state.clock.monotonic())
            if fut.done() and not fut.cancelled():
                release_unused(state, fut.result())
            raise
        finally:
            state.waiting_futures.pop(waiter.ticket, None)
            state.waiting_checks.pop(waiter.ticket, None)
            record_wait(state.metrics, req.service, state.clock.monotonic() - started)
    else:
        reserve_capacity(state, decision, req.service)
    match decision:
        case Granted(place=place):
            kind = "start" if isinstance(place, LocalPlacement) else "pass"
            state.metrics.places[(req.service, kind)] += 1
            return place
        case Refused() as refused:
            return refused


def reserve_capacity(state: SteeringState, decision: Granted | Refused, service: str) -> None:
    """Reserve the capacity of a granted placement."""
    match decision:
        case Granted(place=LocalPlacement(instance=instance) as place):
            record_run_start(instance, state.clock.monotonic(), place)
        case Granted(place=ForwardPlacement(peer=peer)):
            peer.loads[service].free -= 1


def release_unused(state: SteeringState, decision: Granted | Refused) -> None:
    """Release an unused slot and grant it to the next queued request."""
    match decision:
        case Granted(place=LocalPlacement(instance=instance) as place):
            instance.in_flight -= 1
            instance.runs.pop(place, None)
            grant_freed_slots(state, instance)


def grant_freed_slots(state: SteeringState, instance: Instance) -> None:
    """Grant the free slots of a backend server to queued requests."""
    waiters = state.waiting.by_service.get(instance.report.service)
    while waiters:
        decision = grant_slot(state.board, state.waiting, instance, state.clock.monotonic())
        if decision is None:
            return
        resolve_waiter(state, decision, instance.report.service)


def refuse_disallowed(state: SteeringState, service: str) -> None:
    """Refuse the queued requests of a service that may no longer run."""
    waiters = state.waiting.by_service.get(service, {})
    for waiter in list(waiters.values()):
        may_wait = state.waiting_checks.get(waiter.ticket)
        if may_wait is not None and not may_wait():
            remove_waiter(state.board, state.waiting, waiter)
            resolve_waiter(state, Refused(waiter.ticket, timedelta(0)), service)


def review_queue(state: SteeringState, service: str) -> None:
    """Review the queued requests of a service until no further one is granted."""
    refuse_disallowed(state, service)
    while True:
        now = state.clock.monotonic()
        decisions = review_waiters(state.board, state.waiting, service, now)
        for decision in decisions:
            resolve_waiter(state, decision, service)
        if not any(isinstance(decision, Granted) for decision in decisions):
            return


def resolve_waiter(state: SteeringState, decision: Granted | Refused, service: str) -> None:
    """Resolve the future of a queued request with its decision."""
    fut = state.waiting_futures.get(decision.ticket)
    if fut is not None and not fut.done():
        reserve_capacity(state, decision, service)
        fut.set_result(decision)


async def review_periodically(state: SteeringState) -> None:
    """Review the queued requests of all services periodically, until cancelled.

    The task sleeps while no request is queued, as each wake-up of an idle VM costs processor time.
    """
    while True:
        if not state.waiting_futures:
            state.has_waiting.clear()
            await state.has_waiting.wait()
        await asyncio.sleep(REVIEW_INTERVAL.total_seconds())
        for service in [name for name, waiters in state.waiting.by_service.items() if waiters]:
            review_queue(state, service)
