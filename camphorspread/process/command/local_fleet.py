"""`camphorspread local-fleet`: run a small fleet on loopback and send requests through it."""

import asyncio
import json
from collections import Counter

from camphorspread.connection.client import open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address, TcpNetwork
from camphorspread.process.clock import SystemClock
from camphorspread.process.entry_node import EntryNode
from camphorspread.process.local_fleet import LocalFleet, run_fleet
from camphorspread.version.catalogue import ServiceClass, ServiceEntry
from camphorspread.version.changes import ChangeRequest, PutService
from camphorspread.version.codec import encode

__all__ = ["run_local_fleet"]

SERVICE_ENTRIES = (
    ServiceEntry("status-svc", "water platform", ServiceClass.INTERACTIVE, 50, 200),
    ServiceEntry("filing-svc", "water platform", ServiceClass.CRITICAL, 20, 100, ("POST /",)),
)


def run_local_fleet(requests: int, base_port: int) -> int:
    """Run the fleet, send requests and print the responses; return the exit code."""
    return asyncio.run(run_demo(requests, base_port))


async def run_demo(requests: int, base_port: int) -> int:
    """Start a fleet, add catalogue entries, look up a service and send requests to it."""
    network = TcpNetwork()
    async with run_fleet(lambda _host: network, SystemClock(), base_port) as fleet:
        await add_entries(fleet)
        await wait_until_ready(fleet)
        first = fleet.plan.entry_vms()[0].callers
        lookup = await fleet.link.call(first, "GET", "/v1/lookup?service=status-svc")
        print(f"lookup of status-svc at {first}:")
        print(json.dumps(lookup.value, indent=2))
        served = await send_requests(network, lookup.value, requests)
    for name, count in sorted(served.items()):
        print(f"{count:6d} {name}")
    return 0 if sum(served.values()) == requests else 1


async def add_entries(fleet: LocalFleet) -> None:
    """Send the changes that an operator would send."""
    for entry in SERVICE_ENTRIES:
        change = ChangeRequest(f"demo-{entry.name}", 0, "demo", PutService(entry))
        address = fleet.plan.replicas()[0].operators
        response = await fleet.link.call(address, "POST", "/v1/catalogue/changes", encode(change))
        print(f"change accepted: {entry.name} at version {response.value['version']}")


async def wait_until_ready(fleet: LocalFleet) -> None:
    """Wait until each entry VM has the newest catalogue version and knows its endpoints."""
    newest = fleet.control.catalogue.version
    for node in fleet.entries:
        while not is_ready(node, newest):  # noqa: ASYNC110 - The state has no event for this.
            await asyncio.sleep(0.02)


def is_ready(node: EntryNode, version: int) -> bool:
    """Return True if the entry VM has this catalogue version and an endpoint of each service."""
    catalogue = node.state.catalogue
    known = len(node.state.registry.services) >= len(SERVICE_ENTRIES)
    return known and catalogue is not None and catalogue.version >= version


async def send_requests(network: TcpNetwork, lookup: dict, requests: int) -> Counter[str]:
    """Send requests to the first target one at a time; count the responses by backend server."""
    target = lookup["targets"][0]
    conn = await open_connection(
        network, Address(target["host"], target["port"]), ConnectionLimits()
    )
    served: Counter[str] = Counter()
    for number in range(requests):
        path = f"/s/status-svc/applications/{number}".encode()
        await conn.send_head(RequestHead(b"GET", path, ((b"host", b"status-svc"),)))
        await conn.finish_request()
        head = await conn.read_final_head()
        body = b""
        while data := await conn.read_body():
            body += data
        if head.status == 200:
            served[f"responses from {body.split()[0].decode()}"] += 1
        conn.prepare_next_request()
    conn.close()
    return served
