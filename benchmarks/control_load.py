"""Measures one control process under the polls and share renewals of many entry VMs on loopback.

CPU time is that of the control process alone, from `/proc`; entry VMs are simulated by asyncio
clients in three separate processes. Each run is bounded in count and time.

Usage: python -m benchmarks.control_load load VMS...
"""

import argparse
import asyncio
import contextlib
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from datetime import timedelta
from pathlib import Path

import attrs

from benchmarks.request_overhead import (
    ACCESS_KEY,
    CONTROL_OPERATORS_PORT_OFFSET,
    CONTROL_PEERS_PORT_OFFSET,
    REPOSITORY,
    Ports,
    cpu_seconds,
    run_process,
    write_settings,
)
from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import TcpNetwork, TcpStream
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.catalogue_poll import POLL_HOLD, POLL_TIMEOUT
from camphorspread.process.clock import SystemClock
from camphorspread.process.share_renewal import RENEWAL_INTERVAL, RENEWAL_TIMEOUT
from camphorspread.version.catalogue import (
    AvailabilityZoneEntry,
    RegionEntry,
    ServiceClass,
    ServiceEntry,
)
from camphorspread.version.changes import Change, ChangeRequest, PutRegion, PutService
from camphorspread.version.codec import encode
from camphorspread.version.delivery import NO_CATALOGUE_VERSION
from camphorspread.version.share_allocator import RenewalRequest
from camphorspread.version.share_codec import encode_renewal
from camphorspread.version.shares import RenewalDemand, ShareKey, ShareKind

CLIENT_PROCESSES = 3
WINDOW_S = 8.0
# Time for the clients to start and to open their connections before the window begins.
CLIENT_START_S = 3.0
CHANGES = 40
VM_COUNT, REGION_COUNT, SERVICE_COUNT = 720, 8, 16
CALL_TIMEOUT = timedelta(seconds=20)


def vm_name(number: int) -> str:
    """Return the name of an entry VM."""
    return f"vm-{number:03d}"


def make_region(number: int) -> PutRegion:
    """Return a region with an eighth of the VMs, in availability zones of up to 30 VMs."""
    names = [vm_name(vm) for vm in range(number, VM_COUNT, REGION_COUNT)]
    zones = tuple(
        AvailabilityZoneEntry(f"zone-{number}-{first}", tuple(names[first : first + 30]))
        for first in range(0, len(names), 30)
    )
    return PutRegion(RegionEntry(f"region-{number}", "network", 4000, zones))


def make_service(number: int, owner: str = "network") -> PutService:
    """Return the entry of a service."""
    rules = ("POST /orders", "POST /payments")
    entry = ServiceEntry(f"service-{number:05d}", owner, ServiceClass.INTERACTIVE, 500, 1000, rules)
    return PutService(entry)


async def send_change(link: JsonLink, ports: Ports, version: int, change: Change) -> int:
    """Send a change and return the new version of its entry."""
    request = encode(ChangeRequest(f"c-{time.monotonic_ns()}-{id(change)}", version, "b", change))
    address = ports.address(CONTROL_OPERATORS_PORT_OFFSET)
    response = await link.call(address, "POST", "/v1/catalogue/changes", request, CALL_TIMEOUT)
    if response.status != 200:
        raise SystemExit(f"a change was refused: {response.value}")
    return response.value["version"]


async def fill_catalogue(link: JsonLink, ports: Ports, services: int) -> None:
    """Wait for a leader and add all regions and the services, 20 changes at a time."""
    address = ports.address(CONTROL_OPERATORS_PORT_OFFSET)
    for _ in range(100):
        with contextlib.suppress(LinkError):
            if (await link.call(address, "GET", "/v1/status")).value.get("role") == "leader":
                break
        await asyncio.sleep(0.1)
    changes = [make_region(number) for number in range(REGION_COUNT)]
    changes += [make_service(number) for number in range(services)]
    for first in range(0, len(changes), 20):
        group = changes[first : first + 20]
        await asyncio.gather(*(send_change(link, ports, 0, change) for change in group))


def make_renewal(vm: int, number: int, region: int) -> dict[str, object]:
    """Return the request of a VM with demand for its region and two of its services."""
    name = f"region-{region}"
    demand = {ShareKey(ShareKind.REGION_LIMIT, name): RenewalDemand(20, 0, 12)}
    for service in ("service-00000", "service-00001"):
        demand[ShareKey(ShareKind.SERVICE_REGION_LIMIT, name, service)] = RenewalDemand(10, 0, 6)
    request = RenewalRequest(vm_name(vm), f"{vm:016x}", number, max(number - 1, 0), demand)
    return encode_renewal(request)


