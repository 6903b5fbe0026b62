"""Starts and ends the project's own programs and stand-ins as processes on loopback addresses."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.wire import BrokenError, call

__all__ = ["Fleet", "Record", "find_free_network", "make_route", "make_service", "run_case"]

REPOSITORY = Path(__file__).resolve().parents[2]
# The commands of the deploy file; both roles run the same one.
COMMAND = (sys.executable, "-m", "camphorspread", "platform-node")
CONTROL_PORT, LOOKUP_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT = 8649, 8644, 8641, 8640, 7620
METRICS_PORTS = (9464, 9465)
SEED_COUNT = 3
CASE_LIMIT_S = 110
# Zones and bounds of the small site `legoff-garters`.
ZONES = {
    "quimper-a": "bretagne",
    "paris-a": "ile-de-france",
    "londres-a": "londres",
    "quimper-b": "bretagne",
    "paris-b": "ile-de-france",
    "londres-b": "londres",
}
TERMS = """provider.discovery=registration
provider.entry=directory
provider.heartbeatMs=1500
provider.configMode=highest
terms.contracts=base,drain,config,cost,retry,recover,places
terms.faultTolerance.machines=2
terms.faultTolerance.zones=1
terms.faultTolerance.regions=1
terms.bounds.seedLagS=3
terms.bounds.reuseAfterS=2
terms.bounds.contactWindowMs=3000
terms.bounds.ackMs=4000
terms.bounds.catchUpS=4
terms.bounds.drainMs=2500
terms.bounds.graceS=6
terms.bounds.lossSlackMs=200
terms.bounds.configApplyMs=2500
terms.bounds.rollbackSlackMs=250
terms.bounds.maxSkewMs=5000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.budgetSlack=60
terms.bounds.coldOverage=1.5
terms.bounds.coldTolerance=5
terms.bounds.evacuationMs=5000
terms.bounds.recoveryS=15
terms.bounds.ttl_max_s=5
terms.bounds.maxRegionShift=0.15""".splitlines()


def find_free_network() -> int:
    """Return a second octet of 127.0.0.0/8 on which no port of a fleet is in use."""
    for _ in range(50):
        octet = random.randint(20, 250)
        try:
            for port in (CONTROL_PORT, LOOKUP_PORT, FRONT_PORT, INTERNAL_PORT, *METRICS_PORTS):
                for zone in range(1, len(ZONES) + 1):
                    with socket.socket() as probe:
                        probe.bind((f"127.{octet}.{zone}.1", port))
        except OSError:
            continue
        return octet
    raise BrokenError("no free loopback network")


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": "garters.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1200,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "allowedRegions": [],
        **fields,
    }


def make_service(name: str) -> dict:
    """Return one service of a configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 3.0,
        "coldPerS": 10.0,
    }


class Record:
    """The record of a case: what was sent, answered and run, and notes of the script."""

    def __init__(self, path: Path) -> None:
        """Empty the file at the path."""
        self.path = path
        path.write_text("")

    def write(self, **fields: object) -> None:
        """Append one line."""
        with self.path.open("a") as file:
            file.write(json.dumps({"at": round(time.time(), 3), **fields}) + "\n")

    def note(self, text: str) -> None:
        """Append a line of text, and print it."""
        self.write(event="note", text=text)
        print(text, flush=True)

    def read(self, event: str) -> list[dict]:
        """Return the lines of one event."""
        lines = (json.loads(line) for line in self.path.read_text().splitlines())
        return [line for line in lines if line["event"] == event]


