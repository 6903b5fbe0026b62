"""Measures the latency that an entry VM adds to a request, and the lookup rate of one process.

One control process, one entry process and one stub backend server run as separate processes on
loopback. Direct calls to the stub and calls through the entry VM alternate, so that both run
under the same load of the machine. The run is bounded in count and time.

    python benchmarks/request_overhead.py [--tree DIRECTORY] [--pairs 3000] [--seconds 5]

`--tree` names a checkout whose entry process is measured, to compare versions; callers and stub
come from this one.
"""

import argparse
import asyncio
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import attrs

REPOSITORY = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REPOSITORY))

from camphorspread.connection.link import JsonLink, LinkError  # noqa: E402
from camphorspread.connection.network import Address, TcpNetwork  # noqa: E402
from camphorspread.connection.pool import ConnectionPool  # noqa: E402
from camphorspread.process.clock import SystemClock  # noqa: E402
from camphorspread.process.endpoints import Announcement  # noqa: E402
from camphorspread.process.stub_backend_server import (  # noqa: E402
    StubBackendServer,
    start_stub_backend_server,
)
from camphorspread.version.catalogue import ServiceClass, ServiceEntry  # noqa: E402
from camphorspread.version.changes import ChangeRequest, PutService  # noqa: E402
from camphorspread.version.codec import encode  # noqa: E402

HOST = "127.0.0.1"
ACCESS_KEY = b"benchmark-key"
SERVICE = "status-svc"
WARM_UP_CALLS = 300
TIME_LIMIT_S = 60
LOOKUP_CONNECTIONS = 8
SLOTS = 6
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Ports:
    """Loopback addresses on consecutive ports from a base port on."""

    base: int

    def address(self, offset: int) -> Address:
        """Return the address at an offset from the base port."""
        return Address(HOST, self.base + offset)


(
    CALLERS_PORT_OFFSET,
    BACKENDS_PORT_OFFSET,
    PEERS_PORT_OFFSET,
    OPERATORS_PORT_OFFSET,
    CONTROL_PEERS_PORT_OFFSET,
    CONTROL_OPERATORS_PORT_OFFSET,
    STUB_PORT_OFFSET,
) = range(7)


def write_settings(folder: Path, ports: Ports) -> tuple[Path, Path]:
    """Write the settings of the control and the entry process; return their paths."""
    key_file = folder / "key"
    key_file.write_bytes(ACCESS_KEY)
    place = {"vm": "bench-1", "availability_zone": "bench-a", "region": "bench"}

    def at(offset: int) -> dict[str, object]:
        return attrs.asdict(ports.address(offset))

    replica = {
        "vm": "bench-1",
        "peers": at(CONTROL_PEERS_PORT_OFFSET),
        "operators": at(CONTROL_OPERATORS_PORT_OFFSET),
    }
    common = {"place": place, "replicas": [replica], "access_key_file": str(key_file)}
    control = {
        **common,
        "role": "control",
        "peers": at(CONTROL_PEERS_PORT_OFFSET),
        "operators": at(CONTROL_OPERATORS_PORT_OFFSET),
        "data_folder": str(folder / "control"),
    }
    entry = {
        **common,
        "role": "entry",
        "callers": at(CALLERS_PORT_OFFSET),
        "backend_servers": at(BACKENDS_PORT_OFFSET),
        "peers": at(PEERS_PORT_OFFSET),
        "operators": at(OPERATORS_PORT_OFFSET),
        "entry_vms": [
            {**place, "callers": at(CALLERS_PORT_OFFSET), "peers": at(PEERS_PORT_OFFSET)}
        ],
        "data_folder": str(folder / "entry"),
    }
    paths = folder / "control.json", folder / "entry.json"
    for path, value in zip(paths, (control, entry), strict=True):
        path.write_text(json.dumps(value))
    for name in ("control", "entry"):
        (folder / name).mkdir()
    return paths


@contextlib.contextmanager
def run_process(arguments: list[str], tree: Path) -> Iterator[subprocess.Popen]:
    """Run a Python process from a checkout until the end of the block."""
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    process = subprocess.Popen(
        [sys.executable, *arguments], cwd=tree, env=environment, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def run_stub(ports: Ports) -> None:
    """Run the stub backend server, which responds without delay."""
    network = TcpNetwork()
    announcement = Announcement(
        SERVICE, "stub-1", "bench-a", ports.address(STUB_PORT_OFFSET), SLOTS
    )
    link = JsonLink(ConnectionPool(network, SystemClock()))
    backend = StubBackendServer(announcement, ports.address(BACKENDS_PORT_OFFSET), link)
    backend.service_time *= 0
    await start_stub_backend_server(network, backend)
    await asyncio.sleep(2 * TIME_LIMIT_S)


async def add_service(ports: Ports) -> None:
    """Add the service to the catalogue and wait until the entry VM serves a request for it."""
    link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY)
    entry = ServiceEntry(SERVICE, "bench", ServiceClass.INTERACTIVE, 0, 100)
    change = encode(ChangeRequest("bench-1", 0, "bench", PutService(entry)))
    await call_until_200(
        link, ports.address(CONTROL_OPERATORS_PORT_OFFSET), "/v1/catalogue/changes", change
    )
    await call_until_200(link, ports.address(CALLERS_PORT_OFFSET), f"/v1/lookup?service={SERVICE}")
    await wait_for_stub(ports)


