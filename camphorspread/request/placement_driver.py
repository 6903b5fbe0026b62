"""Awaits the placement of a request, and places queued requests when capacity becomes free."""

import asyncio
from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.steering_metrics import record_wait
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.placement_board import ForwardPlacement, LocalPlacement, PlacementRequest
from camphorspread.request.placement_queue import (
    Granted,
    Refused,
    Waiter,
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
    state: SteeringState, req: PlacementRequest, promised: timedelta
) -> LocalPlacement | ForwardPlacement | Refused:
    """Return the placement of a request, or its refusal.

    The capacity of a granted placement is reserved; `release_unused` frees it if it isn't used.
    """
    started = state.clock.monotonic()
    state.next_ticket += 1
    waiter = Waiter(state.next_ticket, req, promised.total_seconds())
    decision = request_placement(state.board, state.waiting, waiter, started)
    if decision is None:
        fut = asyncio.get_running_loop().create_future()
        state.waiting_futures[waiter.ticket] = fut
        state.has_waiting.set()
        try:
            decision = await fut
        except asyncio.CancelledError:
            remove_waiter(state.board, state.waiting, waiter)
            if fut.done() and not fut.cancelled():
                release_unused(state, fut.result())
            raise
        finally:
            state.waiting_futures.pop(waiter.ticket, None)
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


def review_queue(state: SteeringState, service: str) -> None:
    """Review the queued requests of a service until no further one is granted."""
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
