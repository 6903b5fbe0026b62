"""Measures a control and an entry process with catalogues of several sizes on loopback.

Reports memory, CPU time per accepted change, a burst of first polls from the 34 VMs of an
availability zone, and CPU time of an entry process with the catalogue, idle and per change.

Usage: python -m benchmarks.large_catalogue ENTRIES...
"""

import asyncio
import sys
from pathlib import Path

from benchmarks.control_load import (
    REGION_COUNT,
    ControlProcess,
    fill_catalogue,
    make_service,
    print_window,
    run_control,
    run_window,
    send_change,
)
from benchmarks.request_overhead import REPOSITORY, cpu_seconds, run_process

BASE_PORT = 18850
ZONE_VMS = 34
ENTRY_WINDOW_S, ENTRY_CHANGES = 5.0, 20
PAGE_BYTES = 4096


async def measure_catalogue(target: ControlProcess, entries: int) -> None:
    """Measure memory and the first polls of an availability zone with a large catalogue."""
    await asyncio.sleep(2)
    before, cpu = resident_mb(target.process), cpu_seconds(target.process)
    await fill_catalogue(target.link, target.ports, entries)
    cpu = cpu_seconds(target.process) - cpu
    print(
        f"catalogue of {entries} services: resident {before:.1f} MB before, "
        f"{resident_mb(target.process):.1f} MB after, CPU per accepted change "
        f"{cpu / (entries + REGION_COUNT) * 1e6:.0f} us"
    )
    print_window("first", ZONE_VMS, await run_window(target, "first", ZONE_VMS, 2, 0, True))
    print(f"resident after the first polls: {resident_mb(target.process):.1f} MB", flush=True)
    await measure_entry(target)


async def measure_entry(target: ControlProcess) -> None:
    """Measure an entry process that loads the catalogue, first idle and then applying changes."""
    with run_process(
        ["-m", "camphorspread", "run", str(target.entry_settings)], REPOSITORY
    ) as process:
        await asyncio.sleep(ENTRY_WINDOW_S)
        cpu = cpu_seconds(process)
        await asyncio.sleep(ENTRY_WINDOW_S)
        idle = cpu_seconds(process) - cpu
        version = REGION_COUNT + 1
        for number in range(ENTRY_CHANGES):
            change = make_service(0, f"owner {number}")
            version = await send_change(target.link, target.ports, version, change)
            await asyncio.sleep(ENTRY_WINDOW_S / ENTRY_CHANGES)
        changed = cpu_seconds(process) - cpu - idle
        print(
            f"entry process: resident {resident_mb(process):.1f} MB, idle CPU "
            f"{idle / ENTRY_WINDOW_S:.3f} core, {(changed - idle) / ENTRY_CHANGES * 1000:.1f} ms "
            "more per change",
            flush=True,
        )


def resident_mb(process: object) -> float:
    """Return the resident memory of a process that this benchmark started."""
    pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


async def main(sizes: list[int]) -> None:
    """Measure each size with processes of its own."""
    for entries in sizes:
        async with run_control(BASE_PORT) as target:
            await measure_catalogue(target, entries)


if __name__ == "__main__":
    asyncio.run(main([int(text) for text in sys.argv[1:]]))