def make_message(kind: str, vm: int, number: int, version: int) -> tuple[str, object, timedelta]:
    """Return path, body and time limit of one message of an entry VM."""
    match kind:
        case "renew":
            body = make_renewal(vm, number, vm % REGION_COUNT)
            return "/v1/shares/renew", body, RENEWAL_TIMEOUT
        case "first":
            body = {"vm": vm_name(vm), "version": NO_CATALOGUE_VERSION, "hold_ms": 0}
        case "move":
            body = {"vm": vm_name(vm), "version": version, "hold_ms": 0}
        case _:
            hold = int(POLL_HOLD.total_seconds() * 1000)
            body = {"vm": vm_name(vm), "version": version, "hold_ms": hold}
    return "/v1/catalogue/poll", body, POLL_TIMEOUT


def count_stream_bytes() -> Counter:
    """Count the bytes that the streams of this process write and read."""
    counted: Counter = Counter()
    write, update = TcpStream.write, TcpStream.buffer_updated

    async def write_counted(self: TcpStream, data: bytes) -> None:
        counted["sent"] += len(data)
        await write(self, data)

    def update_counted(self: TcpStream, nbytes: int) -> None:
        counted["received"] += nbytes
        update(self, nbytes)

    TcpStream.write, TcpStream.buffer_updated = write_counted, update_counted
    return counted


def newest_version(value: dict, known: int) -> int:
    """Return the catalogue version of an entry VM after a poll response."""
    return max([known, *(delta["version"] for delta in value.get("deltas", ()))])


async def run_clients(arguments: argparse.Namespace) -> None:
    """Simulate a third of the entry VMs for one window and print their counts as JSON."""
    counted, ports = count_stream_bytes(), Ports(arguments.base_port)
    vms = range(arguments.part, arguments.vms, CLIENT_PROCESSES)
    times: list[float] = []
    late = failed = 0

    async def run_vm(vm: int) -> None:
        nonlocal late, failed
        link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY)
        version = arguments.version
        # In a burst all VMs begin at once; otherwise their starts are spread over half a second.
        begin = arguments.begin - (0 if arguments.burst else 2 - 0.5 * vm / arguments.vms)
        await asyncio.sleep(begin - time.monotonic())
        # Numbers grow over all runs, because the leader ignores those that it has seen.
        number = first = time.monotonic_ns() // 1_000_000
        while number == first or (not arguments.burst and time.monotonic() < arguments.end):
            number += 1
            path, body, limit = make_message(arguments.kind, vm, number, version)
            sent = time.monotonic()
            try:
                response = await link.call(
                    ports.address(CONTROL_PEERS_PORT_OFFSET), "POST", path, body, CALL_TIMEOUT
                )
            except LinkError:
                failed += 1
                await asyncio.sleep(0.2)
                continue
            now = time.monotonic()
            if arguments.begin <= now < arguments.end:
                times.append(now - sent)
                late += now - sent > limit.total_seconds()
            version = newest_version(response.value, version)
            if arguments.kind == "renew":
                rest = RENEWAL_INTERVAL.total_seconds() - (now - sent)
                await asyncio.sleep(max(rest, 0))

    async def snapshot() -> tuple[float, int, int]:
        await asyncio.sleep(arguments.begin - time.monotonic())
        return time.process_time(), counted["sent"], counted["received"]

    before, *_ = await asyncio.gather(snapshot(), *(run_vm(vm) for vm in vms))
    result = {
        "count": len(times),
        "slowest_s": max(times, default=0),
        "late": late,
        "failed": failed,
        "client_cpu_s": time.process_time() - before[0],
        "sent": counted["sent"] - before[1],
        "received": counted["received"] - before[2],
    }
    print(json.dumps(result))


@attrs.frozen
class ControlProcess:
    """The control process under test and how to reach it."""

    ports: Ports
    link: JsonLink
    process: object
    entry_settings: Path


