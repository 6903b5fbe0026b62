"""Byte streams between processes: the interface and its TCP implementation."""

import asyncio
import ipaddress
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

__all__ = [
    "READ_BYTES",
    "WRITE_BYTES",
    "Address",
    "Listener",
    "Network",
    "Stream",
    "StreamHandler",
    "TcpNetwork",
    "make_ip_address",
]

# Receive buffer, parser and send buffer together hold at most 64 KiB per relayed direction.
READ_BYTES = 16384
WRITE_BYTES = 16384
MAX_PORT = 65535


@attrs.frozen(order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


def make_ip_address(host: str, port: int) -> Address:
    """Return an address that can be connected to.

    A host name would be looked up, which blocks the event loop or needs another thread.

    Raises:
        ValueError: The host isn't an IP address, or the port is out of range.
    """
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"{port} isn't a port")
    return Address(host, port)


class Stream(Protocol):
    """One byte stream in both directions.

    Attributes:
        on_ended: Called once the peer has closed or reset the stream, unless None.
    """

    on_ended: Callable[[], None] | None

    @property
    def peer(self) -> Address:
        """Address of the peer."""

    @property
    def is_ended(self) -> bool:
        """True if the peer is known to have closed the stream."""

    @property
    def has_unread(self) -> bool:
        """True if received bytes haven't been read yet."""

    @property
    def unsent_bytes(self) -> int:
        """Sent bytes that the kernel hasn't accepted yet."""

    async def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream.

        Raises:
            ConnectionError: The stream was reset.
        """

    def send(self, data: bytes) -> bool:
        """Send bytes without a wait; return False if the send buffer is full.

        Raises:
            ConnectionError: The stream was reset.
        """

    async def drain(self) -> None:
        """Wait until the send buffer has room.

        Raises:
            ConnectionError: The stream was reset.
        """

    async def wait_sent(self) -> None:
        """Wait until the kernel has accepted all sent bytes.

        Raises:
            ConnectionError: The stream was reset.
        """

    async def write(self, data: bytes) -> None:
        """Send bytes and wait until the send buffer has room.

        Raises:
            ConnectionError: The stream was reset.
        """

    def close(self) -> None:
        """Close both directions once all written bytes have been sent."""

    def abort(self) -> None:
        """Reset the stream, so that the peer can't take this for a normal close."""


StreamHandler = Callable[[Stream], Awaitable[None]]


class Listener(Protocol):
    """An open listening socket."""

    @property
    def address(self) -> Address:
        """The bound address; if port 0 was requested, with the port that the system chose."""

    async def close(self) -> None:
        """Stop accepting connections; open streams continue."""

    async def shutdown(self) -> None:
        """Stop accepting connections and cancel the handlers of open streams."""


class Network(Protocol):
    """Opens and accepts streams."""

    async def connect(self, address: Address) -> Stream:
        """Open a stream.

        Raises:
            OSError: The address refused the connection or can't be reached.
        """

    async def listen(self, address: Address, handler: StreamHandler) -> Listener:
        """Accept streams and run the handler for each of them.

        Raises:
            OSError: The address can't be bound.
        """


