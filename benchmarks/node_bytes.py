"""Counts the bytes that each idle VM of a deployment sends and receives, including HTTP heads.

python -m benchmarks.node_bytes --deployment vodna-vrazka --seconds 20 --seed 1
"""

import argparse
import asyncio
import json
from types import SimpleNamespace

from camphorspread.process.deployments import LE_GOFF, VODNA_VRAZKA
from features.fixtures.deployment_session import open_deployment

DEPLOYMENTS = {item.name: item for item in (VODNA_VRAZKA, LE_GOFF)}
WARM_UP_S = 5


def measure(name: str, seconds: int, seed: int) -> dict:
    """Return bytes per second by VM, split into traffic with other VMs and with backend servers."""
    context = SimpleNamespace()
    with open_deployment(context, DEPLOYMENTS[name], seed) as fleet:
        context.loop.run_until_complete(asyncio.sleep(WARM_UP_S))
        context.network.sent_bytes.clear()
        context.loop.run_until_complete(asyncio.sleep(seconds))
        counts = dict(context.network.sent_bytes)
        leader = next(vm for vm, (state, _) in fleet.controls.items() if state.view.is_leader)
        controls = sorted(fleet.controls)
        hosts = {place.vm: fleet.plan.vm_host(place.vm) for place in fleet.plan.deployment.places}
    own = set(hosts.values())
    result = {}
    for vm, host in hosts.items():
        pairs = [(set(pair) - {host}, count) for pair, count in counts.items() if host in pair]
        system = sum(count for others, count in pairs if others <= own)
        total = sum(count for _, count in pairs)
        result[vm] = {
            "system": system // seconds,
            "backend_servers": (total - system) // seconds,
            "has_control_process": vm in controls,
            "is_leader": vm == leader,
        }
    return result


def main() -> None:
    """Print the figures as one JSON line for each VM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="vodna-vrazka")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for vm, figures in measure(args.deployment, args.seconds, args.seed).items():
        print(json.dumps({"vm": vm, **figures}))


if __name__ == "__main__":
    main()
