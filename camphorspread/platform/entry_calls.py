"""The platform's calls to an entry VM: readiness checks, and heartbeats of endpoints."""

from camphorspread.connection.exchange import Exchange
from camphorspread.platform.heartbeats import (
    InvalidHeartbeatError,
    decode_departure,
    decode_heartbeat,
    parse_call_path,
    respond_heartbeat,
)
from camphorspread.process.announcement_messages import NotAccepted
from camphorspread.process.announcements import process_announcement, process_departure
from camphorspread.process.events import Event
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["serve_endpoint_call", "serve_readiness"]

READY_PATH = b"/-/readyz"


async def serve_readiness(state: SteeringState, exchange: Exchange) -> None:
    """Respond to a readiness check: status 200 while this VM accepts clients."""
    if exchange.head.target.partition(b"?")[0] != READY_PATH:
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    await exchange.respond_json(200 if state.is_accepting else 503, {})


async def serve_endpoint_call(state: SteeringState, exchange: Exchange) -> None:
    """Handle a heartbeat or the departure of an endpoint."""
    call, instance = parse_call_path(exchange.head.target.decode("ascii", "replace"))
    data = await exchange.read_whole_body()
    match call:
        case "heartbeat":
            try:
                report = decode_heartbeat(instance, data)
            except InvalidHeartbeatError as exc:
                state.log.write(Event.ANNOUNCEMENT_REFUSED, instance=instance, cause=str(exc))
                await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
                return
            result = await process_announcement(state, report)
        case "departure":
            result = await process_departure(state, instance, decode_departure(instance, data))
        case _:
            await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
            return
    if isinstance(result, NotAccepted):
        state.log.write(Event.ANNOUNCEMENT_UNCONFIRMED, instance=instance, cause=result.cause)
    await respond_heartbeat(exchange, result)
