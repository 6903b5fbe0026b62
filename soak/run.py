"""Runs a soak: `python -m soak.run --seeds 1-50`.

Each seed determines a schedule of overlapping faults and planned operations. At the end the faults
are repaired, callers must be served again, and the observations are checked.
"""

import argparse
import asyncio
import itertools
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import attrs

from soak.environment import SoakEnvironment, run_callers
from soak.faults import (
    FAULTS,
    ensure_started,
    finish_evacuation,
    get_max_loss_s,
    run_operation,
)
from soak.fleet import ZONES, SoakFleet, reserve_network
from soak.guarantees import Observations, find_violations
from soak.organisation_checks import find_logged_keys, find_organisation_violations
from soak.organisations import STEADY_KEYS, find_owner

__all__ = ["SeedResult", "main", "run_seed"]

# Twelve interpreters start at once on a machine that may be busy.
START_TIMEOUT_S = 60
# Successful requests in a row after which callers count as served; about two seconds of load.
CONSECUTIVE_SUCCESSES = 40
# Time for a replica with a replaced disk to catch up before the next disk may be lost.
DISK_LOSS_INTERVAL_S = 8.0
STRICT_PROBABILITY = 0.5
# A VM in contact polls several times a second, so that no limit passes without a fault.
REVOCATION_LIMITS_S = (2.0, 3.0)


@attrs.frozen
class SeedResult:
    """Result of a run: the violated guarantees, and what it covered."""

    violations: list[str]
    coverage: str = ""


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    recovery_s: float,
    kinds: tuple[str, ...] = FAULTS,
) -> SeedResult:
    """Run the soak with one seed.

    Args:
        seed: Seed of the schedule.
        seconds: Time during which faults are injected.
        folder: Folder of the settings, data folders and logs.
        recovery_s: Time limit for callers to be served again after the last repair.
        kinds: Faults and planned operations to draw from.
    """
    rng = random.Random(seed)
    is_strict, limit_s = rng.random() < STRICT_PROBABILITY, rng.choice(REVOCATION_LIMITS_S)
    with reserve_network(seed) as second_octet:
        fleet = SoakFleet(folder, second_octet, is_strict, limit_s)
        environment = SoakEnvironment(fleet, rng, Observations(is_strict, limit_s))
        return await run_schedule(environment, seconds, recovery_s, kinds)


async def run_schedule(
    environment: SoakEnvironment, seconds: float, recovery_s: float, kinds: tuple[str, ...]
) -> SeedResult:
    """Start all processes, inject faults, repair them, and check what was observed."""
    environment.fleet.add_all()
    try:
        for node in environment.fleet.nodes.values():
            environment.fleet.start(node)
        await environment.start_environment()
        await environment.put_configuration()
        callers = asyncio.create_task(run_callers(environment))
        if not await wait_until_served(environment, max(START_TIMEOUT_S, recovery_s)):
            return SeedResult(["no requests were served after the start"])
        tasks = await inject_faults(environment, seconds, kinds)
        await asyncio.gather(*tasks)
        await repair(environment)
        if not await wait_until_served(environment, recovery_s):
            violations = [
                *list_violations(environment),
                f"callers weren't served within {recovery_s:g} s after the repair",
            ]
            return SeedResult(violations, describe_coverage(environment.observations))
        for _ in range(20):
            environment.observations.final_configuration = await environment.read_configuration()
            if environment.observations.final_configuration is not None:
                break
            await asyncio.sleep(0.5)
        environment.is_stopped = True
        await callers
        coverage = describe_coverage(environment.observations)
        return SeedResult(list_violations(environment), coverage)
    finally:
        for endpoint in environment.endpoints.values():
            endpoint.task.cancel()
        for node in environment.fleet.nodes.values():
            environment.fleet.kill(node)


