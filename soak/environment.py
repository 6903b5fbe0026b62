"""Environment of a soak run: backend servers, callers and the operator, on loopback."""

import asyncio
import json
import random
import time
from functools import partial

import attrs

from camphorspread.connection.client import InvalidResponseError, RequestNotSentError
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import RequestHead, find_header
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.connection.server import HttpServer
from camphorspread.process.clock import SystemClock
from features.fixtures.platform_endpoint import StubEndpoint, call_address
from features.fixtures.platform_fleet import make_configuration, make_route
from soak.fleet import FRONT_PORT, ZONES, SoakFleet
from soak.guarantees import Arrival, CallerResponse, ConfigurationRead, Observations, StatedPause
from soak.organisations import (
    KEY_MARK,
    NEAR_REGIONS,
    CallerRequest,
    draw_organisations,
    draw_request,
)
from soak.proxy import FaultProxy

__all__ = ["NORMAL_SPEED", "SoakEndpoint", "SoakEnvironment", "call_operator", "run_callers"]

SERVER_PORT = 8080
# All callers together send about 200 requests per second, well below the backend servers' slots.
CALLERS = 24
MEAN_CALL_PAUSE_S = 0.05
# Timeout of the callers in production deployments.
REQUEST_TIMEOUT_S = 3.0
OBJECT_COUNT = 30
SERVICE_TIME_S = 0.05
MAX_DEPARTURE_CALLS = 5
MAX_ANNOUNCEMENT_DELAY_S = 3.0
# How long an endpoint serves after a late announcement, at least and at most.
SERVE_AFTER_DEPARTURE_S = (2.6, 5.0)
# Some endpoints never report that they are draining.
DEREGISTERS_FIRST_PROBABILITY = 0.5
# The speed that an endpoint states while work takes as long as usual.
NORMAL_SPEED = 100


@attrs.define(eq=False)
class SoakEndpoint(StubEndpoint):
    """A backend server that listens behind a proxy and records the requests that it runs.

    Attributes:
        observations: Where it records them.
        proxy: The proxy in front of it.
        speed: How long work takes, in percent of the usual time.
    """

    observations: Observations | None = None
    proxy: FaultProxy | None = None
    speed: int = NORMAL_SPEED

    async def start(self) -> None:
        """Listen behind the proxy and announce the proxy's address."""
        server = HttpServer(self.serve)
        self.listener = await self.network.listen(self.proxy.target_address, server.serve)
        await self.proxy.start()
        self.task = asyncio.create_task(self.announce())

    async def stop(self) -> None:
        """Stop the server and its proxy without a drain."""
        await StubEndpoint.stop(self)
        await self.proxy.stop()

    async def serve(self, exchange: Exchange) -> None:
        """Run one request and record its arrival time and complete response body."""
        arrived, before = time.monotonic(), len(self.runs)
        request = (find_header(exchange.head.headers, b"request-id") or b"").decode()
        target = exchange.head.target.decode()
        length = find_header(exchange.head.headers, b"content-length") or b"0"
        body = f"{self.instance} {target} {int(length)}".encode()
        self.observations.complete_bodies[(request, self.instance)] = body
        self.observations.arrivals.append(self.describe_arrival(exchange, request, arrived))
        try:
            await StubEndpoint.serve(self, exchange)
        finally:
            if request in self.runs[before:]:
                self.observations.runs.append((request, self.instance, arrived))

    def set_speed(self, speed: int) -> None:
        """Let work take a percentage of its usual time from now on, and state it."""
        self.speed, self.service_time_s = speed, SERVICE_TIME_S * speed / NORMAL_SPEED

    def describe_arrival(self, exchange: Exchange, request: str, at: float) -> Arrival:
        """Return what this server sees of the sender of a request."""
        headers = exchange.head.headers
        return Arrival(
            request,
            self.instance,
            self.proxy.senders.get(exchange.peer.port, ""),
            at,
            tuple(value for name, value in headers if name.lower() == b"tenant"),
            any(
                name.lower() == b"authorization" or KEY_MARK.encode() in value
                for name, value in headers
            ),
            self.zone[:-2],
        )

    async def answer(self, exchange: Exchange, request_id: bytes, body_size: int) -> None:
        """Respond to a request that has run and state the load."""
        self.load = b"%d,0,%d,%d" % (self.running, self.slots, self.speed)
        await StubEndpoint.answer(self, exchange, request_id, body_size)

    def state_pause(self, exchange: Exchange) -> tuple[tuple[bytes, bytes], ...]:
        """Return the header on its pause, if any, and record it with the VM that gets it."""
        if self.retry_after:
            vm = self.proxy.senders.get(exchange.peer.port, "")
            pause = StatedPause(self.instance, vm, time.monotonic(), float(self.retry_after))
            self.observations.pauses.append(pause)
        return StubEndpoint.state_pause(self, exchange)