class Fleet:
    """All processes of a case."""

    def __init__(self, record: Record, entries: dict[str, int] | None = None) -> None:
        """Choose addresses; `entries` states the number of entry VMs of each zone."""
        self.record = record
        self.octet = find_free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.entries = entries or dict.fromkeys(ZONES, 1)
        self.processes: dict[str, subprocess.Popen] = {}
        self.started: set[str] = set()
        self.next_host = 50

    def zone_host(self, zone: str, number: int) -> str:
        """Return an address of a zone."""
        return f"127.{self.octet}.{list(ZONES).index(zone) + 1}.{number}"

    def entry_host(self, zone: str, number: int = 1) -> str:
        """Return the address of an entry VM; those of a zone are numbered from 1."""
        return self.zone_host(zone, 10 + number)

    def front(self, zone: str, number: int = 1) -> str:
        """Return where an entry VM accepts callers."""
        return f"{self.entry_host(zone, number)}:{FRONT_PORT}"

    @property
    def controls(self) -> list[str]:
        """Where the control VMs accept operators and heartbeats."""
        return [f"{self.zone_host(zone, 1)}:{CONTROL_PORT}" for zone in ZONES]

    def list_entries(self) -> list[tuple[str, int]]:
        """Return zone and number of each entry VM."""
        return [(zone, n + 1) for zone, count in self.entries.items() for n in range(count)]

    def start_node(self, name: str, zone: str, host: str, is_control: bool) -> None:
        """Write the settings file of a process and start it."""
        seeds = [f"{self.zone_host(item, 1)}:{CONTROL_PORT}" for item in list(ZONES)[:SEED_COUNT]]
        lines = [
            f"self.node={name}",
            f"self.machineClass={'core' if is_control else 'front'}",
            f"self.serves={'control,directory' if is_control else 'front'}",
            f"self.ip={host}",
            f"self.zone={zone}",
            f"self.region={ZONES[zone]}",
            f"self.inTolerance={'true' if is_control else 'false'}",
            f"self.bootstrap={'false' if name in self.started else 'true'}",
            "self.limits.maxFds=4100",
            f"network.internalPortRange={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "network.seeds=" + ",".join(seeds),
            *(f"network.zones.{item}={region}" for item, region in ZONES.items()),
            *TERMS,
        ]
        if is_control:
            lines += [
                f"self.dataDir={self.folder}/data-{name}",
                f"network.listen.control={host}:{CONTROL_PORT}",
                f"network.listen.directory={host}:{LOOKUP_PORT}",
            ]
        else:
            lines += [
                f"network.listen.front={host}:{FRONT_PORT}",
                f"network.listen.ready={host}:{READY_PORT}",
            ]
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        self.started.add(name)
        self.spawn(name, COMMAND, {"CAMPHORSPREAD_NODE_FILE": str(path)})

    def spawn(self, name: str, command: tuple[str, ...], variables: dict[str, str]) -> None:
        """Start a process whose output goes to a file of its own."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env={**os.environ, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_entry(self, zone: str, number: int = 1) -> None:
        """Start an entry VM."""
        self.start_node(f"front-{zone}-{number}", zone, self.entry_host(zone, number), False)

    def start_all(self) -> None:
        """Start the control VMs and entry VMs."""
        for zone in ZONES:
            self.start_node(f"core-{zone}-1", zone, self.zone_host(zone, 1), True)
        for zone, number in self.list_entries():
            self.start_entry(zone, number)

    def start_endpoint(self, instance: str, service: str, zone: str, **fields: object) -> dict:
        """Start an endpoint at a new address, or at the given `host`; return its settings."""
        host = str(fields.pop("host", ""))
        if not host:
            self.next_host += 1
            host = self.zone_host(zone, self.next_host)
        controls = list(self.controls)
        random.shuffle(controls)
        settings = {
            "instance": instance,
            "service": service,
            "host": host,
            "port": 8080,
            "zone": zone,
            "controls": controls,
            "record": str(self.record.path),
            **fields,
        }
        script = str(Path(__file__).with_name("endpoint.py"))
        self.spawn(instance, (sys.executable, script, json.dumps(settings)), {})
        return settings

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    async def wait_exit(self, name: str) -> None:
        """Wait until a process has ended."""
        await asyncio.to_thread(self.processes[name].wait)

    async def wait_ready(self, limit_s: float = 45) -> None:
        """Wait until every entry VM reports that it is ready.

        Raises:
            BrokenError: One of them doesn't in time.
        """
        until = time.monotonic() + limit_s
        for zone, number in self.list_entries():
            while True:
                with contextlib.suppress(BrokenError):
                    address = f"{self.entry_host(zone, number)}:{READY_PORT}"
                    status, _, _ = await call(address, "GET", "/-/readyz")
                    if status == 200:
                        break
                if time.monotonic() > until:
                    raise BrokenError(f"the entry VM {number} of {zone} isn't ready")
                await asyncio.sleep(0.2)

    async def resolve(self, zone: str) -> list[str]:
        """Return the entry VMs that the directory names to callers of a zone."""
        address = f"{self.zone_host(zone, 1)}:{LOOKUP_PORT}"
        path = f"/-/resolve?name=garters.example&region={ZONES[zone]}&zone={zone}"
        _, _, data = await call(address, "GET", path)
        return json.loads(data)["frontAddresses"]

    def stop(self) -> None:
        """Kill all processes and delete the folder."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: Path,
    play: Callable[["Fleet", bool], Awaitable[None]],
    check: Callable[["Record"], list[str]],
    entries: dict[str, int] | None = None,
) -> int:
    """Play a case and return its exit code: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: Folder of the case, where `record.txt` is written.
        play: Coroutine function of the fleet and of True if the disruption is to be played.
        check: Returns what broke the rule, from the record.
        entries: Number of entry VMs of each zone.
    """
    # The processes are ended also if the script itself is stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE") != "0"
    fleet = None
    try:
        fleet = Fleet(record, entries)
        asyncio.run(asyncio.wait_for(play(fleet, has_trouble), CASE_LIMIT_S))
        broken = check(record)
    except (Exception, KeyboardInterrupt) as exc:
        record.note(f"the case couldn't run: {exc!r}")
        return 2
    finally:
        if fleet is not None:
            fleet.stop()
    for line in broken:
        record.note(f"broken: {line}")
    record.note("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
