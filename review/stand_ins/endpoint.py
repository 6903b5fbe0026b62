"""An endpoint: it announces itself, runs requests in its slots and records them."""

import asyncio
import contextlib
import json
import time

from stand_ins.fleet import ZONES, Fleet
from stand_ins.http import Message, call, encode_answer, read_message
from stand_ins.record import Record

__all__ = ["HEARTBEAT_S", "Endpoint", "make_endpoints"]

ENDPOINT_PORT = 8080
HEARTBEAT_S = 1.5
QUEUE_LIMIT = 4
FIRST_NUMBER = 40
# Endpoints of the service `commandes` of Le Goff in each zone, and the slots of each.
COMMANDES = {
    "quimper-a": 1,
    "paris-a": 2,
    "londres-a": 3,
    "quimper-b": 1,
    "paris-b": 2,
    "londres-b": 3,
}
COMMANDES_SLOTS = 4


class Endpoint:
    """An endpoint of one service.

    Attributes:
        instance: Its identifier.
        service: Its service.
        zone: Its zone.
        slots: Requests that it runs at the same time.
        work_s: How long a request takes.
        runs: When each request began to run, by its identifier.
        ended: When each request has ended, by its identifier.
        announced_at: When the last regular heartbeat was sent.
    """

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        instance: str,
        service: str,
        zone: str,
        number: int,
        slots: int,
        work_s: float,
    ) -> None:
        """Store the parameters; `number` is the last octet of the address."""
        self.fleet = fleet
        self.record = record
        self.instance = instance
        self.service = service
        self.zone = zone
        self.host = f"127.{fleet.octet}.{list(ZONES).index(zone) + 1}.{number}"
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.announced_at = 0.0
        self.owner = ""
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and announce the endpoint until `stop`."""
        self.server = await asyncio.start_server(self.serve, self.host, ENDPOINT_PORT)
        self.announcing = asyncio.create_task(self.announce())
        self.tasks.add(self.announcing)
        self.record.write(f"endpoint {self.instance} of {self.service} starts in {self.zone}")

    async def stop(self) -> None:
        """End the endpoint."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def announce(self) -> None:
        """Send heartbeats."""
        while True:
            self.announced_at = time.monotonic()
            await self.send_heartbeat()
            await asyncio.sleep(max(self.announced_at + HEARTBEAT_S - time.monotonic(), 0))

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat, to the next node after a failure; return True if acknowledged."""
        self.sequence += 1
        target = f"/-/Instances.Heartbeat/{self.instance}"
        body = json.dumps(self.make_heartbeat()).encode()
        for address in [self.owner, *self.fleet.controls] if self.owner else self.fleet.controls:
            answer = await call(address, "POST", target, body)
            if answer is not None and answer.status // 100 == 2:
                with contextlib.suppress(ValueError):
                    self.owner = json.loads(answer.body).get("heartbeatUrl") or self.owner
                return True
            if address == self.owner:
                self.owner = ""
        return False

    def make_heartbeat(self) -> dict:
        """Return the body of a heartbeat."""
        return {
            "service": self.service,
            "address": f"{self.host}:{ENDPOINT_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def leave(self) -> float | None:
        """Report that the endpoint drains; return when that was acknowledged, None if it wasn't.

        The endpoint goes on serving. It sends no further heartbeats.
        """
        self.announcing.cancel()
        self.state = "draining"
        for _ in range(3):
            if await self.send_heartbeat():
                self.record.write(f"the departure of {self.instance} is acknowledged")
                return time.monotonic()
        return None

    async def deregister(self) -> float | None:
        """Deregister at nodes that serve control; return when that was acknowledged, or None.

        The endpoint goes on serving. It sends no further heartbeats.
        """
        self.announcing.cancel()
        self.state = "draining"
        target = f"/-/Instances.Deregister/{self.instance}"
        for address in self.fleet.controls:
            answer = await call(address, "POST", target)
            status = "no answer" if answer is None else answer.status
            self.record.write(f"endpoint {self.instance} deregisters at {address}: {status}")
            if status == 200:
                return time.monotonic()
        return None

    async def exit(self) -> None:
        """End the endpoint, and reset its connections."""
        self.record.write(f"endpoint {self.instance} exits")
        for writer in self.writers:
            writer.transport.abort()
        await self.stop()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time; drop a request when it closes."""
        self.writers.add(writer)
        following = asyncio.create_task(read_message(reader))
        try:
            while (request := await following) is not None:
                following = asyncio.create_task(read_message(reader))
                writer.write(await self.run_while_connected(request, following))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            following.cancel()
            self.writers.discard(writer)
            writer.close()

    async def run_while_connected(self, request: Message, following: asyncio.Task) -> bytes:
        """Return the response to one request.

        Args:
            request: The request.
            following: Reads what follows on the connection, and ends when it closes.

        Raises:
            ConnectionError: The connection has closed; the request has been dropped.
        """
        work = asyncio.create_task(self.answer(request))
        try:
            await asyncio.wait({work, following}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionResetError("the caller has closed the connection")
            return work.result()
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

    async def answer(self, request: Message) -> bytes:
        """Run one request and return the response."""
        target = request.start[1]
        if target == "/healthz":
            return encode_answer(200, {"Instance-Id": self.instance, **self.describe_load()})
        identifier = request.headers.get("request-id", "")
        refusal = {"Request-Id": identifier, "Not-Executed": "1", **self.describe_load()}
        expected = request.headers.get("expected-instance", self.instance)
        if expected != self.instance:
            return encode_answer(421, refusal)
        if self.waiting >= QUEUE_LIMIT:
            return encode_answer(503, refusal)
        self.waiting += 1
        if self.free.locked():
            self.record.write(f"endpoint {self.instance} queues {identifier}")
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[identifier] = time.monotonic()
        self.record.write(f"endpoint {self.instance} begins to run {identifier}")
        try:
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.record.write(f"endpoint {self.instance} drops {identifier}: connection closed")
            raise
        finally:
            self.running -= 1
            self.free.release()
        self.ended[identifier] = time.monotonic()
        self.record.write(f"endpoint {self.instance} answers {identifier}")
        body = f"{self.instance} {identifier} {target}".encode()
        signature = f"signed.{self.instance}.{identifier}"
        headers = {"Request-Id": identifier, "Response-Signature": signature}
        return encode_answer(200, headers | self.describe_load(), body)

    def describe_load(self) -> dict[str, str]:
        """Return the headers on the load and on the departure."""
        headers = {"Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        return headers | ({"Server-Leaving": "1"} if self.state == "draining" else {})


def make_endpoints(fleet: Fleet, record: Record, work_s: float) -> dict[str, Endpoint]:
    """Return the twelve endpoints of `commandes`, by identifier: `i-ZONE-NUMBER`."""
    endpoints = {}
    for zone, count in COMMANDES.items():
        for number in range(count):
            name = f"i-{zone}-{number + 1}"
            endpoints[name] = Endpoint(
                fleet,
                record,
                name,
                "commandes",
                zone,
                FIRST_NUMBER + number,
                COMMANDES_SLOTS,
                work_s,
            )
    return endpoints
