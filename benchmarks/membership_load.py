"""Measures CPU time and bytes of the membership protocol by VM role and fleet size.

The state machines and their JSON encoding run in simulated time, and CPU time is summed per VM. The
HTTP exchanges of the messages are measured separately, between two processes on loopback.

    python -m benchmarks.membership_load ZONES VMS[,VMS...] [--seed 1] [--loaded]
    python -m benchmarks.membership_load exchange
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter
from datetime import timedelta

import attrs

from benchmarks.control_load import count_stream_bytes
from benchmarks.request_overhead import ACCESS_KEY, REPOSITORY, Ports, cpu_seconds, run_process
from camphorspread.connection.exchange import Exchange
from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import TcpNetwork
from camphorspread.connection.pool import ConnectionPool
from camphorspread.connection.server import HttpServer
from camphorspread.process.clock import SystemClock
from camphorspread.process.liveness import list_records
from camphorspread.process.membership_codec import (
    decode_digest,
    decode_heartbeat,
    encode_digest,
    encode_heartbeat,
)
from camphorspread.process.membership_exchange import (
    DigestArrived,
    FullSummaryRequested,
    HeartbeatArrived,
    RequestFullSummary,
    SendDigest,
    SendHeartbeat,
    Tick,
    apply_event,
)
from features.fixtures.membership_simulation import SERVICES, MembershipSimulation

WARM_UP_S = 4
WINDOW_S = 4
EXCHANGES = 4000
BODY_BYTES = 400
PORTS = Ports(18700)


@attrs.define(eq=False)
class MeasuredFleet(MembershipSimulation):
    """A simulated fleet that counts CPU time, messages and bytes of each VM.

    Attributes:
        cpu: CPU seconds by VM.
        received: Messages received by VM.
    """

    cpu: Counter = attrs.field(factory=Counter)
    received: Counter = attrs.field(factory=Counter)

    def apply(self, name: str, event) -> None:
        """Apply an event, list the records to publish, and encode and send its messages."""
        membership = self.vms[name].membership
        started = time.process_time()
        effects = apply_event(membership, event, self.now)
        list_records(membership, changed_vms(membership, event), self.now)
        encoded = [(effect, self.encode(name, effect)) for effect in effects]
        if self.is_counting:
            self.cpu[name] += time.process_time() - started
        for effect, body in encoded:
            self.transmit(name, effect, body, event)

    def encode(self, name: str, effect) -> bytes:
        """Return the body of a message."""
        match effect:
            case SendHeartbeat(stated=stated):
                value = encode_heartbeat(stated, self.now)
            case SendDigest(summaries=summaries):
                value = encode_digest(name, summaries, self.now)
            case RequestFullSummary(sources=sources):
                value = sources
        return json.dumps(value, separators=(",", ":")).encode()

    def transmit(self, name: str, effect, body: bytes, cause) -> None:
        """Count a message and schedule its arrival after the network delay."""
        target = cause.sender if isinstance(effect, RequestFullSummary) else effect.target.vm
        if self.is_counting:
            for vm in (name, target):
                self.bytes[vm] += len(body)
            self.messages[name] += 1
            self.received[target] += 1
        same = self.vms[name].record.region == self.vms[target].record.region
        delay = timedelta(seconds=0.0015 if same else 0.055)
        self.after(delay, lambda: self.receive(name, target, effect, body))

    def receive(self, source: str, target: str, effect, body: bytes) -> None:
        """Decode a message at its target and apply it."""
        started = time.process_time()
        value = json.loads(body)
        match effect:
            case SendHeartbeat():
                event = HeartbeatArrived(*decode_heartbeat(value, self.now))
            case SendDigest():
                event = DigestArrived(*decode_digest(value, self.now))
            case RequestFullSummary():
                event = FullSummaryRequested(source, tuple(value))
        if self.is_counting:
            self.cpu[target] += time.process_time() - started
        self.apply(target, event)


def changed_vms(membership, event) -> list[str]:
    """Return the VMs whose records an entry process publishes after an event."""
    match event:
        case Tick():
            return list(membership.members)
        case HeartbeatArrived(stated=stated):
            return [stated.record.vm]
        case DigestArrived(summaries=summaries):
            stated = {item.record.vm for summary in summaries for item in summary.members}
            return sorted(stated & set(membership.members))
        case _:
            return []


def change_load(fleet: MeasuredFleet) -> None:
    """Change the free slots of all VMs twice per second."""
    for vm in fleet.vms.values():
        free = {service: fleet.rng.randint(0, 6) for service in SERVICES}
        vm.record = attrs.evolve(vm.record, free_slots=free)
    fleet.after(timedelta(seconds=0.5), lambda: change_load(fleet))


def measure(zones: int, vms: int, seed: int, is_loaded: bool) -> None:
    """Print the figures of a delegate, of the next VM and of an ordinary VM."""
    names = {f"zone{number:02d}": vms for number in range(zones)}
    fleet = MeasuredFleet(random.Random(seed), names)
    if is_loaded:
        change_load(fleet)
    fleet.run_for(WARM_UP_S)
    fleet.is_counting = True
    fleet.run_for(WINDOW_S)
    for role, number in (("delegate", 1), ("next", 2), ("ordinary", vms)):
        # Averages over all availability zones, because the turns in a zone depend on its VM names.
        members = [f"{zone}-{number:02d}" for zone in names]

        def rate(counter: Counter, members=members) -> float:
            return sum(counter[vm] for vm in members) / len(members) / WINDOW_S

        print(
            f"{zones:3d} zones {vms:3d} VMs {'load' if is_loaded else 'rest'} {role:8} "
            f"sent {rate(fleet.messages):5.1f} received {rate(fleet.received):5.1f} messages/s, "
            f"{rate(fleet.bytes):7.0f} JSON bytes/s, {rate(fleet.cpu) * 1000:6.2f} ms "
            "CPU/s",
            flush=True,
        )


async def serve() -> None:
    """Respond to messages with an empty object."""

    async def handle(exchange: Exchange) -> None:
        await exchange.read_json()
        await exchange.respond_json(200, {})

    await TcpNetwork().listen(PORTS.address(0), HttpServer(handle).serve)
    await asyncio.sleep(60)


async def measure_exchange(process: object) -> None:
    """Print the CPU time of a message exchange at both ends and the bytes of its heads."""
    counted = count_stream_bytes()
    link = JsonLink(ConnectionPool(TcpNetwork(), SystemClock()), ACCESS_KEY * 2)
    body = {"text": "x" * (BODY_BYTES - len('{"text":""}'))}
    for _ in range(100):
        try:
            await link.call(PORTS.address(0), "POST", "/v1/peer/heartbeat", body)
            break
        except LinkError:
            await asyncio.sleep(0.1)
    counted.clear()
    for _ in range(10):
        await link.call(PORTS.address(0), "POST", "/v1/peer/heartbeat", body)
    sent, received = counted["sent"] / 10 - BODY_BYTES, counted["received"] / 10 - len("{}")
    server, client = cpu_seconds(process), time.process_time()
    for _ in range(EXCHANGES):
        await link.call(PORTS.address(0), "POST", "/v1/peer/heartbeat", body)
    client, server = time.process_time() - client, cpu_seconds(process) - server
    print(
        f"exchange: sender {client / EXCHANGES * 1e6:.0f} us, receiver "
        f"{server / EXCHANGES * 1e6:.0f} us CPU; bytes besides the bodies: request {sent:.0f}, "
        f"response {received:.0f}"
    )


def main() -> None:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("zones")
    parser.add_argument("vms", nargs="?", default="8,16,34")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--loaded", action="store_true")
    arguments = parser.parse_args()
    if arguments.zones == "serve":
        asyncio.run(serve())
    elif arguments.zones == "exchange":
        with run_process(["-m", "benchmarks.membership_load", "serve"], REPOSITORY) as process:
            asyncio.run(measure_exchange(process))
    else:
        for vms in map(int, arguments.vms.split(",")):
            measure(int(arguments.zones), vms, arguments.seed, arguments.loaded)


if __name__ == "__main__":
    sys.exit(main())
