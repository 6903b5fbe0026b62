"""A loopback proxy that delays, resets, silences or cuts the connections that pass through it."""

import asyncio
import contextlib
import enum

import attrs

from camphorspread.connection.network import Address

__all__ = ["FaultProxy", "LinkFault"]

PART_BYTES = 16 * 1024
DELAY_S = 0.2


class LinkFault(enum.Enum):
    """What a proxy does to the bytes of its connections."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_REQUESTS = "no_requests"
    NO_RESPONSES = "no_responses"


@attrs.define(eq=False)
class FaultProxy:
    """Forwards TCP connections from one address to another.

    Attributes:
        front: Where it listens.
        back: Where it connects to.
        fault: What it does to bytes; those held back by a fault are lost, as in a cut link.
        writers: Open streams, to reset them.
        server: Its listener.
    """

    front: Address
    back: Address
    fault: LinkFault = LinkFault.NONE
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.accept, self.front.host, self.front.port)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(
        self, caller_reader: asyncio.StreamReader, caller_writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until either end closes it."""
        self.writers.add(caller_writer)
        server_writer = None
        try:
            reader, server_writer = await asyncio.open_connection(self.back.host, self.back.port)
            self.writers.add(server_writer)
            tasks = {
                asyncio.create_task(
                    self.carry(caller_reader, server_writer, LinkFault.NO_REQUESTS)
                ),
                asyncio.create_task(self.carry(reader, caller_writer, LinkFault.NO_RESPONSES)),
            }
            _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            # The other end refuses, and so does the proxy; or the soak is over.
            caller_writer.transport.abort()
        finally:
            for writer in (caller_writer, server_writer):
                if writer is not None:
                    self.writers.discard(writer)
                    writer.close()

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        """Copy bytes in one direction; an ended stream ends the connection."""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(PART_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                if self.fault in (LinkFault.SILENT, cut):
                    # Nothing may follow what was lost, as a stream has no gaps.
                    await asyncio.Event().wait()
                writer.write(part)
                await writer.drain()
