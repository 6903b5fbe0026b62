"""The processes under test, each on its own loopback address, and the operator's calls to them."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
from pathlib import Path

from stand_ins.http import Message, call
from stand_ins.record import Record

__all__ = ["REPOSITORY", "ZONES", "Fleet", "make_route"]

REPOSITORY = Path(__file__).parent.parent.parent
# Zones and regions of Le Goff.
ZONES = {
    "quimper-a": "bretagne",
    "paris-a": "ile-de-france",
    "londres-a": "londres",
    "quimper-b": "bretagne",
    "paris-b": "ile-de-france",
    "londres-b": "londres",
}
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT = 8649, 8644, 8641, 8640, 7620
# Port whose binding reserves a loopback network for one script.
RESERVATION_PORT = 8601
START_TIMEOUT_S = 25.0


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return one route of a configuration, for the path prefix `/NAME/`."""
    return {
        "name": name,
        "host": "garters.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "sessionAffinity": False,
        "allowedRegions": [],
        **fields,
    }


class Fleet:
    """One control process for each zone, and entry processes.

    Attributes:
        folder: Temporary folder of settings, data folders and logs.
        record: Record of the script.
        octet: Second octet of the loopback addresses.
        processes: Processes by name.
        hosts: Addresses by name.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        """Reserve a loopback network."""
        self.folder = folder
        self.record = record
        self.processes: dict[str, subprocess.Popen] = {}
        self.hosts: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.started: set[str] = set()
        self.reservation = socket.socket()
        for octet in range(60, 250):
            with contextlib.suppress(OSError):
                self.reservation.bind((f"127.{octet}.0.1", RESERVATION_PORT))
                self.octet = octet
                return
        raise OSError("no loopback network is free")

    def add(self, name: str, zone: str, number: int) -> None:
        """Add a process; names of control processes begin with `core`."""
        self.zones[name] = zone
        self.hosts[name] = f"127.{self.octet}.{list(ZONES).index(zone) + 1}.{number}"

    def add_small_deployment(self) -> None:
        """Add the processes of Le Goff: six for control, and seven for entry."""
        for zone in ZONES:
            self.add(f"core-{zone}-1", zone, 1)
            self.add(f"front-{zone}-1", zone, 2)
        self.add("front-quimper-a-2", "quimper-a", 3)

    def list_names(self, kind: str) -> list[str]:
        """Return the names of the `core` or `front` processes."""
        return [name for name in self.hosts if name.startswith(kind)]

    @property
    def controls(self) -> list[str]:
        """Addresses of the control processes for operators and endpoints."""
        return [f"{self.hosts[name]}:{CONTROL_PORT}" for name in self.list_names("core")]

    def front(self, name: str) -> tuple[str, int]:
        """Return the address at which an entry process takes clients."""
        return self.hosts[name], FRONT_PORT

    def start(self, name: str) -> None:
        """Write the settings file of a process and start it with the command of the deploy file."""
        settings = self.folder / f"{name}.conf"
        settings.write_text("\n".join(self.list_settings(name)) + "\n")
        environment = {
            key: value for key in ("PATH", "HOME", "LANG") if (value := os.environ.get(key))
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CAMPHORSPREAD_NODE_FILE"] = str(settings)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "camphorspread", "platform-node"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started.add(name)
        self.record.write(f"platform starts {name} at {self.hosts[name]}")

    def list_settings(self, name: str) -> list[str]:
        """Return the lines of a settings file, with the values of a small deployment."""
        host, zone = self.hosts[name], self.zones[name]
        is_control = name.startswith("core")
        seeds = [self.hosts[item] for item in self.list_names("core")[:3]]
        lines = [
            f"self.node={name}",
            f"self.role={'control' if is_control else 'entry'}",
            f"self.machineClass={'core' if is_control else 'front'}",
            f"self.serves={'control,directory' if is_control else 'front'}",
            f"self.ip={host}",
            f"self.zone={zone}",
            f"self.region={ZONES[zone]}",
            f"self.inTolerance={'true' if is_control else 'false'}",
            f"self.bootstrap={'false' if name in self.started else 'true'}",
            f"self.limits.memoryMb={296 if is_control else 560}",
            f"self.limits.maxFds={4096 if is_control else 8200}",
            f"network.internalPortRange={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            "network.seeds=" + ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
            *(f"network.zones.{item}={region}" for item, region in ZONES.items()),
            "provider.discovery=registration",
            "provider.entry=directory",
            "provider.heartbeatMs=1500",
            "provider.configMode=highest",
            "terms.contracts=base,drain,config,cost,retry,recover,places",
            "terms.faultTolerance.machines=2",
            "terms.faultTolerance.zones=1",
            "terms.faultTolerance.regions=1",
            "terms.bounds.seedLagS=3",
            "terms.bounds.reuseAfterS=2",
            "terms.bounds.contactWindowMs=3000",
            "terms.bounds.ackMs=4000",
            "terms.bounds.catchUpS=4",
            "terms.bounds.drainMs=2500",
            "terms.bounds.graceS=6",
            "terms.bounds.lossSlackMs=200",
            "terms.bounds.configApplyMs=2500",
            "terms.bounds.rollbackSlackMs=250",
            "terms.bounds.maxSkewMs=5000",
            "terms.bounds.retryBudgetRatio=0.2",
            "terms.bounds.budgetWindowS=10",
            "terms.bounds.budgetSlack=60",
            "terms.bounds.coldOverage=1.5",
            "terms.bounds.coldTolerance=5",
            "terms.bounds.evacuationMs=5000",
            "terms.bounds.recoveryS=15",
            "terms.bounds.ttl_max_s=5",
            "terms.bounds.maxRegionShift=0.15",
        ]
        if is_control:
            data = self.folder / f"data-{name}"
            data.mkdir(exist_ok=True)
            return [
                *lines,
                f"self.dataDir={data}",
                f"network.listen.control={host}:{CONTROL_PORT}",
                f"network.listen.directory={host}:{DIRECTORY_PORT}",
            ]
        return [
            *lines,
            f"network.listen.front={host}:{FRONT_PORT}",
            f"network.listen.ready={host}:{READY_PORT}",
        ]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.record.write(f"platform sends {number.name} to {name}")
        self.processes[name].send_signal(number)

    async def wait_for_exit(self, name: str, limit_s: float) -> int | None:
        """Return the exit code of a process, None if it still runs after the limit."""
        for _ in range(int(limit_s / 0.02)):
            code = self.processes[name].poll()
            if code is not None:
                self.record.write(f"{name} has ended with exit code {code}")
                return code
            await asyncio.sleep(0.02)
        return None

    async def put_configuration(
        self, routes: list[dict], services: list[str], version: int
    ) -> bool:
        """Send a configuration until it is accepted; return False if it isn't in time."""
        value = {
            "version": f"r{version}",
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConnections": 360,
                    "protocol": "h1",
                    "tls": False,
                    "coldStartS": 3.0,
                    "coldPerS": 10.0,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        body = json.dumps(value).encode()
        for number in range(int(START_TIMEOUT_S / 0.25)):
            answer = await self.order("POST", "/-/Config.Put", body, number)
            if answer is not None and answer.status == 200:
                self.record.write(f"operator: configuration r{version} is acknowledged")
                return True
            await asyncio.sleep(0.25)
        return False

    async def order(
        self, method: str, target: str, body: bytes = b"", first: int = 0
    ) -> Message | None:
        """Send a call of the operator to one control process; follow two redirects."""
        controls = self.controls
        address = controls[first % len(controls)]
        answer = None
        for _ in range(3):
            answer = await call(address, method, target, body)
            if answer is None or answer.status != 307:
                break
            address = answer.headers["location"].removeprefix("http://").partition("/")[0]
        return answer

    async def wait_until_ready(self, name: str) -> bool:
        """Wait until an entry process accepts clients; return False if it doesn't in time."""
        for _ in range(int(START_TIMEOUT_S / 0.1)):
            answer = await call(f"{self.hosts[name]}:{READY_PORT}", "GET", "/-/readyz")
            if answer is not None and answer.status == 200:
                self.record.write(f"{name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def stop_all(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.reservation.close()
