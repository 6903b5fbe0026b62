"""Two control machines are replaced; the second new one confirms departures and tells nobody."""

import asyncio
import signal
import time
from pathlib import Path

from stand_ins.endpoint import Endpoint
from stand_ins.fleet import CONTROL_PORT, Fleet, make_route
from stand_ins.http import call
from stand_ins.record import Record
from stand_ins.script import BROKEN, HELD, NOT_RUN, Client, has_trouble, run_script

DRAIN_S = 2.5
# The endpoints serve for this long after the acknowledgement, and exit.
SERVE_S = 3.2
WORK_S = 0.64
FRONTS = {
    "front-quimper-b-1": "quimper-b",
    "front-paris-a-1": "paris-a",
    "front-paris-b-1": "paris-b",
    "front-londres-a-1": "londres-a",
    "front-londres-b-1": "londres-b",
}
# The machines that are lost, and those that replace them, with the zone of each pair.
REPLACED = (
    ("core-paris-b-1", "core-paris-b-2", "paris-b"),
    ("core-londres-b-1", "core-londres-b-2", "londres-b"),
)
REPLACE_DELAY_S = 1.0
# Time between the two replacements.
GAP_S = 7.0
# When the endpoints leave, after the second replacement was started.
LEAVE_S = 5.0


async def run(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    fleet.add_small_deployment()
    for name in fleet.hosts:
        fleet.start(name)
    routes = [make_route(f"orders-{zone}", "unsafe", f"svc-{zone}") for zone in FRONTS.values()]
    services = [f"svc-{zone}" for zone in FRONTS.values()]
    if not await fleet.put_configuration(routes, services, 1):
        return NOT_RUN
    endpoints = {
        name: Endpoint(fleet, record, f"i-{zone}", f"svc-{zone}", zone, 40, 4, WORK_S)
        for name, zone in FRONTS.items()
    }
    for endpoint in endpoints.values():
        await endpoint.start()
    if not all([await fleet.wait_until_ready(name) for name in fleet.list_names("front")]):
        return NOT_RUN
    await asyncio.sleep(10)
    client = Client(fleet, record)
    node = f"{fleet.hosts[REPLACED[1][0]]}:{CONTROL_PORT}"
    started = time.monotonic()
    if has_trouble():
        for number, (lost, new, zone) in enumerate(REPLACED):
            await asyncio.sleep(max(started + number * GAP_S - time.monotonic(), 0))
            fleet.send_signal(lost, signal.SIGKILL)
            await asyncio.sleep(REPLACE_DELAY_S)
            fleet.add(new, zone, 4)
            fleet.started.add(new)
            fleet.start(new)
        node = f"{fleet.hosts[REPLACED[1][1]]}:{CONTROL_PORT}"
    await asyncio.sleep(LEAVE_S)
    acknowledged: dict[str, float] = {}
    for name, endpoint in endpoints.items():
        at = await leave(endpoint, node)
        if at is not None:
            acknowledged[name] = at
    if not acknowledged:
        return NOT_RUN
    await asyncio.sleep(max(acknowledged.values()) + DRAIN_S + 0.1 - time.monotonic())
    sent = [
        client.request(name, "POST", f"/orders-{FRONTS[name]}/1", 3000) for name in acknowledged
    ]
    exits = [
        asyncio.create_task(exit_later(endpoints[name], at + SERVE_S))
        for name, at in acknowledged.items()
    ]
    answers = dict(await asyncio.gather(*sent))
    await asyncio.gather(*exits)
    reached = []
    for name, at in acknowledged.items():
        for item, begun in endpoints[name].runs.items():
            if begun > at + DRAIN_S:
                reached.append(item)
                record.write(
                    f"DRAIN: {item} reached {endpoints[name].instance} {begun - at:.2f} s after its"
                    f" departure was acknowledged; the client has {answers[item]}"
                )
    return BROKEN if reached else HELD


async def leave(endpoint: Endpoint, node: str) -> float | None:
    """Deregister an endpoint at a node; return when that was acknowledged, None if it wasn't."""
    endpoint.announcing.cancel()
    endpoint.state = "draining"
    answer = await call(node, "POST", f"/-/Instances.Deregister/{endpoint.instance}")
    status = "no answer" if answer is None else answer.status
    endpoint.record.write(f"endpoint {endpoint.instance} deregisters at {node}: {status}")
    return time.monotonic() if status == 200 else None


async def exit_later(endpoint: Endpoint, at: float) -> None:
    """Let an endpoint exit once it has served for a while after its departure."""
    await asyncio.sleep(max(at - time.monotonic(), 0))
    await endpoint.exit()


if __name__ == "__main__":
    run_script(Path(__file__).parent, run)
