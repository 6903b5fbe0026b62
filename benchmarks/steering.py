"""Compares load balancing policies on a whole deployment in memory with virtual time.

Three endpoints are ten times slower than the others, and one in each availability zone always
reports no load. Prints latency, late and failed requests, free slots, and slots in use beyond the
announced number.

    python -m benchmarks.steering --deployment le-goff --percent 60 --seed 1
"""

import argparse
import asyncio
import json
from datetime import timedelta
from types import SimpleNamespace

from camphorspread.process.deployments import LE_GOFF, VODNA_VRAZKA
from camphorspread.request.policy import LeastReportedLoad, MeasuredLoad, RoundRobin
from features.fixtures.deployment_session import (
    Caller,
    CallerOutcomes,
    RequestType,
    open_deployment,
    send_load,
)

DEPLOYMENTS = {
    "vodna-vrazka": (VODNA_VRAZKA, RequestType("status-svc", "GET", "/applications/17")),
    "le-goff": (LE_GOFF, RequestType("vitrine", "GET", "/garters")),
}
POLICIES = (RoundRobin(), LeastReportedLoad(), MeasuredLoad())
SERVICE_MS, SLOW_MS, PROMISED_MS = 100, 1000, 300
WARM_UP_S, LOAD_S, SETTLE_S = 4.0, 10.0, 3.0


def measure(name: str, percent: int, seed: int, policy) -> dict:
    """Run the load with one policy and return the figures."""
    plan, kind = DEPLOYMENTS[name]
    context = SimpleNamespace()
    with open_deployment(context, plan, seed) as fleet:
        for node in fleet.entries.values():
            node.state.admission.policy = policy
        backends = [
            item for item in fleet.backends.values() if item.announcement.service == kind.service
        ]
        for number, backend in enumerate(backends):
            # Endpoints are numbered round robin over the six availability zones: the second one is
            # slow in every other zone, and the third one of each zone hides its load.
            is_slow = number // 6 == 1 and number % 2 == 0
            backend.service_time = timedelta(milliseconds=SLOW_MS if is_slow else SERVICE_MS)
            backend.reports_idle = number // 6 == 2
        mean_s = sum(item.service_time.total_seconds() for item in backends) / len(backends)
        slots = sum(item.announcement.slots for item in backends)
        kinds = [(kind, slots * percent / 100 / mean_s)]
        run_load(context, fleet, kinds, WARM_UP_S, seed)
        tally, free = run_load(context, fleet, kinds, LOAD_S, seed + 1)
        max_excess_slots = max(item.peak_busy - item.announcement.slots for item in backends)
    times = tally.times_us[kind.service]
    served = tally.outcomes[(kind.service, "200")]
    requests = sum(tally.outcomes.values())
    return {
        "deployment": name,
        "policy": type(policy).__name__,
        "percent": percent,
        "seed": seed,
        "requests": requests,
        "not_served": requests - served,
        "late": tally.late[kind.service],
        "p50_ms": times.get_value_at_percentile(50) / 1000,
        "p99_ms": times.get_value_at_percentile(99) / 1000,
        "p99.9_ms": times.get_value_at_percentile(99.9) / 1000,
        "mean_free_slots_percent": round(100 * free / slots, 1),
        "slots_over_announced": max(max_excess_slots, 0),
    }


def run_load(context, fleet, kinds, seconds: float, seed: int) -> tuple[CallerOutcomes, float]:
    """Send load and return the outcomes at callers and the mean number of free slots."""
    tally, samples = CallerOutcomes(), []
    regions = fleet.plan.deployment.region_names
    callers = [Caller(fleet, region, tally) for region in regions for _ in range(4)]
    service = kinds[0][0].service

    async def sample():
        while True:
            await asyncio.sleep(0.1)
            backends = [
                item for item in fleet.backends.values() if item.announcement.service == service
            ]
            samples.append(sum(item.announcement.slots - item.busy for item in backends))

    async def run():
        task = asyncio.create_task(sample())
        await send_load(callers, kinds, seconds, seed)
        task.cancel()
        await asyncio.sleep(SETTLE_S)

    context.loop.run_until_complete(run())
    return tally, sum(samples) / len(samples)


def main() -> None:
    """Compare the policies and print one JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="le-goff")
    parser.add_argument("--percent", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for policy in POLICIES:
        print(json.dumps(measure(args.deployment, args.percent, args.seed, policy)), flush=True)


if __name__ == "__main__":
    main()
