"""Applies admission decisions: each queued request awaits a future that a decision resolves."""

import asyncio
import contextlib

from returns.result import Failure, Result, Success

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import has_body
from camphorspread.process.endpoints import Endpoint
from camphorspread.process.entry_state import EntryState
from camphorspread.process.region_share import compute_limits
from camphorspread.request.admission import (
    AdmissionLimits,
    AdmissionRequest,
    Effect,
    Granted,
    Refused,
    admit,
    grant_waiting,
    release,
    remove_queued,
)
from camphorspread.request.errors import Refusal

__all__ = ["CallerLeftError", "admit_request", "grant_free_slots", "release_slot"]


class CallerLeftError(Exception):
    """The caller closed its connection while its request waited."""


async def admit_request(
    state: EntryState, exchange: Exchange, req: AdmissionRequest, may_wait: bool
) -> Result[Endpoint, Refusal]:
    """Acquire a slot, waiting in the queue if necessary.

    Cancelling this coroutine removes the request from the queue and releases a slot that was just
    granted.

    Returns:
        The endpoint whose slot was acquired, or a refusal.

    Raises:
        CallerLeftError: The caller closed its connection.
    """
    fut = asyncio.get_running_loop().create_future()
    state.waiting[req.ticket] = fut
    now = state.clock.monotonic()
    apply_effects(
        state, admit(state.admission, compute_limits(state, now, req.service), req, now, may_wait)
    )
    try:
        if not fut.done():
            await wait_for_slot(exchange, fut)
    except BaseException:
        leave_queue(state, req, fut)
        raise
    return fut.result()


async def wait_for_slot(exchange: Exchange, fut: asyncio.Future) -> None:
    """Wait for the future, or until the caller of a request without a body disconnects."""
    if has_body(exchange.head.headers):
        # The body stays unread for back-pressure, so a disconnect can't be detected.
        await asyncio.wait({fut})
        return
    await exchange.read_body()
    disconnected = asyncio.create_task(exchange.wait_for_disconnect())
    try:
        await asyncio.wait({fut, disconnected}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        disconnected.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disconnected
    if not fut.done():
        raise CallerLeftError


def leave_queue(state: EntryState, req: AdmissionRequest, fut: asyncio.Future) -> None:
    """Remove a request from the queue and release a slot granted in the meantime."""
    state.waiting.pop(req.ticket, None)
    remove_queued(state.admission, req.ticket)
    if fut.done() and not fut.cancelled() and isinstance(fut.result(), Success):
        release_slot(state, fut.result().unwrap())


def release_slot(state: EntryState, endpoint: Endpoint) -> None:
    """Release a slot and grant it to the head of the queue."""
    now = state.clock.monotonic()
    # An empty queue needs no limits, and computing them costs more than the release itself.
    limits = compute_limits(state, now) if state.admission.waiting else AdmissionLimits()
    apply_effects(state, release(state.admission, limits, endpoint, now))


def grant_free_slots(state: EntryState) -> None:
    """Grant queued requests after endpoints, slots or shares have changed."""
    if state.admission.waiting:
        now = state.clock.monotonic()
        apply_effects(state, grant_waiting(state.admission, compute_limits(state, now), now))


def apply_effects(state: EntryState, effects: list[Effect]) -> None:
    """Resolve the futures of granted and refused requests."""
    for effect in effects:
        fut = state.waiting.pop(effect.ticket)
        match effect:
            case Granted(endpoint=endpoint):
                fut.set_result(Success(endpoint))
            case Refused(refusal=refusal):
                fut.set_result(Failure(refusal))
