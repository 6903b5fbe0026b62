"""Sends a backend server's response to the caller or to the entry VM that forwarded the request."""

import asyncio
from datetime import timedelta

from camphorspread.connection.client import InvalidResponseError
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import ResponseHead
from camphorspread.connection.network import READ_BYTES
from camphorspread.process.events import Event
from camphorspread.process.held_memory import HeldKind, Holding, hold, learn_response
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.send import Reply, StreamedReply

__all__ = ["send_reply"]


async def send_reply(
    state: SteeringState,
    exchange: Exchange,
    head: ResponseHead,
    reply: Reply | StreamedReply,
    service: str,
    limit: timedelta,
    holding: Holding,
) -> None:
    """Send a response; if it breaks off, reset the connection so that it can't appear complete.

    Args:
        state: State of this VM.
        exchange: Exchange of the request.
        head: Head to send.
        reply: Response of the backend server, whose body is sent.
        service: Service of the backend server, for the log.
        limit: Time after which a streamed response is cut, as its body may never end.
        holding: What is held for the request.
    """
    match reply:
        case Reply(body=body):
            learn_response(state.held, len(body))
            hold(state.held, holding, HeldKind.RESPONSE, 0)
            hold(state.held, holding, HeldKind.UNSENT, len(body))
            await exchange.respond(head, body)
        case StreamedReply(held=held):
            learn_response(state.held, len(held))
            hold(state.held, holding, HeldKind.RESPONSE, 0)
            hold(state.held, holding, HeldKind.UNSENT, len(held) + READ_BYTES)
            try:
                async with asyncio.timeout(max(limit.total_seconds(), 0)):
                    await stream_body(exchange, head, reply)
            except (InvalidResponseError, TimeoutError) as exc:
                cause = str(exc) or "the body didn't end before the deadline"
                state.log.write(Event.RESPONSE_CUT, service=service, cause=cause)
                return
    if state.held.bound is not None:
        # A caller that reads slowly would otherwise leave a part of each response in the send
        # buffer of its connection, uncounted.
        await exchange.wait_until_sent()


async def stream_body(exchange: Exchange, head: ResponseHead, reply: StreamedReply) -> None:
    """Send head and body of a streamed response; reset both connections if it breaks off."""
    try:
        exchange.start_response(head)
        await exchange.send_body(reply.held)
        while chunk := await reply.conn.read_body():
            await exchange.send_body(chunk)
        await exchange.finish()
    except BaseException:
        reply.conn.abort()
        exchange.abort()
        raise
    reply.pool.release(reply.conn)