def describe_coverage(seen: Observations) -> str:
    """Return how often the run had what not every schedule contains."""
    pairs = list(itertools.pairwise(seen.sent.values()))
    swaps = sum(
        any(find_owner(old, key) != find_owner(new, key) for key in STEADY_KEYS.values())
        for old, new in pairs
    )
    lists = [
        [item.get("allowedRegions") for item in content["tenants"]]
        for content in seen.sent.values()
    ]
    changes = sum(old != new for old, new in itertools.pairwise(lists))
    revocation = "strict" if seen.is_strict else "not strict"
    return (
        f"revocation {revocation}, {len(seen.contact_losses)} losses of control VMs, {swaps} swaps,"
        f" {changes} changes of regions, {len(seen.pauses)} pauses, {len(seen.left_at)} departures"
    )


def list_violations(environment: SoakEnvironment) -> list[str]:
    """Return all violated guarantees, also of the logs."""
    logs = environment.fleet.folder.glob("*.log")
    return [
        *find_violations(environment.observations),
        *find_organisation_violations(environment.observations),
        *(f"{log.name} contains a key" for log in logs if find_logged_keys(log.read_text())),
    ]


async def wait_until_served(environment: SoakEnvironment, limit_s: float) -> bool:
    """Wait until the newest requests were all served; return False if that exceeds the limit."""
    end = time.monotonic() + limit_s
    since = len(environment.observations.responses)
    # The only organisation that has a steady key and no limit, with the highest priority.
    key = STEADY_KEYS["kelp"]
    while time.monotonic() < end:
        answers = environment.observations.responses[since:]
        newest = [item for item in answers if item.key == key][-CONSECUTIVE_SUCCESSES:]
        if len(newest) == CONSECUTIVE_SUCCESSES and all(item.status == 200 for item in newest):
            return True
        await asyncio.sleep(0.1)
    return False


async def inject_faults(
    environment: SoakEnvironment, seconds: float, kinds: tuple[str, ...]
) -> list[asyncio.Task]:
    """Start faults and planned operations at random times and return their tasks."""
    tasks = []
    end = time.monotonic() + seconds
    next_disk_loss_at = 0.0
    while time.monotonic() < end:
        await asyncio.sleep(environment.rng.uniform(0.2, 1.2))
        kind = environment.rng.choice(kinds)
        if kind in ("wipe", "kill_all_controls", "lose_controls"):
            # Keeps to the fault tolerance of the settings: replaced disks must catch up first.
            if time.monotonic() < next_disk_loss_at:
                continue
            next_disk_loss_at = time.monotonic() + DISK_LOSS_INTERVAL_S
            if kind == "lose_controls":
                next_disk_loss_at += get_max_loss_s(environment.fleet)
        tasks.append(asyncio.create_task(run_operation(environment, kind)))
    return tasks


async def repair(environment: SoakEnvironment) -> None:
    """Resume or restart all processes and end all evacuations."""
    for node in environment.fleet.nodes.values():
        environment.fleet.resume(node)
        ensure_started(environment.fleet, node)
    for zone in ZONES:
        await finish_evacuation(environment, zone)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range such as `1-50`, or a single one."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds of the command line; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak", description="Randomized fault soak.")
    parser.add_argument("--seeds", default="1", help="one seed or a range, such as 1-50")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds with faults")
    parser.add_argument("--kinds", default="", help="kinds of faults, such as drain,kill_entry")
    parser.add_argument("--recovery", type=float, default=15.0, help="limit until served again")
    args = parser.parse_args()
    kinds = tuple(args.kinds.split(",")) if args.kinds else FAULTS
    if unknown := set(kinds) - set(FAULTS):
        parser.error(f"unknown kinds of faults: {', '.join(sorted(unknown))}")
    failed_seeds = 0
    for seed in parse_seeds(args.seeds):
        folder = Path(tempfile.mkdtemp(prefix="soak-"))
        result = asyncio.run(run_seed(seed, args.seconds, folder, args.recovery, kinds))
        violations = result.violations
        log_note = f" (logs in {folder})" if violations else ""
        print(
            f"seed {seed}: {'; '.join(violations[:5]) or 'ok'}{log_note}; {result.coverage}",
            flush=True,
        )
        failed_seeds += bool(violations)
        if not violations:
            shutil.rmtree(folder)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
