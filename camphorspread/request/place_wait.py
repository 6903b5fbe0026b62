"""Waits for the place of a request, and gives places to those that wait when one is free."""

import asyncio
from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.steering_metrics import record_wait
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.placement_board import Pass, PlacementRequest, Start
from camphorspread.request.run_learning import start_run
from camphorspread.request.waiting import (
    Granted,
    Refused,
    Waiter,
    ask_for_place,
    grant_slot,
    leave_list,
    review_waiting,
)

__all__ = ["give_free_places", "give_slot", "tick_waiting", "wait_for_place"]

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
                give_back(state, fut.result())
            raise
        finally:
            state.futures.pop(waiter.ticket, None)
            record_wait(state.metrics, req.service, state.clock.monotonic() - started)
    else:
        take(state, decision, req.service)
    match decision:
        case Granted(place=place):
            kind = "start" if isinstance(place, Start) else "pass"
            state.metrics.places[(req.service, kind)] += 1
            return place
        case Refused() as refused:
            return refused


def take(state: SteeringState, decision: Granted | Refused, service: str) -> None:
    """Count a granted place as taken."""
    match decision:
        case Granted(place=Start(instance=instance)):
            start_run(instance, state.clock.monotonic())
        case Granted(place=Pass(peer=peer)):
            peer.loads[service].free -= 1


def give_back(state: SteeringState, decision: Granted | Refused) -> None:
    """Free a granted place that isn't used, and give it to the next request."""
    match decision:
        case Granted(place=Start(instance=instance)):
            instance.in_flight -= 1
            give_slot(state, instance)


def give_slot(state: SteeringState, instance: Instance) -> None:
    """Give the free slots of a backend server to waiting requests."""
    waiters = state.waiting.by_service.get(instance.report.service)
    while waiters:
        decision = grant_slot(state.board, state.waiting, instance, state.clock.monotonic())
        if decision is None:
            return
        hand_out(state, decision, instance.report.service)


def give_free_places(state: SteeringState, service: str) -> None:
    """Decide anew about waiting requests of a service."""
    while True:
        now = state.clock.monotonic()
        decisions = review_waiting(state.board, state.waiting, service, now)
        for decision in decisions:
            hand_out(state, decision, service)
        if not any(isinstance(decision, Granted) for decision in decisions):
            return


def hand_out(state: SteeringState, decision: Granted | Refused, service: str) -> None:
    """Tell a waiting request what was decided."""
    fut = state.futures.get(decision.ticket)
    if fut is not None and not fut.done():
        take(state, decision, service)
        fut.set_result(decision)


async def tick_waiting(state: SteeringState) -> None:
    """Look at the waiting requests again and again, until cancelled."""
    while True:
        await asyncio.sleep(TICK.total_seconds())
        for service in [name for name, waiters in state.waiting.by_service.items() if waiters]:
            give_free_places(state, service)
