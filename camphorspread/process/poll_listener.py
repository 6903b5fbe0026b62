"""Serves the polls of entry VMs and the operators' list of acknowledgements."""

import asyncio
from datetime import timedelta

from camphorspread.connection.server import Exchange
from camphorspread.process.control_metrics import record_poll
from camphorspread.process.control_state import ControlState
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.codec import encode, encode_deltas
from camphorspread.version.delivery import (
    HOLD_LIMIT,
    AskLeader,
    Hold,
    Poll,
    SendDeltas,
    SendWhole,
    acknowledge,
    decide_poll,
    has_catalogue_lease,
    list_acknowledgements,
)

__all__ = ["serve_acknowledgements", "serve_poll"]


async def serve_poll(state: ControlState, exchange: Exchange) -> None:
    """Answer a poll at once if there is a newer version, or after the hold time."""
    match await exchange.read_json():
        case {"vm": str(vm), "version": int(version), "hold_ms": int(hold_ms)}:
            poll = Poll(vm, version)
        case _:
            message = "a poll needs vm, version and hold_ms"
            await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
            return
    acknowledge(state.delivery, poll, state.clock.monotonic())
    hold = max(min(timedelta(milliseconds=hold_ms), HOLD_LIMIT), timedelta(0))
    await hold_poll(state, poll, state.clock.monotonic() + hold)
    response = make_poll_response(state, poll)
    record_poll(state.metrics, response)
    await exchange.respond_json(200, response)


async def hold_poll(state: ControlState, poll: Poll, end: timedelta) -> None:
    """Wait until there is something newer than the poll, or until the end."""
    while True:
        now = state.clock.monotonic()
        decision = decide_poll(state.delivery, state.catalogue.version, state.view, poll, now)
        if not isinstance(decision, Hold) or now >= end:
            return
        try:
            async with asyncio.timeout((end - now).total_seconds()):
                await state.changed.wait()
        except TimeoutError:
            return


def make_poll_response(state: ControlState, poll: Poll) -> dict[str, object]:
    """Return the JSON form of the response to a poll."""
    now, newest = state.clock.monotonic(), state.catalogue.version
    # A replica that is behind the entry VM can't vouch for the version that the VM runs.
    lease = has_catalogue_lease(state.view, now) and newest >= poll.version
    match decide_poll(state.delivery, newest, state.view, poll, now):
        case AskLeader(leader=leader):
            return {"leader": leader}
        case SendWhole():
            return {"lease": lease, "catalogue": encode(state.catalogue)}
        case SendDeltas(deltas=deltas):
            return {"lease": lease, "deltas": encode_deltas(deltas)}
        case Hold():
            return {"lease": lease}


async def serve_acknowledgements(state: ControlState, exchange: Exchange) -> None:
    """Serve `GET /v1/acknowledgements`."""
    now, newest = state.clock.monotonic(), state.catalogue.version
    value = {
        "version": newest,
        "acknowledgements": [
            {
                "vm": item.vm,
                "version": item.version,
                "age_ms": int((now - item.heard).total_seconds() * 1000),
                "state": acknowledgement_state.value,
            }
            for item, acknowledgement_state in list_acknowledgements(state.delivery, newest, now)
        ],
    }
    await exchange.respond_json(200, value)
