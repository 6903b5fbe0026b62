"""The outside of a soak: backend servers, callers and the operator, on loopback."""

import asyncio
import json
import random
import time

import attrs

from camphorspread.connection.client import NotSentError, ResponseBrokenError
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import RequestHead, find_header
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.connection.server import HttpServer
from camphorspread.process.clock import SystemClock
from features.fixtures.platform_endpoint import StubEndpoint, call_address
from features.fixtures.platform_fleet import make_configuration, make_route
from soak.fleet import FRONT_PORT, ZONES, SoakFleet
from soak.promises import Answer, Observed, Read
from soak.proxy import FaultProxy

__all__ = ["SoakEndpoint", "World", "call_operator", "run_callers"]

SERVER_PORT = 8080
# About 200 requests a second together, well under the slots of the backend servers.
CALLERS = 24
CALL_PAUSE_S = 0.05
# As long as callers of the users' deployments wait.
TIME_LEFT_S = 3.0
OBJECTS = 30


@attrs.define(eq=False)
class SoakEndpoint(StubEndpoint):
    """A backend server behind a proxy, which notes what it runs."""

    seen: Observed | None = None
    proxy: FaultProxy | None = None

    async def start(self) -> None:
        """Listen behind the proxy, and announce the proxy's address."""
        server = HttpServer(self.serve)
        self.listener = await self.network.listen(self.proxy.back, server.serve)
        await self.proxy.start()
        self.task = asyncio.create_task(self.announce())

    async def stop(self) -> None:
        """End at once."""
        await StubEndpoint.stop(self)
        await self.proxy.stop()

    async def serve(self, exchange: Exchange) -> None:
        """Run one request, and note when it arrived and what a whole answer is."""
        arrived, before = time.monotonic(), len(self.runs)
        request = (find_header(exchange.head.headers, b"request-id") or b"").decode()
        target = exchange.head.target.decode()
        length = find_header(exchange.head.headers, b"content-length") or b"0"
        body = f"{self.instance} {target} {int(length)}".encode()
        self.seen.whole[(request, self.instance)] = body
        try:
            await StubEndpoint.serve(self, exchange)
        finally:
            if request in self.runs[before:]:
                self.seen.runs.append((request, self.instance, arrived))


@attrs.define(eq=False)
class World:
    """What surrounds the processes.

    Attributes:
        fleet: The processes.
        rng: Source of the schedule.
        seen: What was observed.
        fronts: Proxies before the listeners for callers, by zone.
        endpoints: Backend servers, by identifier.
        revision: Revision of the newest configuration that was sent.
        number: Number of the newest request.
        next_host: Last number of the address of the next backend server.
        is_over: True once callers must stop.
    """

    fleet: SoakFleet
    rng: random.Random
    seen: Observed = attrs.field(factory=Observed)
    fronts: dict[str, FaultProxy] = attrs.field(factory=dict)
    endpoints: dict[str, SoakEndpoint] = attrs.field(factory=dict)
    network: TcpNetwork = attrs.field(factory=TcpNetwork)
    revision: int = 0
    number: int = 0
    next_host: int = 10
    is_over: bool = False

    async def start_outside(self) -> None:
        """Start the proxies before the entry VMs, and backend servers in each zone."""
        for number, zone in enumerate(ZONES, start=1):
            back = Address(f"127.{self.fleet.net}.{number}.2", FRONT_PORT)
            front = Address(f"127.{self.fleet.net}.{number}.3", FRONT_PORT)
            self.fronts[zone] = FaultProxy(front, back)
            await self.fronts[zone].start()
            for service in ("status", "filing"):
                await self.add_endpoint(service, zone)

    async def add_endpoint(self, service: str, zone: str) -> None:
        """Start a backend server."""
        self.next_host += 2
        number = ZONES.index(zone) + 1
        front = Address(f"127.{self.fleet.net}.{number}.{self.next_host}", SERVER_PORT)
        back = Address(f"127.{self.fleet.net}.{number}.{self.next_host + 1}", SERVER_PORT)
        controls = [self.fleet.control_address(node) for node in self.fleet.find(is_control=True)]
        name = f"{service}-{self.next_host}"
        self.endpoints[name] = SoakEndpoint(
            self.network,
            name,
            service,
            front,
            zone,
            tuple(self.rng.sample(controls, len(controls))),
            work_s=0.05,
            born=int(time.time() * 1000),
            seen=self.seen,
            proxy=FaultProxy(front, back),
        )
        await self.endpoints[name].start()

    async def drain(self, endpoint: SoakEndpoint) -> None:
        """Let a backend server leave and another one take its place."""
        await self.add_endpoint(endpoint.service, endpoint.zone)
        endpoint.state = "draining"
        for _ in range(5):
            if await endpoint.beat():
                self.seen.left[endpoint.instance] = time.monotonic()
                break
        await asyncio.sleep(3.5)
        await endpoint.beat("/-/Instances.Deregister/")
        del self.endpoints[endpoint.instance]
        await endpoint.stop()

    async def put_configuration(self) -> None:
        """Send a configuration with one more route, until it is accepted."""
        self.revision += self.rng.randint(1, 3)
        revision = self.revision
        routes = [
            make_route("read", "/read/", "safe", "status"),
            make_route("file", "/file/", "unsafe", "filing"),
            make_route(f"more-{revision}", f"/more/{revision}/", "safe", "status"),
        ]
        body = make_configuration(revision, routes)
        self.seen.sent[revision] = json.loads(body)
        for _ in range(40):
            answer = await call_operator(self, "POST", "/-/Config.Put", body)
            if answer is not None and answer[0] == 200:
                self.seen.accepted[revision] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def read_configuration(self) -> dict | None:
        """Read the configuration back from any control VM."""
        sent = time.monotonic()
        answer = await call_operator(self, "GET", "/-/Config.Get")
        if answer is None or answer[0] != 200:
            return None
        value = json.loads(answer[2])
        self.seen.reads.append(Read(sent, int(value["version"].removeprefix("r"))))
        return value


