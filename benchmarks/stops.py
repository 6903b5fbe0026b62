"""Measures stops of VMs under steady load with once keys, in memory with virtual time.

Reports how many requests end as outcome unknown when one of 7 entry VMs crashes, and the drain time
of an entry VM and of a backend server. Run it from the root of the repository:

    python -m benchmarks.stops --seed 1
"""

import argparse
import asyncio
import json
import random
from collections import Counter
from types import SimpleNamespace

import attrs

from camphorspread.connection.messages import find_header
from camphorspread.process.drain_watch import handle_sigterm
from camphorspread.process.ownership import list_owners
from features.fixtures.entry_fleet import VM_NAMES, EntryFleet, make_service, open_entry_fleet

SERVICE = "filing-svc"
LOOKUP_TTL_MS = 5000
WARM_UP_S, LOAD_S, REQUEST_FINISH_S = 4.0, 12.0, 12.0
# A sixth of the slots is in use on average, as on an ordinary day.
REQUESTS_PER_S_PER_VM, BACKENDS_PER_VM, SLOTS, SERVICE_TIME_S = 33.0, 2, 10, 0.1


@attrs.define(eq=False)
class Load:
    """Callers with Poisson arrivals; each looks up targets and repeats unanswered requests."""

    fleet: EntryFleet
    rng: random.Random
    counts: Counter = attrs.field(factory=Counter)
    keys: int = 0
    tasks: set = attrs.field(factory=set)

    async def generate_arrivals(self, vm):
        """Start requests at one VM until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S_PER_VM))
            task = asyncio.create_task(self.pay(vm))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def look_up(self, vm):
        """Return target VMs and their once key prefixes from the first VM that responds."""
        start = VM_NAMES.index(vm)
        for name in VM_NAMES[start:] + VM_NAMES[:start]:
            result = await self.fleet.request(name, "GET", f"/v1/lookup?service={SERVICE}")
            if result.head is not None and result.head.status == 200:
                value = json.loads(result.body)
                return [(item["vm"], item["once_key_prefix"]) for item in value["targets"]]
        raise RuntimeError("no VM responds to lookups")

    async def pay(self, vm):
        """Send one payment; repeat it through the next target if its response is lost.

        After a refused connection nothing was sent, so the key takes the next target's prefix.
        """
        self.keys += 1
        number, key, repeats = self.keys, "", 0
        for target, prefix in (await self.look_up(vm))[:3]:
            key = key or f"{prefix}.fee-{number}"
            result = await self.fleet.request(
                target, "POST", f"/s/{SERVICE}/fees", b"amount=17", key
            )
            if result.head is not None and not result.error:
                break
            if result.error.endswith("refused") and not repeats:
                key = ""
            else:
                repeats += 1
        else:
            self.counts["no response"] += 1
            return
        outcome = find_header(result.head.headers, b"camphorspread-outcome")
        kind = find_header(result.head.headers, b"camphorspread-error")
        name = "response" if outcome is None else f"{outcome.decode()} ({kind.decode()})"
        self.counts[name + (" to a repeat" if repeats else "")] += 1


async def start_backends(fleet):
    """Start two backend servers for each VM, with names that hashing assigns to it."""
    fleet.put_service(make_service(SERVICE, lookup_ttl_ms=LOOKUP_TTL_MS))
    for vm in VM_NAMES:
        view = fleet.state(vm).fleet
        zone = view.own.availability_zone
        names = (f"{vm}-{number}" for number in range(50))
        own = [name for name in names if list_owners(view, SERVICE, name, zone)[0].vm == vm]
        for name in own[:BACKENDS_PER_VM]:
            await fleet.start_backend(SERVICE, name, vm, SLOTS, SERVICE_TIME_S)
    await asyncio.sleep(0.5)
    for node in fleet.nodes.values():
        for endpoint in node.state.registry.services[SERVICE].values():
            endpoint.ramp_slots = SLOTS


async def run_load(fleet, seed, stop):
    """Run the load before and after a stop and return the outcomes at callers."""
    await start_backends(fleet)
    load = Load(fleet, random.Random(seed))
    sources = [asyncio.create_task(load.generate_arrivals(vm)) for vm in VM_NAMES]
    await asyncio.sleep(WARM_UP_S)
    await stop(fleet)
    await asyncio.sleep(LOAD_S)
    for source in sources:
        source.cancel()
    await asyncio.sleep(REQUEST_FINISH_S)
    return load


async def kill(fleet):
    """Kill the first VM; the others detect that by its missing heartbeats."""
    await fleet.kill_vm(VM_NAMES[0])


async def drain(fleet):
    """Drain the first VM and stop it when the drain has ended."""
    node = fleet.nodes[VM_NAMES[0]]
    handle_sigterm(node.drain_watch)

    async def stop_at_end():
        await node.drain_watch.ended
        fleet.nodes.pop(VM_NAMES[0])
        await node.stop()

    fleet.tasks.append(asyncio.create_task(stop_at_end()))


async def leave(fleet):
    """Let a backend server of the first VM leave; print the time until its last request ends."""
    backend = fleet.backends[0]
    loop = asyncio.get_running_loop()
    start = loop.time()
    in_flight = backend.busy
    await backend.leave()
    while backend.busy:  # noqa: ASYNC110
        # The stub has no event for the end of its last request.
        await asyncio.sleep(0.001)
    print(f"backend server drain time: {1000 * (loop.time() - start):.0f} ms")
    print(f"  requests in flight when it announced its departure: {in_flight}")


def measure(title, seed, stop):
    """Run one kind of stop and print the outcomes at callers."""
    context = SimpleNamespace()
    with open_entry_fleet(context, len(VM_NAMES), seed) as fleet:
        load = context.loop.run_until_complete(run_load(fleet, seed, stop))
        lines = fleet.logs[VM_NAMES[0]].getvalue().splitlines()
        runs = Counter(fleet.count_runs().values())
    print(f"{title}, seed {seed}: {load.keys} payments, {dict(sorted(load.counts.items()))}")
    print(f"  runs of each key: {dict(runs)}")
    for line in lines:
        value = json.loads(line)
        if "drain_ms" in value:
            print(f"  entry VM drain time: {value['drain_ms']} ms")


def main():
    """Run all stops."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    measure("one of 7 VMs crashes", seed, kill)
    measure("one of 7 VMs drains", seed, drain)
    measure("one of 7 backend servers leaves", seed, leave)


if __name__ == "__main__":
    main()
