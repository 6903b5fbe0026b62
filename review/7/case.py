"""An owner is frozen; an endpoint that leaves meanwhile is in use again after it has woken."""

import asyncio
import signal
import time
from pathlib import Path

from stand_ins.endpoint import Endpoint, make_endpoints
from stand_ins.fleet import Fleet, make_route
from stand_ins.record import Record
from stand_ins.script import BROKEN, HELD, NOT_RUN, Client, has_trouble, run_script

DRAIN_S = 2.5
# The endpoint serves for this long after the acknowledgement, and exits.
SERVE_S = 4.0
WORK_S = 0.64
# One of twelve endpoints of the service.
LEAVING = "i-paris-a-1"
CONTACT_WINDOW_S = 3.0
# As many at once as reach each of the four endpoints of the region.
REQUESTS = 12
OWNER = "front-paris-a-1"
FREEZE_S = 5.0
# When the endpoint leaves, after the machine has been frozen.
LEAVE_S = 4.55


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
    if not await fleet.wait_until_ready(OWNER):
        return NOT_RUN
    await asyncio.sleep(6)
    client = Client(fleet, record)
    before = [await client.request(OWNER, "POST", "/orders/1", 3000) for _ in range(4)]
    if any(ending != "200" for _, ending in before):
        return NOT_RUN
    frozen = time.monotonic()
    if has_trouble():
        fleet.send_signal(OWNER, signal.SIGSTOP)
    await asyncio.sleep(frozen + LEAVE_S - time.monotonic())
    acknowledged = await leaving.deregister()
    if acknowledged is None or acknowledged > frozen + FREEZE_S:
        return NOT_RUN
    exiting = asyncio.create_task(exit_later(leaving, acknowledged + SERVE_S))
    await asyncio.sleep(frozen + FREEZE_S - time.monotonic())
    if has_trouble():
        fleet.send_signal(OWNER, signal.SIGCONT)
    in_touch = max(frozen + FREEZE_S + CONTACT_WINDOW_S, acknowledged + DRAIN_S)
    await asyncio.sleep(max(in_touch + 0.2 - time.monotonic(), 0))
    record.write(f"{OWNER} is in touch again; clients send to it")
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


async def exit_later(endpoint: Endpoint, at: float) -> None:
    """Let an endpoint exit once it has served for a while after its departure."""
    await asyncio.sleep(at - time.monotonic())
    await endpoint.exit()


if __name__ == "__main__":
    run_script(Path(__file__).parent, run)
