"""Runs a soak: `python -m soak.run --seeds 1-50`.

A schedule of faults is drawn from each seed. Faults overlap, and planned work goes on beside them.
At the end everything is repaired, callers must be served again, and all that was seen is checked.
"""

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

from soak.faults import FAULTS, PLANNED, finish_evacuation, inject, start_if_down
from soak.fleet import ZONES, SoakFleet
from soak.promises import find_breaks
from soak.world import World, run_callers

__all__ = ["main", "run_seed"]

# Twelve interpreters start at once, on a machine that may be busy.
START_LIMIT_S = 60
# Requests that must succeed one after the other before callers count as served: about two seconds.
SERVED_IN_A_ROW = 40
# A replaced disk has caught up by then, so that the next one may be lost.
STORAGE_PAUSE_S = 8.0


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    recovery_s: float,
    kinds: tuple[str, ...] = FAULTS,
) -> list[str]:
    """Run one soak and return the promises that were broken.

    Args:
        seed: Seed of the schedule.
        seconds: For how long faults are injected.
        folder: Where settings, data and logs are kept.
        recovery_s: Within which callers must be served after the last repair.
        kinds: Faults and planned work to draw from.
    """
    world = World(SoakFleet(folder, 10 + seed % 200), random.Random(seed))
    world.fleet.add_all()
    try:
        for node in world.fleet.nodes.values():
            world.fleet.start(node)
        await world.start_outside()
        await world.put_configuration()
        callers = asyncio.create_task(run_callers(world))
        if not await wait_until_served(world, max(START_LIMIT_S, recovery_s)):
            return ["nothing was served after the start"]
        tasks = await inject_faults(world, seconds, kinds)
        await asyncio.gather(*tasks)
        await repair(world)
        if not await wait_until_served(world, recovery_s):
            return [*find_breaks(world.seen), f"callers weren't served {recovery_s:g} s later"]
        for _ in range(20):
            world.seen.final = await world.read_configuration()
            if world.seen.final is not None:
                break
            await asyncio.sleep(0.5)
        world.is_over = True
        await callers
        return find_breaks(world.seen)
    finally:
        for endpoint in world.endpoints.values():
            endpoint.task.cancel()
        for node in world.fleet.nodes.values():
            world.fleet.kill(node)


async def wait_until_served(world: World, limit_s: float) -> bool:
    """Return True once the newest requests were all served."""
    end = time.monotonic() + limit_s
    since = len(world.seen.answers)
    while time.monotonic() < end:
        newest = world.seen.answers[since:][-SERVED_IN_A_ROW:]
        if len(newest) == SERVED_IN_A_ROW and all(item.status == 200 for item in newest):
            return True
        await asyncio.sleep(0.1)
    return False


async def inject_faults(world: World, seconds: float, kinds: tuple[str, ...]) -> list[asyncio.Task]:
    """Start faults and planned work at random times; return what is still under way."""
    tasks = []
    end = time.monotonic() + seconds
    storage_free_at = 0.0
    while time.monotonic() < end:
        await asyncio.sleep(world.rng.uniform(0.2, 1.2))
        kind = world.rng.choice(kinds)
        if kind in ("wipe", "kill_all_controls"):
            # No more disks may be lost at once than the settings say, until they have caught up.
            if time.monotonic() < storage_free_at:
                continue
            storage_free_at = time.monotonic() + STORAGE_PAUSE_S
        if kind not in PLANNED:
            world.seen.disturbed.append(time.monotonic())
        tasks.append(asyncio.create_task(inject(world, kind)))
    return tasks


async def repair(world: World) -> None:
    """Let everything run undisturbed."""
    for node in world.fleet.nodes.values():
        world.fleet.resume(node)
        start_if_down(world.fleet, node)
    for zone in ZONES:
        await finish_evacuation(world, zone)


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range such as `1-50`, or a single one."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run soaks with the seeds of the command line; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description="Randomized fault soak.")
    parser.add_argument("--seeds", default="1", help="one seed or a range, such as 1-50")
    parser.add_argument("--seconds", type=float, default=20.0, help="time with faults")
    parser.add_argument("--recovery", type=float, default=15.0, help="seconds until served again")
    args = parser.parse_args()
    broken = 0
    for seed in parse_seeds(args.seeds):
        folder = Path(tempfile.mkdtemp(prefix="soak-"))
        breaks = asyncio.run(run_seed(seed, args.seconds, folder, args.recovery))
        where = f" (logs in {folder})" if breaks else ""
        print(f"seed {seed}: {'; '.join(breaks[:5]) or 'ok'}{where}", flush=True)
        broken += bool(breaks)
        if not breaks:
            shutil.rmtree(folder)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
