"""Byte streams between processes: the interface and its TCP implementation."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

__all__ = ["Address", "Listener", "Network", "Stream", "StreamHandler", "TcpNetwork"]

READ_BYTES = 65536


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


@attrs.define(eq=False)
class TcpStream:
    """A stream over TCP."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def peer(self) -> Address:
        """Address of the other end."""
        name = self.writer.get_extra_info("peername") or ("", 0)
        return Address(name[0], name[1])

    @property
    def is_ended(self) -> bool:
        """True if the other end is known to have closed the stream."""
        return self.reader.at_eof() or self.reader.exception() is not None

    async def read(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the stream."""
        return await self.reader.read(READ_BYTES)

    async def write(self, data: bytes) -> None:
        """Send bytes and wait until the send buffer has room."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close both directions after what was written has been sent."""
        self.writer.close()

    def abort(self) -> None:
        """Reset the stream."""
        self.writer.transport.abort()


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
    """TCP through asyncio streams."""

    async def connect(self, address: Address) -> Stream:
        """Open a TCP connection."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        return TcpStream(reader, writer)

    async def listen(self, address: Address, handler: StreamHandler) -> Listener:
        """Listen on a TCP address."""
        tasks: set[asyncio.Task] = set()

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(handle_stream(handler, TcpStream(reader, writer)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        server = await asyncio.start_server(accept, address.host, address.port)
        return TcpListener(server, tasks)


async def handle_stream(handler: StreamHandler, stream: Stream) -> None:
    """Run the handler and close the stream when it ends."""
    try:
        await handler(stream)
    finally:
        stream.close()
