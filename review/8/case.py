"""Two control machines are replaced; the second new one confirms departures and tells nobody."""

import asyncio
import signal
import time
from pathlib import Path

from stand_ins.endpoint import Endpoint, make_endpoints
from stand_ins.fleet import CONTROL_PORT, Fleet, make_route
from stand_ins.http import call
from stand_ins.record import Record
from stand_ins.script import BROKEN, HELD, NOT_RUN, Client, has_trouble, run_script

DRAIN_S = 2.5
# The endpoint serves for this long after the acknowledgement, and exits.
SERVE_S = 3.2
WORK_S = 0.64
# One of twelve endpoints of the service, and the entry process of its zone.
LEAVING = "i-paris-a-1"
OWNER = "front-paris-a-1"
# As many at once as reach each of the four endpoints of the region.
REQUESTS = 12
# The machines that are lost, and those that replace them, with the zone of each pair.
REPLACED = (
    ("core-paris-b-1", "core-paris-b-2", "paris-b"),
    ("core-londres-b-1", "core-londres-b-2", "londres-b"),
)
REPLACE_DELAY_S = 1.0
# Time between the two replacements.
GAP_S = 7.0
# When the endpoint leaves, after the second replacement was started.
LEAVE_S = 5.0


async def run(fleet: Fleet, record: Record) -> int:
    """Run the case."""
    fleet.add_small_deployment()
    for name in fleet.hosts:
        fleet.start(name)
    routes = [make_route("orders", "unsafe", "commandes")]
    if not await fleet.put_configuration(routes, ["commandes"], 1):
        return NOT_RUN
    endpoints = make_endpoints(fleet, record, WORK_S)
    leaving = endpoints[LEAVING]
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
    acknowledged = await leave(leaving, node)
    if acknowledged is None:
        return NOT_RUN
    await asyncio.sleep(acknowledged + DRAIN_S + 0.1 - time.monotonic())
    exiting = asyncio.create_task(exit_later(leaving, acknowledged + SERVE_S))
    sent = [client.request(OWNER, "POST", f"/orders/{number}", 3000) for number in range(REQUESTS)]
    answers = dict(await asyncio.gather(*sent))
    await exiting
    reached = [item for item in answers if item in leaving.runs]
    for item in reached:
        after_s = leaving.runs[item] - acknowledged
        record.write(
            f"DRAIN: {item} reached {leaving.instance} {after_s:.2f} s after its departure was"
            f" acknowledged; the client has {answers[item]}"
        )
    for endpoint in endpoints.values():
        await endpoint.stop()
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