async def call_operator(world: World, method: str, target: str, body: bytes = b""):
    """Send an order to a control VM at random, and follow its answer to another one."""
    node = world.rng.choice(world.fleet.find(is_control=True))
    address = world.fleet.control_address(node)
    for _ in range(3):
        answer = await call_address(world.network, address, method, target, body)
        if answer is None or answer[0] != 307:
            return answer
        host, _, port = answer[1][b"location"].decode().split("/")[2].rpartition(":")
        address = Address(host, int(port))
    return None


async def run_callers(world: World) -> None:
    """Send requests until the soak is over, on connections that stay open while they work."""
    await asyncio.gather(*(run_caller(world, number) for number in range(CALLERS)))


async def run_caller(world: World, number: int) -> None:
    """Send one request after the other to one entry VM, or to the next one after a failure."""
    pool = ConnectionPool(world.network, SystemClock())
    rng = random.Random(number)
    zones = list(ZONES)
    while not world.is_over:
        proxy = world.fronts[zones[number % len(zones)]]
        is_read = rng.random() < 0.7
        answer = await send_one(world, pool, proxy.front, is_read, rng.randrange(OBJECTS))
        world.seen.answers.append(answer)
        if answer.status == 0:
            zones.append(zones.pop(0))
        await asyncio.sleep(CALL_PAUSE_S * rng.random() * 2)
    pool.close()


async def send_one(
    world: World, pool: ConnectionPool, address: Address, is_read: bool, key: int
) -> Answer:
    """Send one request."""
    world.number += 1
    request = f"q{world.number}"
    method, target, body = ("GET", "/read/x", b"") if is_read else ("POST", "/file/x", b"form")
    headers = (
        (b"host", b"water.example"),
        (b"request-id", request.encode()),
        (b"cookie", b"Affinity-Key=%d" % key),
        (b"deadline-ms", b"%d" % (TIME_LEFT_S * 1000)),
        *(((b"content-length", b"%d" % len(body)),) if body else ()),
    )
    conn = None
    status, received = 0, b""
    try:
        async with asyncio.timeout(TIME_LEFT_S):
            conn = await pool.acquire(address)
            await conn.send_head(RequestHead(method.encode(), target.encode(), headers))
            if body:
                await conn.send_body(body)
            await conn.finish_request()
            head = await conn.read_final_head()
            while part := await conn.read_body():
                received += part
        status = head.status
        pool.release(conn)
    except (OSError, TimeoutError, ResponseBrokenError, NotSentError):
        if conn is not None:
            conn.abort()
    return Answer(request, is_read, status, received, time.monotonic())
