"""Byte streams between processes: the interface and its TCP implementation."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

__all__ = ["Address", "Listener", "Network", "Stream", "StreamHandler", "TcpNetwork"]

# Receive buffer, parser and send buffer together hold at most 64 KiB of a relayed direction.
READ_BYTES = 16384
WRITE_BYTES = 16384


@attrs.frozen(order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


class Stream(Protocol):
    """One byte stream in both directions."""

    @property
    def peer(self) -> Address:
        """Address of the other end."""

    @property
    def is_ended(self) -> bool:
        """True if the other end is known to have closed the stream."""

    @property
    def has_unread(self) -> bool:
        """True if bytes have arrived that weren't read."""

    async def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream.

        Raises:
            ConnectionError: The stream was reset.
        """

    async def write(self, data: bytes) -> None:
        """Send bytes and wait until the send buffer has room.

        Raises:
            ConnectionError: The stream was reset.
        """

    def close(self) -> None:
        """Close both directions after what was written has been sent."""

    def abort(self) -> None:
        """Reset the stream, so that the other end can't take it for a clean end."""


StreamHandler = Callable[[Stream], Awaitable[None]]


class Listener(Protocol):
    """An open listening socket."""

    @property
    def address(self) -> Address:
        """The bound address, with the port that was chosen if the setting was port 0."""

    async def close(self) -> None:
        """Stop accepting connections; open streams go on."""

    async def end(self) -> None:
        """Stop accepting connections and end the handlers of open streams."""


class Network(Protocol):
    """Opens and accepts streams."""

    async def connect(self, address: Address) -> Stream:
        """Open a stream.

        Raises:
            OSError: The address refused the connection or can't be reached.
        """

    async def listen(self, address: Address, handler: StreamHandler) -> Listener:
        """Accept streams and run the handler on each of them.

        Raises:
            OSError: The address can't be bound.
        """


def wake(waiter: asyncio.Future | None) -> None:
    """Let a waiting reader or writer look at the stream again."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class TcpStream(asyncio.BufferedProtocol):
    """A stream over TCP that holds at most `READ_BYTES` unread and `WRITE_BYTES` unsent bytes.

    One task may read and one may write at a time, as on all streams here.
    One call of `write` may go over the limit for unsent bytes and then waits for room.
    """

    def __init__(self, on_open: Callable[["TcpStream"], None] | None = None) -> None:
        """Keep the function to call once the connection is open."""
        self.on_open = on_open
        self.space = memoryview(bytearray(READ_BYTES))
        self.filled = 0
        self.is_eof = False
        self.is_lost = False
        self.error: Exception | None = None
        self.is_paused = False
        self.reader: asyncio.Future | None = None
        self.writer: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open transport."""
        self.transport: asyncio.Transport = transport
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        name = transport.get_extra_info("peername") or ("", 0)
        self.peer = Address(name[0], name[1])
        if self.on_open is not None:
            self.on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the receive buffer."""
        return self.space[self.filled :]

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes; a full buffer stops the receiving."""
        self.filled += nbytes
        if self.filled == READ_BYTES:
            self.transport.pause_reading()
        wake(self.reader)

    def eof_received(self) -> bool:
        """Take the end of the stream; the other direction stays open."""
        self.is_eof = True
        wake(self.reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the loss of the connection."""
        self.is_lost = True
        self.error = exc
        wake(self.reader)
        wake(self.writer)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.is_paused = False
        wake(self.writer)

    @property
    def is_ended(self) -> bool:
        """True if the other end is known to have closed the stream."""
        return self.is_eof or self.is_lost

    @property
    def has_unread(self) -> bool:
        """True if bytes have arrived that weren't read."""
        return self.filled > 0

    async def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream."""
        while not self.filled:
            if self.error is not None:
                raise ConnectionResetError("connection reset by peer") from self.error
            if self.is_ended:
                return b""
            self.reader = asyncio.get_running_loop().create_future()
            await self.reader
        data = bytes(self.space[: self.filled])
        self.filled = 0
        if len(data) == READ_BYTES and not self.is_lost:
            self.transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes and wait until the send buffer has room."""
        self.check_open()
        self.transport.write(data)
        while self.is_paused:
            self.writer = asyncio.get_running_loop().create_future()
            await self.writer
            self.check_open()

    def check_open(self) -> None:
        """Raise an error if the connection is closed."""
        if self.is_lost or self.transport.is_closing():
            raise ConnectionResetError("the connection is closed")

    def close(self) -> None:
        """Close both directions after what was written has been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Reset the stream.

        Without the linger option the kernel sends a clean end, which would make a truncated
        response to an HTTP/1.0 caller look complete.
        """
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


@attrs.define(eq=False)
class TcpListener:
    """A listening TCP socket and the tasks that handle its open streams."""

    server: asyncio.Server
    tasks: set[asyncio.Task]

    @property
    def address(self) -> Address:
        """The bound address."""
        name = self.server.sockets[0].getsockname()
        return Address(name[0], name[1])

    async def close(self) -> None:
        """Stop accepting connections."""
        self.server.close()

    async def end(self) -> None:
        """Stop accepting connections and end the handlers of open streams."""
        self.server.close()
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@attrs.define(eq=False)
class TcpNetwork:
    """TCP through asyncio transports."""

    async def connect(self, address: Address) -> Stream:
        """Open a TCP connection."""
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(TcpStream, address.host, address.port)
        return stream

    async def listen(self, address: Address, handler: StreamHandler) -> Listener:
        """Listen on a TCP address."""
        tasks: set[asyncio.Task] = set()

        def accept(stream: TcpStream) -> None:
            task = asyncio.create_task(handle_stream(handler, stream))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: TcpStream(accept), address.host, address.port)
        return TcpListener(server, tasks)


async def handle_stream(handler: StreamHandler, stream: Stream) -> None:
    """Run the handler and close the stream when it ends."""
    try:
        await handler(stream)
    finally:
        stream.close()
