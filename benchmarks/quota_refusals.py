"""Measures the requests that quotas refuse below the limit while VMs are lost with the leader.

Usage: python -m benchmarks.quota_refusals EVENT SEEDS LOAD...

EVENT is `lost` (a VM is lost for good as the leader is lost) or `earlier` (the leader is lost 40 s
after the VM), SEEDS the number of runs, LOAD the demand as a percentage of the limit. It prints the
percentage refused before the losses, and 5 to 30 s and 45 to 95 s after that of the leader.
"""

import sys
from collections import Counter
from types import SimpleNamespace

from features.fixtures.quota_simulation import CONTROLS, ELECTION_S, start_fleet
from features.fixtures.virtual_time import LoopClock, open_virtual_loop

VMS = 26
RATE = 100.0
START_S = 8.0
LOST_AT_S = 65.0
VM_LOST_AT_S = {"lost": 65.0, "earlier": 25.0}
END_S = 160.0
NAME = "acme"
PERIODS = {"before": (12.0, 25.0), "5 to 30 s": (70.0, 95.0), "45 to 95 s": (110.0, 160.0)}


def run_once(event: str, seed: int, load: float) -> dict[str, Counter]:
    """Return the decisions by period in one simulation."""
    with open_virtual_loop(SimpleNamespace()) as loop:
        simulation = start_fleet(loop, LoopClock(loop), VMS, seed)
        simulation.configure({NAME: (RATE, 0)})
        simulation.run(START_S)
        simulation.start_load(NAME, None, RATE * load, END_S - START_S)
        simulation.run(VM_LOST_AT_S[event] - simulation.now)
        simulation.kill_vm("vm-3")
        simulation.run(LOST_AT_S - simulation.now)
        simulation.down = {CONTROLS[0]}
        simulation.change_leader(None)
        simulation.run(ELECTION_S)
        simulation.change_leader(CONTROLS[2])
        simulation.run(END_S - simulation.now)
        return {
            period: simulation.count_results(NAME, begin, end)
            for period, (begin, end) in PERIODS.items()
        }


def measure(event: str, seeds: int, load: float) -> None:
    """Print the percentage refused by period, of all seeds together and of the worst seed."""
    runs = [run_once(event, seed, load) for seed in range(1, seeds + 1)]
    parts = []
    for period in PERIODS:
        refused = [run[period].total() - run[period]["Admitted"] for run in runs]
        totals = [run[period].total() for run in runs]
        worst = max(part / total for part, total in zip(refused, totals, strict=True))
        parts.append(f"{period} {100 * sum(refused) / sum(totals):.2f} (worst {100 * worst:.2f})")
    print(f"{event}, {100 * load:g} percent, {seeds} seeds: " + ", ".join(parts), flush=True)


if __name__ == "__main__":
    for percent in sys.argv[3:]:
        measure(sys.argv[1], int(sys.argv[2]), float(percent) / 100)
