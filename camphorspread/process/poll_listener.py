"""Handlers of catalogue polls from entry VMs and of the list of acknowledgements."""

import asyncio
import json
from datetime import timedelta

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.process.control_metrics import record_poll
from camphorspread.process.control_state import ControlState
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.codec import encode, encode_deltas
from camphorspread.version.delivery import (
    LONG_POLL_LIMIT,
    HoldPoll,
    Poll,
    RedirectToLeader,
    SendDeltas,
    SendFullCatalogue,
    decide_poll,
    has_catalogue_lease,
    list_acknowledgements,
    record_acknowledgement,
)

__all__ = ["serve_acknowledgements", "serve_poll"]


async def serve_poll(state: ControlState, exchange: Exchange) -> None:
    """Serve a long poll: respond once there is a newer version, or after the hold time."""
    match await exchange.read_json():
        case {"vm": str(vm), "version": int(version), "hold_ms": int(hold_ms)}:
            poll = Poll(vm, version)
        case _:
            message = "a poll needs vm, version and hold_ms"
            await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, message))
            return
    record_acknowledgement(state.delivery, poll, state.clock.monotonic())
    hold = max(min(timedelta(milliseconds=hold_ms), LONG_POLL_LIMIT), timedelta(0))
    await hold_poll(state, poll, state.clock.monotonic() + hold)
    head = ResponseHead(200, ((b"content-type", b"application/json"),))
    await exchange.respond(head, make_poll_response(state, poll))


async def hold_poll(state: ControlState, poll: Poll, end: timedelta) -> None:
    """Wait until there is a newer version than the polled one, or until the end."""
    while True:
        now = state.clock.monotonic()
        decision = decide_poll(state.delivery, state.catalogue.version, state.view, poll, now)
        if not isinstance(decision, HoldPoll) or now >= end:
            return
        try:
            async with asyncio.timeout((end - now).total_seconds()):
                await state.poll_changed.wait()
        except TimeoutError:
            return


def make_poll_response(state: ControlState, poll: Poll) -> bytes:
    """Return the body of the response to a poll."""
    now, newest = state.clock.monotonic(), state.catalogue.version
    # A replica that is behind the entry VM can't grant a lease for the version that the VM uses.
    lease = has_catalogue_lease(state.view, now) and newest >= poll.version
    decision = decide_poll(state.delivery, newest, state.view, poll, now)
    record_poll(state.metrics, decision, lease)
    match decision:
        case RedirectToLeader(leader=leader):
            return encode_json({"leader": leader})
        case SendFullCatalogue():
            return b'{"lease":%b,"catalogue":%b}' % (
                encode_json(lease),
                encode_cached_catalogue(state),
            )
        case SendDeltas(deltas=deltas):
            return encode_json({"lease": lease, "deltas": encode_deltas(deltas)})
        case HoldPoll():
            return encode_json({"lease": lease})


def encode_cached_catalogue(state: ControlState) -> bytes:
    """Return the JSON of the catalogue, encoded once for each version.

    When an availability zone returns, its entry VMs send their first polls at the same time. With
    a large catalogue, one encoding per poll blocked the loop for longer than the leader lease.
    """
    catalogue = state.catalogue
    if state.encoded_catalogue is None or state.encoded_catalogue[0] is not catalogue:
        state.encoded_catalogue = catalogue, encode_json(encode(catalogue))
    return state.encoded_catalogue[1]


def encode_json(value: object) -> bytes:
    """Return compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


async def serve_acknowledgements(state: ControlState, exchange: Exchange) -> None:
    """Serve `GET /v1/acknowledgements`."""
    now, newest = state.clock.monotonic(), state.catalogue.version
    value = {
        "version": newest,
        "acknowledgements": [
            {
                "vm": item.vm,
                "version": item.version,
                "age_ms": int((now - item.received_at).total_seconds() * 1000),
                "state": acknowledgement_state.value,
            }
            for item, acknowledgement_state in list_acknowledgements(state.delivery, newest, now)
        ],
    }
    await exchange.respond_json(200, value)
