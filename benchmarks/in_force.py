"""Measures how long a change takes to be in effect on all entry VMs of a deployment.

Runs in memory with virtual time, which includes delays between regions but no CPU time.

    python -m benchmarks.in_force --deployment vodna-vrazka --changes 100 --losses 5 --seed 1
"""

import argparse
import asyncio
import json
import random
from types import SimpleNamespace

import attrs

from camphorspread.process.deployments import LE_GOFF, VODNA_VRAZKA
from camphorspread.version.changes import PutService
from features.fixtures.deployment_session import open_deployment

DEPLOYMENTS = {"vodna-vrazka": VODNA_VRAZKA, "le-goff": LE_GOFF}
POLL_S = 0.001
MAX_CHANGE_DELAY_S = 0.4


async def change_once(fleet, number: int) -> tuple[float, float]:
    """Change an entry; return seconds until it was accepted and until it was in effect."""
    loop = asyncio.get_running_loop()
    catalogue = max(
        (node.state.catalogue for node in fleet.entries.values()), key=lambda item: item.version
    )
    name = fleet.plan.deployment.services[0].entry.name
    current = catalogue.services[name]
    entry = attrs.evolve(current.entry, queue_length=number % 100 + 1)
    start = loop.time()
    version = await fleet.change(PutService(entry), current.version)
    accepted = loop.time()
    entries = fleet.entries.values()
    while any(node.state.catalogue.version < version for node in entries):  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
    return accepted - start, loop.time() - start


async def lose_leader(fleet, rng: random.Random, number: int) -> float:
    """Stop the leader, send a change soon after and return the seconds until it was in effect."""
    vm = next(vm for vm, (state, _) in fleet.controls.items() if state.view.is_leader)
    await fleet.stop_control(vm)
    await asyncio.sleep(rng.random() * MAX_CHANGE_DELAY_S)
    _, total = await change_once(fleet, number)
    return total


def measure(name: str, changes: int, losses: int, seed: int) -> dict:
    """Return percentiles over the changes, and over one leader loss in each of several fleets."""
    context, rng = SimpleNamespace(), random.Random(seed)
    accepted, in_force = [], []
    with open_deployment(context, DEPLOYMENTS[name], seed) as fleet:
        for number in range(changes):
            first, total = context.loop.run_until_complete(change_once(fleet, number))
            accepted.append(first)
            in_force.append(total)
            context.loop.run_until_complete(asyncio.sleep(rng.random()))
    after_loss = []
    for loss in range(losses):
        with open_deployment(context, DEPLOYMENTS[name], seed + loss) as fleet:
            work = lose_leader(fleet, rng, loss)
            after_loss.append(context.loop.run_until_complete(work))
    return {
        "deployment": name,
        "changes": changes,
        "seed": seed,
        "accepted_ms": compute_percentiles(accepted),
        "in_effect_ms": compute_percentiles(in_force),
        "in_effect_after_loss_of_the_leader_ms": compute_percentiles(after_loss),
    }


def compute_percentiles(values: list[float]) -> dict[str, float]:
    """Return median, 99th percentile and maximum in milliseconds."""
    ordered = sorted(values)
    ranks = {"p50": 0.5, "p99": 0.99, "max": 1.0}
    return {
        name: round(1000 * ordered[min(int(rank * len(ordered)), len(ordered) - 1)], 1)
        for name, rank in ranks.items()
    }


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="vodna-vrazka")
    parser.add_argument("--changes", type=int, default=100)
    parser.add_argument("--losses", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(measure(args.deployment, args.changes, args.losses, args.seed)))


if __name__ == "__main__":
    main()