@attrs.define(eq=False)
class SoakEnvironment:
    """Everything in a soak run outside the processes under test.

    Attributes:
        fleet: The processes under test.
        rng: Random source of the schedule.
        observations: Observations to check at the end.
        caller_proxies: Proxies between callers and the entry VMs, by zone.
        endpoints: Backend servers, by identifier.
        revision: Revision of the newest configuration sent.
        organisations: Organisations of the newest configuration sent.
        request_count: Number of requests started so far.
        last_octet: Last octet of the newest backend server's proxy address.
        is_stopped: True once callers must stop.
    """

    fleet: SoakFleet
    rng: random.Random
    observations: Observations = attrs.field(factory=Observations)
    caller_proxies: dict[str, FaultProxy] = attrs.field(factory=dict)
    endpoints: dict[str, SoakEndpoint] = attrs.field(factory=dict)
    network: TcpNetwork = attrs.field(factory=TcpNetwork)
    revision: int = 0
    organisations: list[dict] = attrs.field(factory=list)
    request_count: int = 0
    last_octet: int = 10
    is_stopped: bool = False

    async def start_environment(self) -> None:
        """Start a proxy for each entry VM and two backend servers in each zone."""
        for number, zone in enumerate(ZONES, start=1):
            target_address = Address(f"127.{self.fleet.second_octet}.{number}.2", FRONT_PORT)
            listen_address = Address(f"127.{self.fleet.second_octet}.{number}.3", FRONT_PORT)
            self.caller_proxies[zone] = FaultProxy(listen_address, target_address)
            await self.caller_proxies[zone].start()
            for service in ("status", "filing"):
                await self.add_endpoint(service, zone)

    async def add_endpoint(self, service: str, zone: str) -> None:
        """Start a backend server behind a proxy."""
        self.last_octet += 2
        number = ZONES.index(zone) + 1
        listen_address = Address(
            f"127.{self.fleet.second_octet}.{number}.{self.last_octet}", SERVER_PORT
        )
        target_address = Address(
            f"127.{self.fleet.second_octet}.{number}.{self.last_octet + 1}", SERVER_PORT
        )
        controls = [
            self.fleet.control_address(node) for node in self.fleet.list_nodes(is_control=True)
        ]
        name = f"{service}-{self.last_octet}"
        self.endpoints[name] = SoakEndpoint(
            self.network,
            name,
            service,
            listen_address,
            zone,
            tuple(self.rng.sample(controls, len(controls))),
            service_time_s=SERVICE_TIME_S,
            born=int(time.time() * 1000),
            observations=self.observations,
            proxy=FaultProxy(listen_address, target_address, find_sender=self.fleet.find_sender),
        )
        await self.endpoints[name].start()

    async def replace_endpoint(self, endpoint: SoakEndpoint) -> None:
        """Replace a backend server: start another one, then let this one leave.

        An announcement that it sent before arrives late, at its owner or a control VM.
        """
        await self.add_endpoint(endpoint.service, endpoint.zone)
        endpoint.seq += 1
        late = endpoint.make_heartbeat()
        receiver = self.rng.choice([endpoint.owner_address, *endpoint.controls])
        delay_s = self.rng.uniform(0.1, MAX_ANNOUNCEMENT_DELAY_S)
        serve_s = self.rng.uniform(*SERVE_AFTER_DEPARTURE_S)
        self.observations.draining_at[endpoint.instance] = time.monotonic()
        leave = endpoint.send_heartbeat
        if self.rng.random() < DEREGISTERS_FIRST_PROBABILITY:
            endpoint.task.cancel()
            leave = partial(deregister, endpoint)
        endpoint.state = "draining"
        for _ in range(MAX_DEPARTURE_CALLS):
            if await leave():
                self.observations.left_at[endpoint.instance] = time.monotonic()
                break
        await asyncio.sleep(delay_s)
        if receiver is not None:
            target = f"/-/Instances.Heartbeat/{endpoint.instance}"
            await call_address(self.network, receiver, "POST", target, late)
        await asyncio.sleep(serve_s)
        await deregister(endpoint)
        del self.endpoints[endpoint.instance]
        await endpoint.stop()

    async def put_configuration(self) -> None:
        """Send a configuration with one more route; try up to 40 times until it is accepted."""
        self.revision += self.rng.randint(1, 3)
        revision = self.revision
        routes = [
            make_route("read", "/read/", "safe", "status"),
            make_route("file", "/file/", "unsafe", "filing"),
            make_route("open", "/open/", "safe", "status", public=True),
            make_route("near", "/near/", "safe", "status", allowedRegions=list(NEAR_REGIONS)),
            make_route(f"more-{revision}", f"/more/{revision}/", "safe", "status"),
        ]
        self.organisations = draw_organisations(self.rng, self.organisations)
        body = make_configuration(revision, routes, self.organisations)
        self.observations.sent[revision] = json.loads(body)
        self.observations.sent_at[revision] = time.monotonic()
        for _ in range(40):
            answer = await call_operator(self, "POST", "/-/Config.Put", body)
            if answer is not None and answer[0] == 200:
                self.observations.accepted_at[revision] = time.monotonic()
                return
            await asyncio.sleep(0.3)

    async def read_configuration(self) -> dict | None:
        """Read the configuration back from any control VM."""
        sent = time.monotonic()
        answer = await call_operator(self, "GET", "/-/Config.Get")
        if answer is None or answer[0] != 200:
            return None
        value = json.loads(answer[2])
        self.observations.reads.append(
            ConfigurationRead(sent, int(value["version"].removeprefix("r")))
        )
        return value


