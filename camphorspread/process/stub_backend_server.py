"""A small backend server for the local fleet, measurements and tests."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.messages import RequestHead, ResponseHead
from camphorspread.connection.network import Address, Listener, Network
from camphorspread.connection.server import Exchange, HttpServer
from camphorspread.process.backend_listener import encode_announcement
from camphorspread.process.endpoints import (
    RENEWAL_INTERVAL,
    Announcement,
    EndpointState,
    LoadReport,
)

__all__ = ["StubBackendServer", "start_stub_backend_server"]


@attrs.define(eq=False)
class StubBackendServer:
    """A backend server that answers each request after a fixed time.

    Attributes:
        announcement: What it announces.
        owner: Where the entry VM that owns the endpoint listens for backend servers.
        service_time: How long a request takes.
        busy: Requests that run now.
        most_busy: Most requests that ran at once.
        served: Method, path and once key of each request, in order.
        heads: Head of each request, in order.
    """

    announcement: Announcement
    owner: Address
    link: JsonLink
    service_time: timedelta = timedelta(milliseconds=2)
    busy: int = 0
    most_busy: int = 0
    served: list[str] = attrs.field(factory=list)
    heads: list[RequestHead] = attrs.field(factory=list)
    sequence: int = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request with its size."""
        self.heads.append(exchange.head)
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        try:
            size = 0
            while data := await exchange.read_body():
                size += len(data)
            await asyncio.sleep(self.service_time.total_seconds())
            self.served.append(f"{exchange.head.method.decode()} {exchange.head.target.decode()}")
            body = f"{self.announcement.endpoint} received {size} bytes\n".encode()
            await exchange.respond(ResponseHead(200, ((b"content-type", b"text/plain"),)), body)
        finally:
            self.busy -= 1

    async def announce_periodically(self) -> None:
        """Renew the announcement until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(RENEWAL_INTERVAL.total_seconds())

    async def announce(self) -> None:
        """Send the announcement once; a lost one is repeated by the next renewal."""
        self.sequence += 1
        report = LoadReport(self.sequence, self.busy)
        self.announcement = attrs.evolve(self.announcement, report=report)
        try:
            await self.link.call(
                self.owner, "POST", "/v1/announce", encode_announcement(self.announcement)
            )
        except LinkError:
            return

    async def leave(self) -> None:
        """Announce that the endpoint is leaving."""
        self.announcement = attrs.evolve(self.announcement, state=EndpointState.LEAVING)
        await self.announce()


async def start_stub_backend_server(
    network: Network, backend: StubBackendServer
) -> tuple[Listener, asyncio.Task]:
    """Open the listener of a stub backend server and start its announcements."""
    handler: Callable[[Exchange], Awaitable[None]] = backend.handle
    listener = await network.listen(backend.announcement.address, HttpServer(handler).serve)
    backend.announcement = attrs.evolve(backend.announcement, address=listener.address)
    return listener, asyncio.create_task(backend.announce_periodically())
