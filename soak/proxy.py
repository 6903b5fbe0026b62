"""TCP proxy on loopback that delays, drops or resets the traffic of its connections."""

import asyncio
import contextlib
import enum
from collections.abc import Callable

import attrs

from camphorspread.connection.network import Address

__all__ = ["FaultProxy", "LinkFault"]

CHUNK_BYTES = 16 * 1024
DELAY_S = 0.2


class LinkFault(enum.Enum):
    """Effect of a proxy on the bytes of its connections."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    NO_REQUESTS = "no_requests"
    NO_RESPONSES = "no_responses"


@attrs.define(eq=False)
class FaultProxy:
    """Forwards TCP connections from one address to another.

    Attributes:
        listen_address: Address that it listens on.
        target_address: Address that it connects to.
        fault: The current fault; bytes held back by it are lost, as on a cut link.
        writers: Open streams of both ends, for resets.
        server: Its listener.
        find_sender: Returns the name of the process with a connection, by the addresses of both
            ends; None if the senders aren't needed.
        senders: Names of the senders, by the port from which the proxy connects to the target.
    """

    listen_address: Address
    target_address: Address
    fault: LinkFault = LinkFault.NONE
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    server: asyncio.Server | None = None
    find_sender: Callable[[Address, Address], str] | None = None
    senders: dict[int, str] = attrs.field(factory=dict)

    async def start(self) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self.accept, self.listen_address.host, self.listen_address.port
        )

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
        """Proxy one connection until either end closes it."""
        self.writers.add(caller_writer)
        server_writer = None
        try:
            reader, server_writer = await asyncio.open_connection(
                self.target_address.host, self.target_address.port
            )
            self.writers.add(server_writer)
            if self.find_sender is not None:
                source = Address(*caller_writer.get_extra_info("peername"))
                port = server_writer.get_extra_info("sockname")[1]
                self.senders[port] = self.find_sender(source, self.listen_address)
            tasks = {
                asyncio.create_task(
                    self.copy_stream(caller_reader, server_writer, LinkFault.NO_REQUESTS)
                ),
                asyncio.create_task(
                    self.copy_stream(reader, caller_writer, LinkFault.NO_RESPONSES)
                ),
            }
            _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            # The target refused the connection, so the proxy resets it too; or the run is over.
            caller_writer.transport.abort()
        finally:
            for writer in (caller_writer, server_writer):
                if writer is not None:
                    self.writers.discard(writer)
                    writer.close()

    async def copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut_by: LinkFault
    ) -> None:
        """Copy bytes in one direction until the stream ends, which ends the connection.

        Args:
            reader: Stream to copy from.
            writer: Stream to copy to.
            cut_by: Fault that drops the bytes of this direction only.
        """
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                if self.fault in (LinkFault.SILENT, cut_by):
                    # A stream has no gaps, so nothing may follow the dropped bytes.
                    await asyncio.Event().wait()
                writer.write(chunk)
                await writer.drain()
