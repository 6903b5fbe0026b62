"""Measures the requests that quotas refuse below the limit while VMs are lost.

Usage: python -m benchmarks.quota_refusals EVENT SEEDS LOAD...

EVENT is `lost` (a VM is lost for good as the leader is lost), `earlier` (the leader is lost 40 s
after the VM) or `controls` (all control VMs are away for 10 s), SEEDS the number of runs, LOAD the
demand as a percentage of the limit. It prints the percentage refused before the event, and in some
periods after the leader or the control VMs were lost.
"""

import sys
from collections import Counter
from types import SimpleNamespace

from features.fixtures.quota_simulation import (
    CONTROLS,
    ELECTION_S,
    QuotaSimulation,
    start_fleet,
)
from features.fixtures.virtual_time import LoopClock, open_virtual_loop

VMS = 26
RATE = 100.0
START_S = 8.0
LOST_AT_S = 65.0
NAME = "acme"
BEFORE_S = (12.0, 25.0)
# Begin and end of the measured periods, in seconds after the loss.
PERIODS_S = {
    "lost": ((5, 30), (45, 95)),
    "earlier": ((5, 30), (45, 95)),
    "controls": ((0, 10), (15, 35)),
}
AWAY_S = 10.0


def replace_leader(simulation: QuotaSimulation) -> None:
    """Lose the leader and elect another one."""
    simulation.down = {CONTROLS[0]}
    simulation.change_leader(None)
    simulation.loop.call_later(ELECTION_S, simulation.change_leader, CONTROLS[2])


def lose_controls(simulation: QuotaSimulation) -> None:
    """Let no control VM respond for some time; then there is a new leader."""

    def restore() -> None:
        simulation.down = set()
        simulation.change_leader(CONTROLS[1])

    simulation.down = set(CONTROLS)
    simulation.loop.call_later(AWAY_S, restore)


def schedule_event(simulation: QuotaSimulation, event: str) -> None:
    """Let an event happen at `LOST_AT_S`."""
    loop = simulation.loop
    match event:
        case "lost":
            loop.call_at(LOST_AT_S, simulation.kill_vm, "vm-3")
            loop.call_at(LOST_AT_S, replace_leader, simulation)
        case "earlier":
            loop.call_at(LOST_AT_S - 40, simulation.kill_vm, "vm-3")
            loop.call_at(LOST_AT_S, replace_leader, simulation)
        case "controls":
            loop.call_at(LOST_AT_S, lose_controls, simulation)


def run_once(event: str, seed: int, load: float) -> list[Counter]:
    """Return the decisions by period in one simulation."""
    periods = [BEFORE_S] + [(LOST_AT_S + begin, LOST_AT_S + end) for begin, end in PERIODS_S[event]]
    with open_virtual_loop(SimpleNamespace()) as loop:
        simulation = start_fleet(loop, LoopClock(loop), VMS, seed)
        simulation.configure({NAME: (RATE, 0)})
        schedule_event(simulation, event)
        simulation.run(START_S)
        end_s = periods[-1][1]
        simulation.start_load(NAME, None, RATE * load, end_s - START_S)
        simulation.run(end_s + 1 - START_S)
        return [simulation.count_results(NAME, begin, end) for begin, end in periods]


def measure(event: str, seeds: int, load: float) -> None:
    """Print the percentage refused by period, of all seeds together and of the worst seed."""
    runs = [run_once(event, seed, load) for seed in range(1, seeds + 1)]
    labels = ["before"] + [f"{begin} to {end} s" for begin, end in PERIODS_S[event]]
    parts = []
    for label, counts in zip(labels, zip(*runs, strict=True), strict=True):
        refused = [count.total() - count["Admitted"] for count in counts]
        totals = [count.total() for count in counts]
        worst = max(part / total for part, total in zip(refused, totals, strict=True))
        parts.append(f"{label} {100 * sum(refused) / sum(totals):.2f} (worst {100 * worst:.2f})")
    print(f"{event}, {100 * load:g} percent, {seeds} seeds: " + ", ".join(parts), flush=True)


if __name__ == "__main__":
    for percent in sys.argv[3:]:
        measure(sys.argv[1], int(sys.argv[2]), float(percent) / 100)
