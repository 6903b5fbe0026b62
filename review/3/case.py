"""All control VMs are killed at once after hundreds of changes of a large configuration."""

import asyncio
import contextlib
import json
import random
import signal
import sys
import time
from pathlib import Path

from harness.fleet import ZONES, Fleet, Record, make_route, make_service, run_case
from harness.wire import BrokenError, call_operator, put_configuration

FOLDER = Path(__file__).resolve().parent
ENTRIES = {"quimper-a": 1, "paris-a": 1, "londres-a": 1}
ROUTES = 12
# `big_config` adds 350 routes; it came twice.
MORE_ROUTES = 700
CHANGES = 900
# The operator has up to eight orders in progress.
ORDERS_IN_PROGRESS = 4
CHANGES_LIMIT_S = 75
# The memory of a core machine in the site file.
MEMORY_MB = 296
RESTART_DELAY_S = 0.5
READ_LIMIT_S = 15
WATCH_INTERVAL_S = 0.01


def make_routes(version: int) -> list[dict]:
    """Return the routes of one version; versions differ in a time limit."""
    return [
        make_route(
            f"r-{number:06x}{number * 7919 % 1000:03d}",
            "safe" if number % 3 else "unsafe",
            ("vitrine", "commandes", "croquis", "nuancier")[number % 4],
            host=f"hulo{number % 90}.example",
            pathPrefix=f"/leny{number}/",
            timeoutMs=1200 + version % 300,
        )
        for number in range(ROUTES + MORE_ROUTES)
    ]


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills a control VM that uses more memory than its machine has, and starts it again."""

    def __init__(self, fleet: Fleet) -> None:
        """Watch the control VMs of a fleet."""
        self.fleet = fleet
        self.peaks: dict[str, float] = {}
        self.kills = 0

    def names(self) -> dict[str, str]:
        """Return the zone of each control VM by its name."""
        return {f"core-{zone}-1": zone for zone in ZONES}

    def describe(self) -> str:
        """Return the peak memory of each control VM, in the order of the zones."""
        return ", ".join(f"{self.peaks.get(name, 0):.0f}" for name in self.names())

    async def restart(self, name: str, zone: str) -> None:
        """Start a control VM again after a short delay."""
        await asyncio.sleep(RESTART_DELAY_S)
        self.fleet.start_node(name, zone, self.fleet.zone_host(zone, 1), True)

    async def watch(self) -> None:
        """Apply the limit until cancelled."""
        restarts = set()
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for name, zone in self.names().items():
                process = self.fleet.processes.get(name)
                if process is None:
                    continue
                used = read_memory_mb(process.pid)
                self.peaks[name] = max(self.peaks.get(name, 0.0), used)
                if used > MEMORY_MB:
                    self.fleet.kill(name)
                    self.kills += 1
                    self.fleet.record.note(f"{name} was killed, as it used {used:.0f} MB")
                    task = asyncio.create_task(self.restart(name, zone))
                    restarts.add(task)
                    task.add_done_callback(restarts.discard)


async def send_changes(fleet: Fleet) -> int:
    """Send the changes; return how many were acknowledged."""
    services = [make_service(name) for name in ("vitrine", "commandes", "croquis", "nuancier")]
    versions = iter(range(2, CHANGES + 2))
    until = time.monotonic() + CHANGES_LIMIT_S
    count = 0

    async def send() -> None:
        nonlocal count
        for version in versions:
            if time.monotonic() > until:
                return
            controls = random.sample(fleet.controls, len(fleet.controls))
            await put_configuration(controls, version, make_routes(version), services)
            fleet.record.write(event="acknowledged", version=version)
            count += 1

    await put_configuration(fleet.controls, 1, make_routes(1), services)
    fleet.record.write(event="acknowledged", version=1)
    await asyncio.gather(*(send() for _ in range(ORDERS_IN_PROGRESS)))
    return count


async def play(fleet: Fleet, has_trouble: bool) -> None:
    """Send the changes, kill all control VMs, and read the configuration back."""
    record = fleet.record
    fleet.start_all()
    for number, zone in enumerate(ENTRIES):
        fleet.start_endpoint(f"i-{number}", "vitrine", zone)
    platform = Platform(fleet)
    watching = asyncio.create_task(platform.watch())
    count = await send_changes(fleet)
    record.note(f"{count} changes were acknowledged; peaks in MB: {platform.describe()}")
    platform.peaks.clear()
    if has_trouble:
        record.note("all control VMs are killed")
        for name in platform.names():
            fleet.processes[name].send_signal(signal.SIGKILL)
        for name in platform.names():
            fleet.kill(name)
        await asyncio.gather(*(platform.restart(*item) for item in platform.names().items()))
    sent = time.monotonic()
    version = 0
    while time.monotonic() - sent < READ_LIMIT_S:
        with contextlib.suppress(BrokenError):
            status, data = await call_operator(fleet.controls, "GET", "/-/Config.Get", attempts=6)
            if status == 200:
                version = int(json.loads(data)["version"].removeprefix("r"))
                break
    record.write(event="read", version=version, after_s=round(time.monotonic() - sent, 1))
    await asyncio.sleep(1)
    watching.cancel()
    record.note(f"read back: r{version}; peaks in MB: {platform.describe()}")


def check(record: Record) -> list[str]:
    """Return whether the newest acknowledged configuration was read back."""
    newest = max(line["version"] for line in record.read("acknowledged"))
    (read,) = record.read("read")
    if read["version"] >= newest:
        return []
    got = f"r{read['version']}" if read["version"] else "nothing"
    return [f"CONFIG: r{newest} was acknowledged; the operator read {got} back"]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, check, ENTRIES))
