"""Applies the bound on held memory to requests: pauses the reading of bodies, refuses, releases."""

import asyncio
from datetime import timedelta

from camphorspread.connection.disconnect import (
    Disconnected,
    Finished,
    TimedOut,
    run_while_connected,
)
from camphorspread.connection.exchange import CallerDisconnectedError, Exchange
from camphorspread.process.held_memory import (
    HeldKind,
    Holding,
    ReadOn,
    Refuse,
    StopReading,
    Urgency,
    hold,
    judge_reading,
    judge_request,
    note_refusal,
)
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.caller_identity import check_identity
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.routed_request import Denied, RoutedRequest

__all__ = [
    "check_memory",
    "check_unsent",
    "deny_for_memory",
    "drop_body",
    "drop_response",
    "may_hold_response",
    "note_response",
    "reserve_body",
]


def check_memory(state: SteeringState, urgency: Urgency, stage: str) -> Denied | None:
    """Return the refusal of a request that hasn't been sent, None if it may be served.

    Args:
        state: State of this VM.
        urgency: Ranks of the request.
        stage: What would follow, for the metric.
    """
    match judge_request(state.held, urgency):
        case Refuse():
            return deny_for_memory(state, stage)
        case _:
            return None


def check_unsent(state: SteeringState, job: RoutedRequest) -> Denied | None:
    """Return the refusal of a request whose last attempt wasn't sent, None if it may continue."""
    denied = check_identity(state, job)
    if denied is not None or job.may_have_run:
        return denied
    return check_memory(state, job.holding.urgency, "send")


def may_hold_response(state: SteeringState, job: RoutedRequest, may_have_run: bool) -> bool:
    """Return True if a request may be sent, as its response will have to be held.

    A request that may have run is sent again regardless: a refusal would assure that it didn't run.

    Args:
        state: State of this VM.
        job: The request.
        may_have_run: True if an earlier attempt may have run.
    """
    return may_have_run or not isinstance(judge_request(state.held, job.holding.urgency), Refuse)


def deny_for_memory(state: SteeringState, stage: str) -> Denied:
    """Count a refusal for memory and return it."""
    state.metrics.memory_refusals[(stage,)] += 1
    refusal = Refusal(ErrorKind.OVERLOADED, "this VM holds too much for other callers")
    return Denied(refusal, note_refusal(state.held))


async def reserve_body(
    state: SteeringState, exchange: Exchange, holding: Holding, size: int, until: timedelta
) -> bool:
    """Count the body of a request as soon as it may be read; return False at the time limit.

    Args:
        state: State of this VM.
        exchange: Exchange of the request.
        holding: What is held for it.
        size: Bytes of the body that will be buffered at most.
        until: Time limit.

    Raises:
        CallerDisconnectedError: The caller left.
    """
    match judge_reading(state.held, holding.urgency):
        case ReadOn():
            hold(state.held, holding, HeldKind.BODY, size)
            return True
        case StopReading():
            waiting = wait_for_release(state, holding.urgency)
    limit = until - state.clock.monotonic()
    try:
        match await run_while_connected(waiting, exchange.stream, limit):
            case Finished():
                hold(state.held, holding, HeldKind.BODY, size)
                return True
            case Disconnected():
                raise CallerDisconnectedError
            case TimedOut():
                return False
    finally:
        resume_reader(state)


async def wait_for_release(state: SteeringState, urgency: Urgency) -> None:
    """Wait until a body with these ranks may be read."""
    number = state.next_reader
    state.next_reader += 1
    state.held.on_released = lambda: resume_reader(state)
    paused = state.paused_readers.setdefault(urgency, {})
    try:
        while isinstance(judge_reading(state.held, urgency), StopReading):
            # A request that was resumed in vain keeps its place.
            paused[number] = asyncio.get_running_loop().create_future()
            await paused[number]
    finally:
        paused.pop(number, None)
        if not paused:
            state.paused_readers.pop(urgency, None)
        if not state.paused_readers:
            state.held.on_released = None


def resume_reader(state: SteeringState) -> None:
    """Resume the most urgent and oldest paused request if its body may be read.

    It resumes the next one itself once its body is counted.
    """
    if not state.paused_readers:
        return
    urgency = min(state.paused_readers)
    future = next(iter(state.paused_readers[urgency].values()))
    if not future.done() and isinstance(judge_reading(state.held, urgency), ReadOn):
        future.set_result(None)


def note_response(state: SteeringState, holding: Holding, size: int) -> None:
    """Record how many bytes of a response are buffered; the expected ones stay counted."""
    if size > holding.sizes.get(HeldKind.RESPONSE, 0):
        hold(state.held, holding, HeldKind.RESPONSE, size)


def drop_response(state: SteeringState, holding: Holding) -> None:
    """Record that the response to an attempt isn't needed, or that there was none."""
    hold(state.held, holding, HeldKind.RESPONSE, 0)


def drop_body(state: SteeringState, job: RoutedRequest) -> None:
    """Drop the body of a request that isn't sent again."""
    job.body.held = b""
    hold(state.held, job.holding, HeldKind.BODY, 0)
