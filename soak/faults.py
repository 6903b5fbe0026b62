"""The faults and the planned work of a soak."""

import asyncio
import random
import signal

from soak.fleet import ZONES, Node, SoakFleet
from soak.proxy import FaultProxy, LinkFault
from soak.world import World, call_operator

__all__ = ["FAULTS", "PLANNED", "finish_evacuation", "inject", "start_if_down"]

PLANNED = ("put", "read", "evacuate", "drain", "reload")
FAULTS = (
    *PLANNED,
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
# Longer than the lease of a leader and shorter than the silence after which a member is removed.
LONGEST_S = 3.0
POLL_S = 0.05
MISBEHAVIOURS = ("reset", "shed", "cut", "stray")


async def inject(world: World, kind: str) -> None:
    """Carry out one fault or one piece of planned work, and undo it."""
    rng = world.rng
    pause = rng.uniform(0.1, LONGEST_S)
    match kind:
        case "put":
            await world.put_configuration()
        case "read":
            await world.read_configuration()
        case "evacuate":
            zone = rng.choice(ZONES)
            await call_operator(world, "POST", f"/-/Evacuations.Start/{zone}")
            await asyncio.sleep(pause)
            await finish_evacuation(world, zone)
        case "drain":
            ready = [item for item in world.endpoints.values() if item.state == "ready"]
            await world.drain(rng.choice(ready))
        case "proxy":
            proxies = [*world.fronts.values(), *(item.proxy for item in world.endpoints.values())]
            await disturb(rng.choice(proxies), rng, pause)
        case "endpoint":
            endpoint = rng.choice(list(world.endpoints.values()))
            endpoint.misbehaviour = rng.choice(MISBEHAVIOURS)
            await asyncio.sleep(pause)
            endpoint.misbehaviour = ""
        case _:
            await disturb_process(world.fleet, kind, rng, pause)


async def disturb_process(fleet: SoakFleet, kind: str, rng: random.Random, pause: float) -> None:
    """Kill, freeze or stop a process, or spoil its disk while it is down."""
    is_entry = kind in ("kill_entry", "pause_entry", "stop_entry")
    node = rng.choice(fleet.find(is_control=not is_entry))
    match kind:
        case "kill_entry" | "kill_control" | "wipe" | "tear":
            fleet.kill(node)
            if kind == "wipe":
                fleet.wipe(node)
            if kind == "tear":
                fleet.tear(node)
            await asyncio.sleep(pause)
            start_if_down(fleet, node)
        case "kill_all_controls":
            for item in fleet.find(is_control=True):
                fleet.kill(item)
            await asyncio.sleep(min(pause, 1.0))
            for item in fleet.find(is_control=True):
                start_if_down(fleet, item)
        case _ if not node.is_up:
            return
        case "pause_entry" | "pause_control":
            fleet.pause(node)
            await asyncio.sleep(pause)
            fleet.resume(node)
        case "stop_entry":
            await stop_and_start(fleet, node)
        case "reload":
            node.process.send_signal(signal.SIGHUP)


async def stop_and_start(fleet: SoakFleet, node: Node) -> None:
    """Stop a process as planned work does, and start it again once it has ended."""
    process = node.process
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:  # noqa: ASYNC110  The end of a process has no event here.
        await asyncio.sleep(POLL_S)
    start_if_down(fleet, node)


def start_if_down(fleet: SoakFleet, node: Node) -> None:
    """Start a process unless another fault has started it."""
    if node.process is None or node.process.poll() is not None:
        fleet.start(node)


async def disturb(proxy: FaultProxy, rng: random.Random, pause: float) -> None:
    """Disturb the connections of one proxy for a while."""
    fault = rng.choice([item for item in LinkFault if item is not LinkFault.NONE])
    proxy.fault = fault
    await asyncio.sleep(pause)
    proxy.fault = LinkFault.NONE
    # What was held back is lost, so the connections that carried it end.
    proxy.reset()


async def finish_evacuation(world: World, zone: str) -> None:
    """Take a zone back, until that is acknowledged."""
    for _ in range(40):
        answer = await call_operator(world, "POST", f"/-/Evacuations.Finish/{zone}")
        if answer is not None and answer[0] == 200:
            return
        await asyncio.sleep(0.3)