async def deregister(endpoint: SoakEndpoint) -> bool:
    """Deregister a backend server without a body; return True if a control VM acknowledged it."""
    target = f"/-/Instances.Deregister/{endpoint.instance}"
    for address in endpoint.controls:
        answer = await call_address(endpoint.network, address, "POST", target)
        if answer is not None and answer[0] == 200:
            return True
    return False


async def call_operator(environment: SoakEnvironment, method: str, target: str, body: bytes = b""):
    """Send an operator request to a random control VM and follow redirects to the leader."""
    node = environment.rng.choice(environment.fleet.list_nodes(is_control=True))
    address = environment.fleet.control_address(node)
    for _ in range(3):
        answer = await call_address(environment.network, address, method, target, body)
        if answer is None or answer[0] != 307:
            return answer
        host, _, port = answer[1][b"location"].decode().split("/")[2].rpartition(":")
        address = Address(host, int(port))
    return None


async def run_callers(environment: SoakEnvironment) -> None:
    """Run all callers until the soak is over."""
    await asyncio.gather(*(run_caller(environment, number) for number in range(CALLERS)))


async def run_caller(environment: SoakEnvironment, number: int) -> None:
    """Send requests to one entry VM on persistent connections; use the next VM after a failure."""
    pool = ConnectionPool(environment.network, SystemClock())
    rng = random.Random(number)
    zones = list(ZONES)
    while not environment.is_stopped:
        zone = zones[number % len(zones)]
        answer = await send_request(
            environment, pool, zone, draw_request(rng), rng.randrange(OBJECT_COUNT)
        )
        environment.observations.responses.append(answer)
        if answer.status == 0:
            zones.append(zones.pop(0))
        await asyncio.sleep(MEAN_CALL_PAUSE_S * rng.random() * 2)
    pool.close()


async def send_request(
    environment: SoakEnvironment,
    pool: ConnectionPool,
    zone: str,
    request: CallerRequest,
    object_number: int,
) -> CallerResponse:
    """Send one request and return the response that the caller received."""
    environment.request_count += 1
    request_id = f"q{environment.request_count}"
    method, target = request.method.encode(), request.target.encode()
    body = b"" if request.is_idempotent else b"form"
    sent_at = time.monotonic()
    headers = (
        (b"host", b"water.example"),
        (b"request-id", request_id.encode()),
        (b"cookie", b"Affinity-Key=%d" % object_number),
        (b"deadline-ms", b"%d" % (REQUEST_TIMEOUT_S * 1000)),
        *request.headers,
        *(((b"content-length", b"%d" % len(body)),) if body else ()),
    )
    conn = None
    status, received, has_retry_time = 0, b"", False
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            conn = await pool.acquire(environment.caller_proxies[zone].listen_address)
            await conn.send_head(RequestHead(method, target, headers))
            if body:
                await conn.send_body(body)
            await conn.finish_request()
            head = await conn.read_final_head()
            while chunk := await conn.read_body():
                received += chunk
        status = head.status
        has_retry_time = find_header(head.headers, b"retry-after") is not None
        pool.release(conn)
    except (OSError, TimeoutError, InvalidResponseError, RequestNotSentError):
        if conn is not None:
            conn.abort()
    return CallerResponse(
        request_id,
        request.is_idempotent,
        status,
        received,
        time.monotonic(),
        sent_at,
        request.key,
        request.is_public,
        f"front-{zone}",
        request.regions,
        has_retry_time,
    )