async def call_until_200(link: JsonLink, address: Address, target: str, value=None) -> None:
    """Repeat a message until the response has status 200."""
    for _ in range(100):
        with contextlib.suppress(LinkError):
            response = await link.call(address, "POST" if value else "GET", target, value)
            if response.status == 200:
                return
        await asyncio.sleep(0.1)
    raise SystemExit(f"{target} at {address} didn't return status 200")


async def wait_for_stub(ports: Ports) -> None:
    """Repeat a request through the entry VM until the stub responds."""
    caller = await Caller.connect(ports.address(CALLERS_PORT_OFFSET), f"/s/{SERVICE}/")
    for _ in range(100):
        if (await caller.call()).startswith(b"HTTP/1.1 200"):
            return
        await asyncio.sleep(0.1)
    raise SystemExit("the entry VM can't reach the stub backend server")


@attrs.define
class Caller:
    """A minimal HTTP client that sends fixed bytes and reads one response."""

    address: Address
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    request: bytes
    reopened: int = 0

    @classmethod
    async def connect(cls, address: Address, target: str) -> "Caller":
        """Open a connection."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        request = f"GET {target} HTTP/1.1\r\nhost: bench\r\n\r\n".encode()
        return cls(address, reader, writer, request)

    async def reopen(self) -> None:
        """Replace a connection that the other end has closed."""
        self.writer.close()
        host, port = self.address.host, self.address.port
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.reopened += 1

    async def call(self) -> bytes:
        """Send the request and return the head of the response after the whole body.

        Early versions close the connection after a lookup; it is then reopened.
        """
        while True:
            self.writer.write(self.request)
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
                break
            except (asyncio.IncompleteReadError, ConnectionError):
                await self.reopen()
        lower = head.lower()
        length = lower.partition(b"content-length:")[2].partition(b"\r\n")[0]
        await self.reader.readexactly(int(length))
        return head


def cpu_seconds(process: subprocess.Popen) -> float:
    """Return the CPU time of a process that this benchmark started."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure_requests(ports: Ports, process: subprocess.Popen, pairs: int) -> None:
    """Alternate direct calls and calls through the entry VM, and print the added latency."""
    direct = await Caller.connect(ports.address(STUB_PORT_OFFSET), "/")
    steered = await Caller.connect(ports.address(CALLERS_PORT_OFFSET), f"/s/{SERVICE}/")
    for _ in range(WARM_UP_CALLS):
        await direct.call()
        await steered.call()
    times: tuple[list[float], list[float]] = ([], [])
    errors = 0
    cpu, start_time = cpu_seconds(process), time.perf_counter()
    while len(times[0]) < pairs and time.perf_counter() - start_time < TIME_LIMIT_S:
        for caller, record in zip((direct, steered), times, strict=True):
            sent = time.perf_counter()
            head = await caller.call()
            record.append((time.perf_counter() - sent) * 1000)
            errors += not head.startswith(b"HTTP/1.1 200")
    cpu = cpu_seconds(process) - cpu
    added = [one - other for one, other in zip(times[1], times[0], strict=True)]
    count = len(added)
    for title, values in (("direct", times[0]), ("through", times[1]), ("added", added)):
        cuts = statistics.quantiles(values, n=100)
        print(f"{title:8} median {statistics.median(values):6.3f} ms  p99 {cuts[98]:6.3f} ms")
    cpu_us = cpu / count * 1e6
    print(f"pairs {count}, not status 200: {errors}, entry CPU {cpu_us:.0f} us per request")


async def measure_lookups(ports: Ports, process: subprocess.Popen, seconds: float) -> None:
    """Send lookups on some connections for a bounded time and print the rate."""
    callers = [
        await Caller.connect(ports.address(CALLERS_PORT_OFFSET), f"/v1/lookup?service={SERVICE}")
        for _ in range(LOOKUP_CONNECTIONS)
    ]
    start_time, cpu = time.perf_counter(), cpu_seconds(process)

    async def send(caller: Caller) -> int:
        count = 0
        while time.perf_counter() - start_time < seconds:
            head = await caller.call()
            count += head.startswith(b"HTTP/1.1 200")
        return count

    count = sum(await asyncio.gather(*(send(caller) for caller in callers)))
    elapsed = time.perf_counter() - start_time
    share = (cpu_seconds(process) - cpu) / elapsed
    rate = count / elapsed
    print(f"lookups  {rate:7.0f} /s at {share:.2f} of a core, {count} in {elapsed:.1f} s")
    print(f"reopened connections: {sum(caller.reopened for caller in callers)}")


async def measure(ports: Ports, process: subprocess.Popen, pairs: int, seconds: float) -> None:
    """Run all measurements."""
    await add_service(ports)
    await measure_requests(ports, process, pairs)
    await measure_lookups(ports, process, seconds)


def main() -> None:
    """Start the processes and measure."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--tree", type=Path, default=REPOSITORY)
    parser.add_argument("--pairs", type=int, default=3000)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--base-port", type=int, default=18400)
    parser.add_argument("--stub", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    ports = Ports(arguments.base_port)
    if arguments.stub:
        asyncio.run(run_stub(ports))
        return
    with tempfile.TemporaryDirectory() as folder:
        control, entry = write_settings(Path(folder), ports)
        run = ["-m", "camphorspread", "run"]
        stub = [str(Path(__file__).resolve()), "--stub", "--base-port", str(ports.base)]
        with (
            run_process([*run, str(control)], arguments.tree),
            run_process([*run, str(entry)], arguments.tree) as process,
            run_process(stub, REPOSITORY),
        ):
            asyncio.run(measure(ports, process, arguments.pairs, arguments.seconds))


if __name__ == "__main__":
    main()
