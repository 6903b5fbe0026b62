"""One request on a server connection and its response."""

import asyncio
import json
from datetime import timedelta

import attrs
import h11

from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.connection.network import Address, Stream
from camphorspread.request.errors import ErrorKind, Refusal

__all__ = [
    "ENDED_STATES",
    "CallerDisconnectedError",
    "Exchange",
    "ProgressTimeoutError",
    "RequestRefusedError",
    "make_protocol_refusal",
    "receive_into",
    "refuse_or_abort",
]


class CallerDisconnectedError(Exception):
    """The client closed or reset the connection before the exchange was complete."""


class ProgressTimeoutError(Exception):
    """The client sent or read no bytes within the progress limit."""


class RequestRefusedError(Exception):
    """The request violates HTTP or exceeds a limit.

    Attributes:
        refusal: The error response, which is sent if no response has begun.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal and use its message."""
        super().__init__(refusal.message)
        self.refusal = refusal


ENDED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


@attrs.define(eq=False)
class Exchange:
    """One request on a server connection and its response.

    Attributes:
        head: Head of the request.
        peer: Address of the client.
        stream: Stream of the connection.
        state: HTTP state of the connection.
        limits: Limits of the connection.
        response_started: True once a part of the response may have been sent.
        aborted: True once the connection was reset or its HTTP state was replaced after an error,
            so that it can't carry another request.
        is_last: True if the connection closes after this exchange.
        status: Status of the response; 0 before its head.
        is_complete: True once the whole response was sent.
        refusal: The refusal that was sent or for which the connection was reset.
        received_bytes: Body bytes received.
        sent_bytes: Body bytes sent; with `respond` also those that a response to HEAD omits.
        unsent_head: Encoded response head that is sent with the next write.
    """

    head: RequestHead
    peer: Address
    stream: Stream
    state: h11.Connection
    limits: ConnectionLimits
    response_started: bool = False
    aborted: bool = False
    is_last: bool = False
    status: int = 0
    is_complete: bool = False
    refusal: Refusal | None = None
    received_bytes: int = 0
    sent_bytes: int = 0
    unsent_head: bytes = b""

    @property
    def has_whole_body(self) -> bool:
        """True once the request body was read to its end."""
        return self.state.their_state is not h11.SEND_BODY

    async def read_body(self) -> bytes:
        """Return the next part of the request body, or `b""` at its end.

        A client that waits for status 100 gets it here, when the body is first read.

        Raises:
            CallerDisconnectedError: The connection was closed within the body.
            ProgressTimeoutError: No bytes arrived within the progress limit.
            RequestRefusedError: The framing of the body is invalid.
        """
        if self.state.their_state in ENDED_STATES:
            return b""
        while True:
            if self.state.they_are_waiting_for_100_continue:
                await self.send_continue()
            event = self._next_event()
            match event:
                case h11.Data(data=data):
                    if data:
                        self.received_bytes += len(data)
                        return bytes(data)
                case h11.EndOfMessage():
                    return b""
                case h11.ConnectionClosed():
                    raise CallerDisconnectedError
                case h11.NEED_DATA:
                    await self._receive()
                case _:
                    return b""

    async def read_whole_body(self) -> bytes:
        """Read the whole request body, up to the limit for JSON messages.

        Raises:
            RequestRefusedError: The body exceeds the limit for JSON messages.
        """
        parts: list[bytes] = []
        size = 0
        while part := await self.read_body():
            size += len(part)
            if size > self.limits.json_body_bytes:
                message = f"the body exceeds {self.limits.json_body_bytes} bytes"
                raise RequestRefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, message))
            parts.append(part)
        return b"".join(parts)

    async def read_json(self) -> object:
        """Read the whole body as JSON.

        Raises:
            RequestRefusedError: The body exceeds the limit or isn't valid JSON.
        """
        data = await self.read_whole_body()
        try:
            return json.loads(data)
        except (ValueError, RecursionError) as exc:
            refusal = Refusal(ErrorKind.MALFORMED_REQUEST, "the body isn't valid JSON")
            raise RequestRefusedError(refusal) from exc

    async def send_continue(self) -> None:
        """Send status 100, which asks the client for the request body."""
        event = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
        await self._send(event)

    async def send_head(self, head: ResponseHead) -> None:
        """Send the head of the response."""
        self.start_response(head)
        await self.flush()

    def start_response(self, head: ResponseHead) -> None:
        """Begin the response; its head is sent with the first part of the body or by `flush`."""
        headers = [*head.headers, *self._closing_headers()]
        event = h11.Response(status_code=head.status, headers=headers)
        self.unsent_head = self.state.send(event)
        self.response_started = True
        self.status = head.status

    async def flush(self) -> None:
        """Send the head of the response if it hasn't been sent yet."""
        if self.unsent_head:
            await self._write(b"")

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self._send(h11.Data(data=data))
        self.sent_bytes += len(data)

    async def finish(self) -> None:
        """Send the end of the response."""
        await self._send(h11.EndOfMessage())
        await self.flush()
        self.is_complete = True

    def abort(self) -> None:
        """Reset the connection, so that a partial response can't be taken for a complete one."""
        self.aborted = True
        self.stream.abort()

    async def respond(self, head: ResponseHead, body: bytes = b"") -> None:
        """Send a whole response with a body of known length."""
        headers = [*head.headers, (b"content-length", b"%d" % len(body))]
        if self.is_last or self.state.their_state not in ENDED_STATES:
            # The server is draining, or the rest of the request body won't be read.
            headers.append((b"connection", b"close"))
        event = h11.Response(status_code=head.status, headers=headers)
        parts = [self.state.send(event)]
        self.response_started = True
        self.status = head.status
        if body and self.head.method != b"HEAD":
            parts.append(self.state.send(h11.Data(data=body)))
        parts.append(self.state.send(h11.EndOfMessage()))
        await self._write(b"".join(part for part in parts if part))
        self.sent_bytes += len(body)
        self.is_complete = True

    async def wait_until_sent(self) -> None:
        """Wait until the kernel has accepted the whole response.

        Raises:
            CallerDisconnectedError: The connection was reset.
            ProgressTimeoutError: This took longer than the progress limit.
        """
        if not self.stream.unsent_bytes:
            return
        try:
            async with asyncio.timeout(self.limits.progress.total_seconds()):
                await self.stream.wait_sent()
        except TimeoutError as exc:
            raise ProgressTimeoutError from exc
        except ConnectionError as exc:
            raise CallerDisconnectedError from exc

    async def respond_json(self, status: int, value: object, headers: tuple = ()) -> None:
        """Send a whole response as JSON."""
        body = json.dumps(value, separators=(",", ":")).encode()
        content_type = (b"content-type", b"application/json")
        await self.respond(ResponseHead(status, (content_type, *headers)), body)

    async def refuse(self, refusal: Refusal) -> None:
        """Send the error response for the refusal."""
        self.refusal = refusal
        if self.state.our_state is h11.ERROR:
            self._renew_state()
        response = refusal.response
        headers = (
            (b"camphorspread-error", refusal.kind.value.encode()),
            (b"camphorspread-outcome", response.outcome.value.encode()),
            (b"camphorspread-reason", refusal.reason.value.encode()),
        )
        value = {
            "error": refusal.kind.value,
            "outcome": response.outcome.value,
            "reason": refusal.reason.value,
            "message": refusal.message,
        }
        await self.respond_json(response.status, value, headers)

    async def discard_body(self, limit: timedelta) -> None:
        """Read and discard the rest of the request body after a response.

        Closing the connection while the client still sends would reset it, which may discard the
        response before the client has read it.

        Args:
            limit: Longest time for reading it.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                while await self.read_body():
                    pass
        except (TimeoutError, CallerDisconnectedError, ProgressTimeoutError, RequestRefusedError):
            return

    async def wait_for_disconnect(self) -> None:
        """Return when the client closes the connection; the request body must have been read.

        Bytes of a pipelined request that arrive meanwhile are kept for the next exchange.
        """
        while self.state.their_state is not h11.CLOSED:
            try:
                data = await self.stream.read()
            except ConnectionError:
                return
            self.state.receive_data(data)
            if not data:
                return
            if len(self.state.trailing_data[0]) > self.limits.header_bytes:
                # Many pipelined requests: leave the rest unread in the stream, for back-pressure,
                # and wait until cancelled.
                await asyncio.Event().wait()

    def _renew_state(self) -> None:
        """Replace the HTTP state after a response couldn't be encoded, to send another one.

        The new state gets a made-up HTTP/1.0 request with the original method, so that `h11` frames
        the response for this method and closes the connection after it.
        """
        self.aborted = True
        self.state = h11.Connection(h11.SERVER)
        self.state.receive_data(self.head.method + b" / HTTP/1.0\r\n\r\n")
        self.state.next_event()

    def _closing_headers(self) -> tuple:
        return ((b"connection", b"close"),) if self.is_last else ()

    def _next_event(self) -> object:
        try:
            return self.state.next_event()
        except h11.RemoteProtocolError as exc:
            raise RequestRefusedError(make_protocol_refusal(exc)) from exc

    async def _receive(self) -> None:
        await receive_into(self.state, self.stream, self.limits.progress)

    async def _send(self, event: object) -> None:
        data = self.state.send(event)
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        data, self.unsent_head = self.unsent_head + data, b""
        try:
            if self.stream.send(data):
                return
            async with asyncio.timeout(self.limits.progress.total_seconds()):
                await self.stream.drain()
        except TimeoutError as exc:
            raise ProgressTimeoutError from exc
        except ConnectionError as exc:
            raise CallerDisconnectedError from exc


def make_protocol_refusal(exc: h11.RemoteProtocolError) -> Refusal:
    """Return the refusal for a request that `h11` rejected."""
    if exc.error_status_hint == HEADER_TOO_LARGE_STATUS:
        return Refusal(ErrorKind.HEADER_TOO_LARGE, "the request head exceeds the size limit")
    return Refusal(ErrorKind.MALFORMED_REQUEST, "the request isn't valid HTTP/1.1")


HEADER_TOO_LARGE_STATUS = 431


async def receive_into(state: h11.Connection, stream: Stream, limit: timedelta) -> None:
    """Read once from the stream and pass the bytes to `h11`.

    Raises:
        CallerDisconnectedError: The stream was reset.
        ProgressTimeoutError: Nothing arrived within the limit.
    """
    try:
        if stream.has_unread:
            data = await stream.read()
        else:
            async with asyncio.timeout(limit.total_seconds()):
                data = await stream.read()
    except TimeoutError as exc:
        raise ProgressTimeoutError from exc
    except ConnectionError as exc:
        raise CallerDisconnectedError from exc
    state.receive_data(data)


async def refuse_or_abort(exchange: Exchange, refusal: Refusal) -> None:
    """Send a refusal, or reset the connection if a response has already begun."""
    if exchange.response_started:
        exchange.refusal = refusal
        exchange.abort()
    else:
        await exchange.refuse(refusal)
