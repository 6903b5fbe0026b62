"""Waits for the place of a request, and gives places to those that wait when one is free."""

import asyncio
from datetime import timedelta

from camphorspread.process.steering_metrics import record_wait
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.placement import Pass, PlacementRequest, Start, start_run
from camphorspread.request.waiting import (
    Granted,
    Refused,
    Waiter,
    ask_for_place,
    grant_places,
    leave_list,
)

__all__ = ["give_free_places", "tick_waiting", "wait_for_place"]

# Room at other VMs, cold servers' rates and passing time change without an event here.
TICK = timedelta(milliseconds=40)


async def wait_for_place(
    state: SteeringState, req: PlacementRequest, promised: timedelta
) -> Start | Pass | Refused:
    """Return the place of a request, or why it gets none.

    A granted place counts as taken; `give_back` undoes that for one that isn't used.
    """
    started = state.clock.monotonic()
    state.next_ticket += 1
    waiter = Waiter(state.next_ticket, req, promised.total_seconds())
    decision = ask_for_place(state.board, state.waiting, waiter, started)
    if decision is None:
        fut = asyncio.get_running_loop().create_future()
        state.futures[waiter.ticket] = fut
        try:
            decision = await fut
        except asyncio.CancelledError:
            leave_list(state.board, state.waiting, waiter)
            if fut.done() and not fut.cancelled():
                give_back(state, fut.result(), req)
            raise
        finally:
            state.futures.pop(waiter.ticket, None)
            record_wait(state.metrics, req.service, state.clock.monotonic() - started)
    else:
        take(state, decision, req)
    match decision:
        case Granted(place=place):
            kind = "start" if isinstance(place, Start) else "pass"
            state.metrics.places[(req.service, kind)] += 1
            return place
        case Refused() as refused:
            return refused


def take(state: SteeringState, decision: Granted | Refused, req: PlacementRequest) -> None:
    """Count a granted place as taken."""
    match decision:
        case Granted(place=Start(instance=instance)):
            start_run(instance, state.clock.monotonic())
        case Granted(place=Pass(peer=peer)):
            peer.loads[req.service].free -= 1


def give_back(state: SteeringState, decision: Granted | Refused, req: PlacementRequest) -> None:
    """Free a granted place that isn't used, and give it to the next request."""
    match decision:
        case Granted(place=Start(instance=instance)):
            instance.in_flight -= 1
            give_free_places(state, req.service)


def give_free_places(state: SteeringState, service: str) -> None:
    """Give places to waiting requests of a service."""
    while True:
        waiters = state.waiting.by_service.get(service, {})
        reqs = {ticket: waiter.req for ticket, waiter in waiters.items()}
        decisions = grant_places(state.board, state.waiting, service, state.clock.monotonic())
        for decision in decisions:
            fut = state.futures.get(decision.ticket)
            if fut is None or fut.done():
                continue
            take(state, decision, reqs[decision.ticket])
            fut.set_result(decision)
        if not any(isinstance(decision, Granted) for decision in decisions):
            return


async def tick_waiting(state: SteeringState) -> None:
    """Look at the waiting requests again and again, until cancelled."""
    while True:
        await asyncio.sleep(TICK.total_seconds())
        for service in [name for name, waiters in state.waiting.by_service.items() if waiters]:
            give_free_places(state, service)
