"""A stand-in of one endpoint, run as a process of its own: `endpoint.py SETTINGS`.

It announces itself, runs one request at a time on a connection, and appends a line to a record file
for each request that it runs or rejects. After SIGTERM it drains, deregisters and exits. Its
settings are a JSON object whose optional fields are those of `DEFAULTS`.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import sys
import time
from types import SimpleNamespace

from harness.wire import BrokenError, call, read_body, read_head

DEFAULTS = {
    "slots": 3,
    "work_ms": 300,
    "heartbeat_ms": 1500,
    "cold_ms": 0,
    "answer_bytes": 400,
    "drain_ms": 2500,
    "after_drain_ms": 400,
    "exit_unacknowledged_ms": 4000,
    "late_ms": 0,
}
IDLE_S = 10
QUEUE_FACTOR = 3


class Endpoint:
    """The endpoint: its settings, its load and its announcements."""

    def __init__(self, settings: dict) -> None:
        """Store the settings; `born` and `seq` begin anew with each process."""
        self.settings = SimpleNamespace(**{**DEFAULTS, **settings})
        self.born = time.time_ns() // 1_000_000
        self.seq = 0
        self.state = "ready"
        self.left = asyncio.Event()
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(self.settings.slots)
        self.owner = ""
        self.record_file = os.open(
            self.settings.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600
        )

    def record(self, **fields: object) -> None:
        """Append one line to the record."""
        line = {"at": round(time.time(), 3), "instance": self.settings.instance, **fields}
        os.write(self.record_file, json.dumps(line).encode() + b"\n")

    async def announce(self) -> None:
        """Send heartbeats, the first one at once, until the endpoint leaves."""
        while self.state == "ready":
            await self.send_call("/-/Instances.Heartbeat/")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.settings.heartbeat_ms / 1000):
                    await self.left.wait()

    async def leave(self) -> None:
        """Report the drain, serve for a little longer than the drain time, and deregister.

        Without an acknowledgement the endpoint exits anyway, some seconds later.
        """
        self.state = "draining"
        self.left.set()
        call_task = asyncio.create_task(self.send_call("/-/Instances.Heartbeat/"))
        limit_s = self.settings.exit_unacknowledged_ms / 1000
        await asyncio.wait({call_task}, timeout=limit_s)
        if not call_task.done() or not call_task.result():
            self.record(event="unacknowledged")
            return
        self.record(event="drain_acknowledged")
        longer_ms = self.settings.drain_ms + self.settings.after_drain_ms
        await asyncio.sleep(longer_ms / 1000)
        await self.send_call("/-/Instances.Deregister/")

    async def send_call(self, path: str) -> bool:
        """Report the present state; return True if the call was acknowledged.

        The owner that was named last is called first, then the control VMs in turn.
        """
        self.seq += 1
        cold_until = self.born + self.settings.cold_ms
        value = {
            "service": self.settings.service,
            "address": f"{self.settings.host}:{self.settings.port}",
            "zone": self.settings.zone,
            "version": "v1",
            "slots": self.settings.slots,
            "state": self.state,
            "coldRemainingMs": max(cold_until - time.time_ns() // 1_000_000, 0),
            "seq": self.seq,
            "born": self.born,
        }
        body = json.dumps(value).encode()
        if self.state == "draining" and self.settings.late_ms:
            # The network holds up the calls; none is answered within a second.
            await asyncio.sleep(self.settings.late_ms / 1000)
        for address in [*([self.owner] if self.owner else []), *self.settings.controls]:
            try:
                headers = {"Content-Type": "application/json"}
                path_of_call = path + self.settings.instance
                status, _, data = await call(address, "POST", path_of_call, headers, body)
                if status == 200:
                    owner = json.loads(data).get("heartbeatUrl") or self.owner
                    if owner != self.owner:
                        self.record(event="owner", address=owner, by=address, state=self.state)
                    self.owner = owner
                    return True
            except (BrokenError, ValueError):
                pass
            self.owner = ""
        return False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends or is idle for too long."""
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    head = await read_head(reader)
                if head is None:
                    return
                await self.serve_request(head, reader, writer)
        except (BrokenError, ConnectionError, TimeoutError):
            return
        finally:
            writer.close()

    async def serve_request(
        self,
        head: tuple[str, dict[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read one request; run or reject it, and answer."""
        first, headers = head
        method, path, _ = first.split(" ", 2)
        request_id = headers.get("request-id", "")
        body = await read_body(reader, headers)
        if method == "GET" and path == "/healthz":
            await self.answer(writer, 200, {"Instance-Id": self.settings.instance}, b"")
            return
        if headers.get("expected-instance", self.settings.instance) != self.settings.instance:
            self.record(event="misdirected", request=request_id)
            fields = {"Request-Id": request_id, "Not-Executed": "1"}
            await self.answer(writer, 421, fields, b"")
            return
        if self.waiting >= QUEUE_FACTOR * self.settings.slots:
            fields = {"Request-Id": request_id, "Not-Executed": "1"}
            await self.answer(writer, 503, fields, b"")
            return
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            try:
                await self.run(writer, method, path, request_id, body)
            finally:
                self.running -= 1

    async def run(
        self, writer: asyncio.StreamWriter, method: str, path: str, request_id: str, body: bytes
    ) -> None:
        """Run one request and send its response."""
        digest = hashlib.sha256(body).hexdigest()[:16]
        self.record(
            event="run",
            service=self.settings.service,
            request=request_id,
            method=method,
            path=path,
            bytes=len(body),
            digest=digest,
        )
        await asyncio.sleep(self.settings.work_ms / 1000)
        fields = {"Request-Id": request_id, "Response-Signature": digest}
        # A path that ends with a number asks for an answer of that size.
        last = path.rpartition("/")[2]
        size = int(last) if last.isdigit() else self.settings.answer_bytes
        await self.answer(writer, 200, fields, b"a" * size)
        self.record(event="answered", request=request_id, bytes=size)

    async def answer(
        self, writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes
    ) -> None:
        """Send a response on a connection that stays open."""
        load = f"{self.running},{self.waiting},{self.settings.slots}"
        fields = {**fields, "Server-Load": load, "Keep-Alive": f"timeout={IDLE_S}"}
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
        lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields.items())]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


async def main(settings: dict) -> None:
    """Run the endpoint until it has left or the process is killed."""
    endpoint = Endpoint(settings)
    server = await asyncio.start_server(
        endpoint.serve, settings["host"], settings["port"], limit=1 << 20
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    announcing = asyncio.create_task(endpoint.announce())
    await stopped.wait()
    await endpoint.leave()
    await announcing
    endpoint.record(event="exit", running=endpoint.running)
    # The process exits with its open connections.
    server.close()
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
