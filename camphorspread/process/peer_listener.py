"""The listener of an entry process for other processes of the fleet."""

from returns.result import Failure

from camphorspread.connection.access_key import check_access_key
from camphorspread.connection.exchange import Exchange
from camphorspread.process.entry_state import EntryState
from camphorspread.process.forward_handler import handle_forwarded_request
from camphorspread.process.handover import serve_handover
from camphorspread.process.membership_codec import decode_digest, decode_heartbeat
from camphorspread.process.membership_exchange import (
    DigestArrived,
    HeartbeatArrived,
    RequestFullSummary,
)
from camphorspread.process.membership_shell import execute_effect, handle_membership_event
from camphorspread.process.message_format import check_message_format
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.forwarding import FORWARD_PREFIX

__all__ = ["handle_peer"]


async def handle_peer(state: EntryState, exchange: Exchange) -> None:
    """Serve one exchange of the peers' listener."""
    match check_access_key(exchange.head.headers, state.link.access_key):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    if exchange.head.target.startswith(FORWARD_PREFIX):
        await handle_forwarded_request(state, exchange)
        return
    match check_message_format(exchange, state.log, state.refused_formats):
        case Failure(refusal):
            await exchange.refuse(refusal)
            return
    match exchange.head.method, exchange.head.target:
        case b"POST", b"/v1/peer/heartbeat":
            await serve_heartbeat(state, exchange)
        case b"POST", b"/v1/peer/summary":
            await serve_summary(state, exchange)
        case b"POST", b"/v1/peer/handover":
            await serve_handover(state, exchange)
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))


async def serve_heartbeat(state: EntryState, exchange: Exchange) -> None:
    """Serve `POST /v1/peer/heartbeat`."""
    value = await exchange.read_json()
    try:
        stated, uptime = decode_heartbeat(value, state.clock.monotonic())
    except (ValueError, TypeError) as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    handle_membership_event(state, HeartbeatArrived(stated, uptime))
    await exchange.respond_json(200, {})


async def serve_summary(state: EntryState, exchange: Exchange) -> None:
    """Serve `POST /v1/peer/summary`; the response names the delegates to send whole."""
    value = await exchange.read_json()
    try:
        sender, summaries = decode_digest(value, state.clock.monotonic())
    except (ValueError, TypeError) as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    effects = handle_membership_event(state, DigestArrived(sender, summaries))
    value = {}
    for effect in effects:
        match effect:
            case RequestFullSummary(sources=sources):
                value = {"whole": sources}
    await exchange.respond_json(200, value)
    for effect in effects:
        await execute_effect(state, effect)