async def run_window(
    target: ControlProcess,
    kind: str,
    vms: int,
    window_s: float,
    version: int,
    is_burst=False,
    during=None,
) -> dict[str, float]:
    """Run simulated entry VMs for one window; return counts and CPU seconds."""
    begin = time.monotonic() + CLIENT_START_S
    command = [sys.executable, "-m", "benchmarks.control_load", "clients", "--kind", kind]
    command += ["--vms", str(vms), "--version", str(version), "--begin", str(begin)]
    command += ["--end", str(begin + window_s), "--base-port", str(target.ports.base)]
    command += ["--burst"] if is_burst else []
    children = [
        await asyncio.create_subprocess_exec(
            *command, "--part", str(part), cwd=REPOSITORY, stdout=asyncio.subprocess.PIPE
        )
        for part in range(CLIENT_PROCESSES)
    ]
    await asyncio.sleep(begin - time.monotonic())
    cpu = cpu_seconds(target.process)
    if during:
        await during(begin + window_s)
    await asyncio.sleep(begin + window_s - time.monotonic())
    # A burst may outlast its window; its CPU time is counted until the last response.
    outputs = await asyncio.gather(*(child.communicate() for child in children)) if is_burst else []
    cpu = cpu_seconds(target.process) - cpu
    outputs = outputs or await asyncio.gather(*(child.communicate() for child in children))
    parts = [json.loads(output) for output, _ in outputs]
    total = {name: sum(part[name] for part in parts) for name in parts[0]}
    total["slowest_s"] = max(part["slowest_s"] for part in parts)
    return {**total, "cpu_s": cpu, "window_s": window_s}


def print_window(title: str, vms: int, result: dict[str, float]) -> None:
    """Print the results of one window as a line."""
    count = max(result["count"], 1)
    share = result["cpu_s"] / result["window_s"]
    per_message_us = {name: result[name] / count * 1e6 for name in ("cpu_s", "client_cpu_s")}
    print(
        f"{title:9} {vms:4d} VMs  {result['count']:6.0f} answered  control CPU {share:5.3f} core, "
        f"{per_message_us['cpu_s']:6.0f} us per message; VM CPU "
        f"{per_message_us['client_cpu_s']:5.0f} us per message; bytes per message "
        f"{result['sent'] / count:4.0f} sent, {result['received'] / count:7.0f} received; "
        f"slowest {result['slowest_s'] * 1000:6.0f} ms, over limit {result['late']:.0f}, "
        f"failed {result['failed']:.0f}",
        flush=True,
    )


async def measure_load(target: ControlProcess, vm_counts: list[int]) -> None:
    """Measure polls, changes, renewals and bursts at several numbers of entry VMs."""
    await fill_catalogue(target.link, target.ports, SERVICE_COUNT)
    changed = PutService(make_service(0).entry)
    entry_version = await send_change(target.link, target.ports, REGION_COUNT + 1, changed)
    for vms in vm_counts:
        version = entry_version
        idle = await run_window(target, "poll", vms, WINDOW_S, version)
        print_window("polls", vms, idle)

        async def send_changes(end: float) -> None:
            nonlocal entry_version
            for number in range(CHANGES):
                change = make_service(0, f"owner {number}")
                entry_version = await send_change(target.link, target.ports, entry_version, change)
                await asyncio.sleep(min(WINDOW_S / CHANGES, max(end - time.monotonic(), 0)) * 0.9)

        loaded = await run_window(target, "poll", vms, WINDOW_S, version, during=send_changes)
        print_window("changes", vms, loaded)
        print_window("move", vms, await run_window(target, "move", vms, 2, entry_version, True))
        print_window(
            "renewals", vms, await run_window(target, "renew", vms, WINDOW_S, entry_version)
        )
        print_window("shares", vms, await run_window(target, "renew", vms, 2, entry_version, True))


@contextlib.asynccontextmanager
async def run_control(base_port: int) -> AsyncIterator[ControlProcess]:
    """Run a control process until the end of the block."""
    ports = Ports(base_port)
    with tempfile.TemporaryDirectory() as folder:
        path, entry_settings = write_settings(Path(folder), ports)
        value = json.loads(path.read_text())
        # All clients share one IP address here, unlike VMs, so the limit per peer is raised.
        path.write_text(json.dumps({**value, "limits": {"connections_per_peer": 2000}}))
        with run_process(["-m", "camphorspread", "run", str(path)], REPOSITORY) as process:
            link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY)
            yield ControlProcess(ports, link, process, entry_settings)


async def measure(arguments: argparse.Namespace) -> None:
    """Run all measurements."""
    async with run_control(arguments.base_port) as target:
        await measure_load(target, arguments.sizes)


def main() -> None:
    """Parse the command line and run the chosen part."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("what", choices=("load", "clients"))
    parser.add_argument("sizes", nargs="*", type=int)
    parser.add_argument("--base-port", type=int, default=18600)
    for name, kind in (("vms", int), ("part", int), ("version", int), ("kind", str)):
        parser.add_argument(f"--{name}", type=kind, help=argparse.SUPPRESS)
    for name in ("begin", "end"):
        parser.add_argument(f"--{name}", type=float, help=argparse.SUPPRESS)
    parser.add_argument("--burst", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.what == "clients":
        asyncio.run(run_clients(arguments))
        return
    asyncio.run(measure(arguments))


if __name__ == "__main__":
    main()
