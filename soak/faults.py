"""Faults and planned operations that a soak run injects."""

import asyncio
import random
import signal

from soak.environment import SoakEnvironment, call_operator
from soak.fleet import ZONES, Node, SoakFleet
from soak.proxy import FaultProxy, LinkFault

__all__ = ["FAULTS", "PLANNED_OPERATIONS", "ensure_started", "finish_evacuation", "run_operation"]

PLANNED_OPERATIONS = ("put", "read", "evacuate", "drain", "reload")
FAULTS = (
    *PLANNED_OPERATIONS,
    "put",
    "kill_entry",
    "kill_control",
    "kill_all_controls",
    "pause_entry",
    "pause_control",
    "stop_entry",
    "wipe",
    "tear",
    "proxy",
    "endpoint",
)
# Longer than a leader's lease, shorter than the silence after which a member is removed.
MAX_FAULT_S = 3.0
EXIT_POLL_INTERVAL_S = 0.05
MISBEHAVIOURS = ("reset", "shed", "cut", "stray")


async def run_operation(environment: SoakEnvironment, kind: str) -> None:
    """Run one planned operation, or inject one fault and revert it after a random time."""
    rng = environment.rng
    duration_s = rng.uniform(0.1, MAX_FAULT_S)
    match kind:
        case "put":
            await environment.put_configuration()
        case "read":
            await environment.read_configuration()
        case "evacuate":
            zone = rng.choice(ZONES)
            await call_operator(environment, "POST", f"/-/Evacuations.Start/{zone}")
            await asyncio.sleep(duration_s)
            await finish_evacuation(environment, zone)
        case "drain":
            ready = [item for item in environment.endpoints.values() if item.state == "ready"]
            await environment.replace_endpoint(rng.choice(ready))
        case "proxy":
            proxies = [
                *environment.caller_proxies.values(),
                *(item.proxy for item in environment.endpoints.values()),
            ]
            await fail_link(rng.choice(proxies), rng, duration_s)
        case "endpoint":
            endpoint = rng.choice(list(environment.endpoints.values()))
            endpoint.fault = rng.choice(MISBEHAVIOURS)
            await asyncio.sleep(duration_s)
            endpoint.fault = ""
        case _:
            await fail_process(environment.fleet, kind, rng, duration_s)


async def fail_process(fleet: SoakFleet, kind: str, rng: random.Random, duration_s: float) -> None:
    """Kill, suspend or stop a process, or damage its data folder while it is down."""
    is_entry = kind in ("kill_entry", "pause_entry", "stop_entry")
    node = rng.choice(fleet.list_nodes(is_control=not is_entry))
    match kind:
        case "kill_entry" | "kill_control" | "wipe" | "tear":
            fleet.kill(node)
            if kind == "wipe":
                fleet.delete_data(node)
            if kind == "tear":
                fleet.append_torn_record(node)
            await asyncio.sleep(duration_s)
            ensure_started(fleet, node)
        case "kill_all_controls":
            for item in fleet.list_nodes(is_control=True):
                fleet.kill(item)
            await asyncio.sleep(min(duration_s, 1.0))
            for item in fleet.list_nodes(is_control=True):
                ensure_started(fleet, item)
        case _ if not node.is_up:
            return
        case "pause_entry" | "pause_control":
            fleet.suspend(node)
            await asyncio.sleep(duration_s)
            fleet.resume(node)
        case "stop_entry":
            await restart_gracefully(fleet, node)
        case "reload":
            node.process.send_signal(signal.SIGHUP)


async def restart_gracefully(fleet: SoakFleet, node: Node) -> None:
    """Stop a process with SIGTERM and start it again after it has exited."""
    process = node.process
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:  # noqa: ASYNC110  Popen has no event for the exit of a process.
        await asyncio.sleep(EXIT_POLL_INTERVAL_S)
    ensure_started(fleet, node)


def ensure_started(fleet: SoakFleet, node: Node) -> None:
    """Start a process that isn't running; another fault may have started it already."""
    if node.process is None or node.process.poll() is not None:
        fleet.start(node)


async def fail_link(proxy: FaultProxy, rng: random.Random, duration_s: float) -> None:
    """Apply a random fault to one proxy for a time, then reset its connections."""
    fault = rng.choice([item for item in LinkFault if item is not LinkFault.NONE])
    proxy.fault = fault
    await asyncio.sleep(duration_s)
    proxy.fault = LinkFault.NONE
    # Bytes held back by the fault are lost, so their connections are reset.
    proxy.reset()


async def finish_evacuation(environment: SoakEnvironment, zone: str) -> None:
    """End the evacuation of a zone; retry until a control VM acknowledges it."""
    for _ in range(40):
        answer = await call_operator(environment, "POST", f"/-/Evacuations.Finish/{zone}")
        if answer is not None and answer[0] == 200:
            return
        await asyncio.sleep(0.3)
