"""The client side of HTTP/1.1 connections."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs
import h11

from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.connection.network import Address, Network, Stream

__all__ = [
    "CONNECT_TIMEOUT",
    "ClientConnection",
    "InvalidResponseError",
    "RequestNotSentError",
    "open_connection",
]

CONNECT_TIMEOUT = timedelta(seconds=1)
# RFC 9110, section 15; `h11` rejects codes below 100 only.
LAST_STATUS = 599
CONTINUE_STATUS = 100
# A server may send several informational responses before the final one; one that sends them
# without end would otherwise keep the loop busy until the deadline.
MAX_INFORMATIONAL_RESPONSES = 8


class InvalidResponseError(Exception):
    """The response is incomplete, was reset, isn't valid HTTP, or arrived without a request."""


class RequestNotSentError(Exception):
    """The connection became unusable before the first byte of the request was sent."""


@attrs.define(eq=False)
class ClientConnection:
    """A client connection that carries one request at a time.

    Attributes:
        head_sent: Set once the head of the current request may have been sent.
        completed_requests: Number of exchanges that were completed on this connection.
        informational_responses: Number of informational responses before the current response.
        refused_requests: Identifiers of the requests that were refused on this connection.
    """

    address: Address
    stream: Stream
    state: h11.Connection
    limits: ConnectionLimits
    head_sent: asyncio.Event = attrs.field(factory=asyncio.Event)
    completed_requests: int = 0
    informational_responses: int = 0
    refused_requests: set[str] = attrs.field(factory=set)

    async def send_head(self, head: RequestHead) -> None:
        """Send the head of a request.

        Raises:
            RequestNotSentError: The server closed the connection or sent data before the request. A
                late or duplicate response would otherwise be taken for the response to this
                request.
            ConnectionError: The stream was reset.
        """
        data = self._encode_head(head)
        self.head_sent.set()
        await self.stream.write(data)

    async def send_whole(self, head: RequestHead, body: bytes) -> None:
        """Send a request in one write, so that the server needn't wake twice for it.

        Raises:
            RequestNotSentError: As for `send_head`.
            ConnectionError: The stream was reset, or accepted no bytes within the progress limit.
        """
        parts = [self._encode_head(head)]
        if body:
            parts.append(self.state.send(h11.Data(data=body)))
        parts.append(self.state.send(h11.EndOfMessage()))
        self.head_sent.set()
        await self._write(b"".join(parts))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the request body.

        Raises:
            ConnectionError: The stream was reset, or accepted no bytes within the progress limit.
        """
        await self._write(self.state.send(h11.Data(data=data)))

    async def finish_request(self) -> None:
        """Send the end of the request."""
        await self._write(self.state.send(h11.EndOfMessage()))

    async def read_head(self) -> ResponseHead:
        """Return the next response head; status 100 asks for the request body.

        The progress limit doesn't apply here: the request's deadline bounds the wait, and a large
        upload may take longer than that limit.

        Raises:
            InvalidResponseError: The connection was closed, the response isn't valid HTTP, or too
                many informational responses precede it.
        """
        while True:
            match await self._next_event(has_limit=False):
                case h11.InformationalResponse(status_code=status, headers=headers):
                    self.informational_responses += 1
                    if self.informational_responses > MAX_INFORMATIONAL_RESPONSES:
                        raise InvalidResponseError("too many informational responses")
                    if status == CONTINUE_STATUS:
                        return ResponseHead(status, tuple(headers))
                case h11.Response(status_code=status, headers=headers):
                    if status > LAST_STATUS:
                        raise InvalidResponseError(f"{status} isn't a valid status code")
                    return ResponseHead(status, tuple(headers))
                case _:
                    raise InvalidResponseError("the connection was closed before the response")

    async def read_final_head(self) -> ResponseHead:
        """Return the next response head that isn't status 100.

        Raises:
            InvalidResponseError: The connection was closed, or the response isn't valid HTTP.
        """
        while True:
            head = await self.read_head()
            if head.status != CONTINUE_STATUS:
                return head

    async def read_body(self, before_wait: Callable[[], Awaitable[None]] | None = None) -> bytes:
        """Return the next part of the response body, or `b""` once it is complete.

        Args:
            before_wait: Called before each wait for bytes that haven't arrived yet.

        Raises:
            InvalidResponseError: The body is incomplete.
        """
        while True:
            match await self._next_event(before_wait=before_wait):
                case h11.Data(data=data):
                    if data:
                        return bytes(data)
                case h11.EndOfMessage():
                    return b""
                case _:
                    raise InvalidResponseError("the connection was closed within the response")

    def prepare_next_response(self, head: RequestHead) -> None:
        """Prepare to read another response to a request that was sent in full.

        The response that was read belongs to an earlier request. `h11` accepts one response for
        each request, so its state is rebuilt.
        """
        self.informational_responses = 0
        unread = self.state.trailing_data[0]
        self.state = h11.Connection(h11.CLIENT, max_incomplete_event_size=self.limits.header_bytes)
        # These events only set the state; their encoded bytes are discarded.
        length = (b"content-length", b"0")
        self.state.send(
            h11.Request(method=head.method, target=head.target, headers=[(b"host", b"-"), length])
        )
        self.state.send(h11.EndOfMessage())
        if unread:
            self.state.receive_data(unread)

    @property
    def is_idle(self) -> bool:
        """True if the stream is open and holds no unread data."""
        return not (self.stream.is_ended or self.stream.has_unread or self.state.trailing_data[0])

    @property
    def is_reusable(self) -> bool:
        """True if request and response are complete and the stream holds no unread data."""
        done = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        return done and self.is_idle

    def prepare_next_request(self) -> None:
        """Reset the HTTP state for the next request."""
        self.state.start_next_cycle()
        self.head_sent.clear()
        self.informational_responses = 0
        self.completed_requests += 1

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()

    def abort(self) -> None:
        """Reset the connection, which cancels the request at the server."""
        self.stream.abort()

    def _encode_head(self, head: RequestHead) -> bytes:
        if not self.is_idle:
            raise RequestNotSentError(
                "the connection was closed or received data before the request"
            )
        event = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        return self.state.send(event)

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            if self.stream.send(data):
                return
            async with asyncio.timeout(self.limits.progress.total_seconds()):
                await self.stream.drain()
        except TimeoutError as exc:
            self.abort()
            raise ConnectionResetError("the upload timed out without progress") from exc

    async def _next_event(
        self,
        has_limit: bool = True,
        before_wait: Callable[[], Awaitable[None]] | None = None,
    ) -> object:
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as exc:
                # The text of the library names its states, not what happened.
                is_cut = self.state.trailing_data[1]
                cause = "the connection was closed before the end of the response"
                raise InvalidResponseError(cause if is_cut else str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if before_wait is not None:
                await before_wait()
            try:
                if self.stream.has_unread or not has_limit:
                    data = await self.stream.read()
                else:
                    async with asyncio.timeout(self.limits.progress.total_seconds()):
                        data = await self.stream.read()
            except TimeoutError as exc:
                raise InvalidResponseError("the response timed out without progress") from exc
            except ConnectionError as exc:
                raise InvalidResponseError("the connection was reset") from exc
            self.state.receive_data(data)


async def open_connection(
    network: Network,
    address: Address,
    limits: ConnectionLimits,
    connect_limit: timedelta = CONNECT_TIMEOUT,
) -> ClientConnection:
    """Open a connection.

    Raises:
        OSError: The address refused the connection, can't be reached, or didn't respond in time.
    """
    async with asyncio.timeout(connect_limit.total_seconds()):
        stream = await network.connect(address)
    state = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.header_bytes)
    return ClientConnection(address, stream, state, limits)