def wake_waiter(waiter: asyncio.Future | None) -> None:
    """Resume a waiting reader or writer, which checks the stream again."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class TcpStream(asyncio.BufferedProtocol):
    """A TCP stream that buffers at most `READ_BYTES` unread and `WRITE_BYTES` unsent bytes.

    One task may read and one may write at a time, as on every `Stream`. A single call of `send`
    may exceed the limit for unsent bytes; `drain` then waits for the send buffer.
    """

    def __init__(self, on_open: Callable[["TcpStream"], None] | None = None) -> None:
        """Store the function to call once the connection is open."""
        self.on_open = on_open
        self.on_ended: Callable[[], None] | None = None
        self.receive_buffer = memoryview(bytearray(READ_BYTES))
        self.unread_bytes = 0
        self.is_eof = False
        self.is_lost = False
        self.loss_cause: Exception | None = None
        self.is_write_paused = False
        self.read_waiter: asyncio.Future | None = None
        self.write_waiter: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report that the connection is open."""
        self.transport: asyncio.Transport = transport
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        name = transport.get_extra_info("peername") or ("", 0)
        self.peer = Address(name[0], name[1])
        if self.on_open is not None:
            self.on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the receive buffer."""
        return self.receive_buffer[self.unread_bytes :]

    def buffer_updated(self, nbytes: int) -> None:
        """Record received bytes, and pause reading while the buffer is full."""
        self.unread_bytes += nbytes
        if self.unread_bytes == READ_BYTES:
            self.transport.pause_reading()
        wake_waiter(self.read_waiter)

    def eof_received(self) -> bool:
        """Record the end of the stream; the write direction stays open."""
        self.is_eof = True
        wake_waiter(self.read_waiter)
        self.report_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection was lost."""
        self.is_lost = True
        self.loss_cause = exc
        wake_waiter(self.read_waiter)
        wake_waiter(self.write_waiter)
        self.report_end()

    def report_end(self) -> None:
        """Report that the peer closed or reset the stream."""
        if self.on_ended is not None:
            self.on_ended()

    def pause_writing(self) -> None:
        """Block writers until the send buffer drains."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Resume a blocked writer."""
        self.is_write_paused = False
        wake_waiter(self.write_waiter)

    @property
    def is_ended(self) -> bool:
        """True if the peer is known to have closed the stream."""
        return self.is_eof or self.is_lost

    @property
    def has_unread(self) -> bool:
        """True if received bytes haven't been read yet."""
        return self.unread_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Sent bytes that the kernel hasn't accepted yet."""
        return self.transport.get_write_buffer_size()

    async def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream."""
        while not self.unread_bytes:
            if self.loss_cause is not None:
                raise ConnectionResetError("connection reset by peer") from self.loss_cause
            if self.is_ended:
                return b""
            self.read_waiter = asyncio.get_running_loop().create_future()
            await self.read_waiter
        data = bytes(self.receive_buffer[: self.unread_bytes])
        self.unread_bytes = 0
        if len(data) == READ_BYTES and not self.is_lost:
            self.transport.resume_reading()
        return data

    def send(self, data: bytes) -> bool:
        """Send bytes without a wait; return False if the send buffer is full."""
        self.check_open()
        self.transport.write(data)
        return not self.is_write_paused

    async def write(self, data: bytes) -> None:
        """Send bytes and wait until the send buffer has room."""
        if not self.send(data):
            await self.drain()

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        while self.is_write_paused:
            self.write_waiter = asyncio.get_running_loop().create_future()
            await self.write_waiter
            self.check_open()

    async def wait_sent(self) -> None:
        """Wait until the kernel has accepted all sent bytes."""
        # With a limit of 0, the transport pauses writers until its buffer is empty.
        self.transport.set_write_buffer_limits(high=0)
        try:
            await self.drain()
        finally:
            self.transport.set_write_buffer_limits(high=WRITE_BYTES)

    def check_open(self) -> None:
        """Raise an error if the connection is closed."""
        if self.is_lost or self.transport.is_closing():
            raise ConnectionResetError("the connection is closed")

    def close(self) -> None:
        """Close both directions once all written bytes have been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Reset the stream.

        Without the linger option the kernel closes the connection normally, which would make a
        truncated response to an HTTP/1.0 client look complete.
        """
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


@attrs.define(eq=False)
class TcpListener:
    """A listening TCP socket and the handler tasks of its open streams."""

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

    async def shutdown(self) -> None:
        """Stop accepting connections and cancel the handlers of open streams."""
        self.server.close()
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@attrs.define(eq=False)
class TcpNetwork:
    """TCP streams on asyncio transports."""

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
    """Run the handler and close the stream when it returns."""
    try:
        await handler(stream)
    finally:
        stream.close()
