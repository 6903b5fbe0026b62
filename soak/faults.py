"""Faults and planned operations that a soak run injects."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Iterator

from soak.environment import NORMAL_SPEED, SoakEndpoint, SoakEnvironment, call_operator
from soak.fleet import ZONES, Node, SoakFleet
from soak.guarantees import Disturbance, Observations
from soak.proxy import FaultProxy, LinkFault

__all__ = [
    "FAULTS",
    "PLANNED_OPERATIONS",
    "ensure_started",
    "finish_evacuation",
    "get_max_loss_s",
    "run_operation",
]

PLANNED_OPERATIONS = ("put", "read", "evacuate", "drain", "reload")
FAULTS = (
    *PLANNED_OPERATIONS,
    *["put"] * 3,
    "kill_entry",
    "kill_control",
    "kill_all_controls",
    *["lose_controls"] * 2,
    "pause_entry",
    "pause_control",
    "stop_entry",
    "wipe",
    "tear",
    "proxy",
    "endpoint",
    "slow",
    *["overload"] * 2,
)
# Longer than a leader's lease, shorter than the silence after which a member is removed.
MAX_FAULT_S = 3.0
EXIT_POLL_INTERVAL_S = 0.05
# While an endpoint is slow, its requests take three times as long as usual.
SLOW_SPEED = 300
# An endpoint gets requests mainly from the VM of its zone, so that one alone asks for few pauses.
OVERLOADED_ENDPOINTS = 3
WHOLE_SERVICE_PROBABILITY = 0.3
RETRY_AFTER_VALUES = (b"0.8", b"1.5", b"3")
# For how much longer than the limit of strict revocation all control VMs are lost.
MIN_EXTRA_LOSS_S, MAX_EXTRA_LOSS_S = 1.0, 2.5
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
            leaving = environment.observations.draining_at
            staying = [item for name, item in environment.endpoints.items() if name not in leaving]
            await environment.replace_endpoint(rng.choice(staying))
        case "proxy":
            proxies = {
                **environment.caller_proxies,
                **{name: item.proxy for name, item in environment.endpoints.items()},
            }
            name = rng.choice(list(proxies))
            with record_disturbances(environment.observations, [name], is_vm=False):
                await fail_link(proxies[name], rng, duration_s)
        case "endpoint" | "slow" | "overload":
            await fail_endpoints(list(environment.endpoints.values()), kind, rng, duration_s)
        case "kill_all_controls" | "lose_controls":
            names = [node.name for node in environment.fleet.list_nodes(is_control=False)]
            with record_disturbances(environment.observations, names, is_contact_loss=True):
                if kind == "kill_all_controls":
                    await fail_all_controls(environment.fleet, duration_s)
                else:
                    await lose_all_controls(environment)
                # VMs are cut off until a leader is elected.
                for _ in range(40):
                    if await environment.read_configuration() is not None:
                        break
                    await asyncio.sleep(0.3)
        case _:
            is_entry = kind in ("kill_entry", "pause_entry", "stop_entry")
            node = rng.choice(environment.fleet.list_nodes(is_control=not is_entry))
            names = [] if kind == "reload" else [node.name]
            with record_disturbances(environment.observations, names, is_entry, not is_entry):
                await fail_process(environment.fleet, kind, node, duration_s)


@contextlib.contextmanager
def record_disturbances(
    seen: Observations,
    names: list[str],
    is_vm: bool = True,
    is_control: bool = False,
    is_contact_loss: bool = False,
) -> Iterator[None]:
    """Record that processes or links are disturbed while the context is open."""
    now = time.monotonic()
    items = [
        Disturbance(name, now, is_vm=is_vm, is_contact_loss=is_contact_loss, is_control=is_control)
        for name in names
    ]
    seen.disturbances.extend(items)
    yield
    for item in items:
        item.end = time.monotonic()


async def fail_endpoints(
    endpoints: list[SoakEndpoint], kind: str, rng: random.Random, duration_s: float
) -> None:
    """Let an endpoint misbehave or run slowly, or some of them ask for pauses, for a time."""
    endpoint = rng.choice(endpoints)
    match kind:
        case "endpoint":
            endpoint.fault = rng.choice(MISBEHAVIOURS)
            await asyncio.sleep(duration_s)
            endpoint.fault = ""
        case "slow":
            endpoint.set_speed(SLOW_SPEED)
            await asyncio.sleep(duration_s)
            endpoint.set_speed(NORMAL_SPEED)
        case "overload":
            overloaded = rng.sample(endpoints, OVERLOADED_ENDPOINTS)
            if rng.random() < WHOLE_SERVICE_PROBABILITY:
                overloaded = [item for item in endpoints if item.service == endpoint.service]
            for item in overloaded:
                item.fault, item.retry_after = "shed", rng.choice(RETRY_AFTER_VALUES)
            await asyncio.sleep(duration_s / 2)
            for item in overloaded:
                item.fault, item.retry_after = "", b""


async def fail_all_controls(fleet: SoakFleet, duration_s: float) -> None:
    """Kill all control VMs and start them again."""
    for item in fleet.list_nodes(is_control=True):
        fleet.kill(item)
    await asyncio.sleep(min(duration_s, 1.0))
    for item in fleet.list_nodes(is_control=True):
        ensure_started(fleet, item)


async def lose_all_controls(environment: SoakEnvironment) -> None:
    """Kill all control VMs, and start none until the limit of strict revocation has passed."""
    fleet, seen = environment.fleet, environment.observations
    controls = fleet.list_nodes(is_control=True)
    fleet.is_without_controls = True
    for item in controls:
        fleet.kill(item)
    start = time.monotonic()
    extra_s = environment.rng.uniform(MIN_EXTRA_LOSS_S, MAX_EXTRA_LOSS_S)
    await asyncio.sleep(fleet.revocation_limit_s + extra_s)
    seen.contact_losses.append((start, time.monotonic()))
    fleet.is_without_controls = False
    for item in controls:
        ensure_started(fleet, item)


def get_max_loss_s(fleet: SoakFleet) -> float:
    """Return the longest time for which all control VMs are lost."""
    return fleet.revocation_limit_s + MAX_EXTRA_LOSS_S


async def fail_process(fleet: SoakFleet, kind: str, node: Node, duration_s: float) -> None:
    """Kill, suspend or stop a process, or damage its data folder while it is down."""
    match kind:
        case "kill_entry" | "kill_control" | "wipe" | "tear":
            fleet.kill(node)
            if kind == "wipe":
                fleet.delete_data(node)
            if kind == "tear":
                fleet.append_torn_record(node)
            await asyncio.sleep(duration_s)
            ensure_started(fleet, node)
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
    """Start a process that isn't running; another fault may have started it already.

    No control VM is started while all of them are to be lost.
    """
    if node.is_control and fleet.is_without_controls:
        return
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
