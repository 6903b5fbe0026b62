"""A small backend server for the local fleet, measurements and tests."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from camphorspread.connection.exchange import CallerDisconnectedError, Exchange
from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.messages import RequestHead, ResponseHead, find_header
from camphorspread.connection.network import Address, Listener, Network
from camphorspread.connection.server import HttpServer
from camphorspread.process.backend_listener import encode_announcement
from camphorspread.process.endpoints import (
    RENEWAL_INTERVAL,
    Announcement,
    EndpointState,
    HandoverToken,
    LoadReport,
)
from camphorspread.process.owner_choice import (
    AnnounceResponse,
    OwnerChoice,
    OwnerTarget,
    apply_response,
    record_no_response,
)
from camphorspread.request.once_key import ONCE_KEY_HEADER

__all__ = ["StubBackendServer", "start_stub_backend_server"]

MAX_ANNOUNCE_ATTEMPTS = 4


@attrs.define(eq=False)
class StubBackendServer:
    """A backend server that answers each request after a fixed time.

    A request ends immediately when its connection is closed or reset.

    Attributes:
        announcement: What it announces.
        owner: Where the entry VM that is asked first listens for backend servers.
        service_time: How long a request takes.
        busy: Requests that run now.
        peak_busy: Most requests that ran simultaneously.
        started: Method, path and once key of each request, in the order of arrival.
        served: Method and path of each completed request, in the order of completion.
        choice: The entry VM that it announces to.
        heads: Head of each request, in the order of arrival.
        reports_idle: True if its load reports always say that it is idle.
    """

    announcement: Announcement
    owner: Address
    link: JsonLink
    service_time: timedelta = timedelta(milliseconds=2)
    busy: int = 0
    peak_busy: int = 0
    started: list[str] = attrs.field(factory=list)
    served: list[str] = attrs.field(factory=list)
    heads: list[RequestHead] = attrs.field(factory=list)
    sequence: int = 0
    reports_idle: bool = False
    choice: OwnerChoice = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Announce to the entry VM of `owner` first."""
        self.choice = OwnerChoice((OwnerTarget("", self.owner),), timedelta(0))

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request with the size of its body."""
        self.heads.append(exchange.head)
        self.busy += 1
        self.peak_busy = max(self.peak_busy, self.busy)
        request = f"{exchange.head.method.decode()} {exchange.head.target.decode()}"
        key = find_header(exchange.head.headers, ONCE_KEY_HEADER) or b""
        self.started.append(f"{request} {key.decode()}".strip())
        try:
            size = 0
            while data := await exchange.read_body():
                size += len(data)
            await wait_service_time(exchange, self.service_time)
            self.served.append(request)
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
        """Send the announcement to the owner, or to the next candidates until one accepts it."""
        for _ in range(MAX_ANNOUNCE_ATTEMPTS):
            if not await self.announce_once():
                return

    async def announce_once(self) -> bool:
        """Send the announcement once; return True if another entry VM must be asked now."""
        self.sequence += 1
        self.announcement = attrs.evolve(
            self.announcement,
            report=LoadReport(self.sequence, 0 if self.reports_idle else self.busy),
            former_owner=self.choice.former_owner,
            failed_owners=self.choice.failed_owners,
            token=self.choice.token,
        )
        message = encode_announcement(self.announcement)
        target = self.choice.current.address
        try:
            response = await self.link.call(target, "POST", "/v1/announce", message)
            decoded = decode_response(response.value)
        except (LinkError, KeyError, TypeError):
            return record_no_response(self.choice, loop_time())
        return apply_response(self.choice, decoded, loop_time())

    async def leave(self) -> None:
        """Announce that the endpoint is leaving."""
        self.announcement = attrs.evolve(self.announcement, state=EndpointState.LEAVING)
        await self.announce()


async def wait_service_time(exchange: Exchange, service_time: timedelta) -> None:
    """Wait for the service time of a request whose body has been read.

    Raises:
        CallerDisconnectedError: The connection ended, which cancels the request.
    """
    disconnected = asyncio.create_task(exchange.wait_for_disconnect())
    try:
        await asyncio.wait({disconnected}, timeout=service_time.total_seconds())
        if disconnected.done():
            raise CallerDisconnectedError
    finally:
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)


def loop_time() -> timedelta:
    """Return the time of the event loop."""
    return timedelta(seconds=asyncio.get_running_loop().time())


def decode_response(value: object) -> AnnounceResponse:
    """Decode the response to an announcement.

    Raises:
        KeyError: A field is missing.
        TypeError: The value isn't an object.
    """
    if not isinstance(value, dict):
        raise TypeError("the response isn't an object")
    owners = tuple(
        OwnerTarget(item["vm"], Address(item["host"], item["port"]))
        for item in value["next_owners"]
    )
    token = HandoverToken(**value["token"]) if value["token"] else None
    return AnnounceResponse(value["accepted_by"], owners, token)


async def start_stub_backend_server(
    network: Network, backend: StubBackendServer
) -> tuple[Listener, asyncio.Task]:
    """Open the listener of a stub backend server and start its announcements."""
    handler: Callable[[Exchange], Awaitable[None]] = backend.handle
    listener = await network.listen(backend.announcement.address, HttpServer(handler).serve)
    backend.announcement = attrs.evolve(backend.announcement, address=listener.address)
    return listener, asyncio.create_task(backend.announce_periodically())
