"""The server side of HTTP/1.1 connections."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import h11

from camphorspread.connection.exchange import (
    CallerDisconnectedError,
    Exchange,
    ProgressTimeoutError,
    RequestRefusedError,
    make_protocol_refusal,
    receive_into,
    refuse_or_abort,
)
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead, has_body, has_conflicting_lengths
from camphorspread.connection.network import Address, Stream
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = ["ExchangeHandler", "HttpServer"]

ExchangeHandler = Callable[[Exchange], Awaitable[None]]


@attrs.define(eq=False)
class HttpServer:
    """Serves HTTP exchanges on streams, one at a time on each connection.

    Attributes:
        handler: Called once for each request; it sends the response.
        limits: Limits of each connection.
        on_refused: Called with each refusal that this class sends.
        on_failed: Called with each unexpected exception of the handler.
        draining: True if connections close after their current exchange.
    """

    handler: ExchangeHandler
    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    on_refused: Callable[[Refusal, Address], None] = lambda _refusal, _peer: None
    on_failed: Callable[[Exception], None] = lambda _exc: None
    draining: bool = False
    open_connections: Counter[str] = attrs.field(factory=Counter)

    async def serve(self, stream: Stream) -> None:
        """Serve one connection until it closes."""
        host = stream.peer.host
        if self.open_connections[host] >= self.limits.connections_per_peer:
            stream.abort()
            return
        self.open_connections[host] += 1
        try:
            await self._serve_exchanges(stream)
        except (CallerDisconnectedError, ProgressTimeoutError):
            stream.abort()
        finally:
            self.open_connections[host] -= 1
            if not self.open_connections[host]:
                del self.open_connections[host]
            stream.close()

    async def _serve_exchanges(self, stream: Stream) -> None:
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)
        while True:
            try:
                head = await self._read_head(state, stream)
            except RequestRefusedError as exc:
                await self._refuse_head(state, stream, exc.refusal)
                return
            if head is None:
                return
            if not has_body(head.headers):
                # Consumes the end of the request, which needs no further bytes.
                state.next_event()
            exchange = Exchange(head, stream.peer, stream, state, self.limits)
            # `Connection: close` tells the client to send no further request on this connection.
            exchange.is_last = self.draining
            await self._handle(exchange)
            if exchange.aborted or exchange.is_last or state.our_state is h11.MUST_CLOSE:
                return
            if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self.handler(exchange)
        except RequestRefusedError as exc:
            self.on_refused(exc.refusal, exchange.peer)
            await refuse_or_abort(exchange, exc.refusal)
        except (CallerDisconnectedError, ProgressTimeoutError):
            raise
        except Exception as exc:
            # A bug in the handler must neither stop the process nor leave the client waiting.
            self.on_failed(exc)
            await refuse_or_abort(exchange, Refusal(ErrorKind.INTERNAL, "an internal error"))

    async def _read_head(self, state: h11.Connection, stream: Stream) -> RequestHead | None:
        """Return the next request head, or None if the client closes the connection.

        Raises:
            ProgressTimeoutError: No request began within the idle limit.
            RequestRefusedError: The head is malformed, or isn't complete within the time limit.
        """
        try:
            event = await self._receive_head_event(state, stream)
        except (ProgressTimeoutError, TimeoutError) as exc:
            if not state.trailing_data[0]:
                raise
            message = "the request head wasn't complete within the time limit"
            raise RequestRefusedError(Refusal(ErrorKind.HEAD_STALLED, message)) from exc
        match event:
            case h11.Request(method=method, target=target, headers=headers):
                head = RequestHead(bytes(method), bytes(target), tuple(headers))
                check_framing(head)
                return head
            case _:
                return None

    async def _receive_head_event(self, state: h11.Connection, stream: Stream) -> object:
        """Return the next event; a head that has begun must be complete within its limit."""
        event = next_head_event(state)
        while event is h11.NEED_DATA and not state.trailing_data[0]:
            await receive_into(state, stream, self.limits.idle)
            event = next_head_event(state)
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(self.limits.head.total_seconds()):
            while event is h11.NEED_DATA:
                await receive_into(state, stream, self.limits.head)
                event = next_head_event(state)
        return event

    async def _refuse_head(self, state: h11.Connection, stream: Stream, refusal: Refusal) -> None:
        self.on_refused(refusal, stream.peer)
        if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = RequestHead(b"GET", b"/")
            await Exchange(head, stream.peer, stream, state, self.limits).refuse(refusal)


def next_head_event(state: h11.Connection) -> object:
    """Return the next event of a connection that waits for a request head.

    Raises:
        RequestRefusedError: The bytes aren't a valid request head.
    """
    try:
        return state.next_event()
    except h11.RemoteProtocolError as exc:
        raise RequestRefusedError(make_protocol_refusal(exc)) from exc


def check_framing(head: RequestHead) -> None:
    """Refuse a head with both Content-Length and Transfer-Encoding.

    The next hop might use the other length and so find a second request inside the body.

    Raises:
        RequestRefusedError: The head has both headers.
    """
    if has_conflicting_lengths(head.headers):
        message = "the request has both Content-Length and Transfer-Encoding"
        raise RequestRefusedError(Refusal(ErrorKind.MALFORMED_REQUEST, message))
