"""An owner is killed after it has acknowledged a departure; a late heartbeat arrives afterwards."""

import asyncio
import json
import signal
import time
from pathlib import Path

from stand_ins.endpoint import Endpoint, make_endpoints
from stand_ins.fleet import Fleet, make_route
from stand_ins.http import call
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
RESTART_DELAY_S = 0.3
# How late the last heartbeat before the departure arrives.
HEARTBEAT_DELAY_S = 2.2


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
    # The endpoint sends this heartbeat before it leaves, and the network holds it up.
    leaving.sequence += 1
    heartbeat = leaving.make_heartbeat()
    record.write(f"endpoint {leaving.instance} sends heartbeat {heartbeat['seq']} (ready)")
    late = asyncio.create_task(deliver_late(fleet, record, leaving.instance, heartbeat))
    acknowledged = await leaving.leave()
    if acknowledged is None:
        return NOT_RUN
    exiting = asyncio.create_task(exit_later(leaving, acknowledged + SERVE_S))
    restarted = time.monotonic()
    if has_trouble():
        fleet.send_signal(OWNER, signal.SIGKILL)
        await fleet.wait_for_exit(OWNER, 2)
        await asyncio.sleep(RESTART_DELAY_S)
        fleet.start(OWNER)
        restarted = time.monotonic()
    await late
    if not await fleet.wait_until_ready(OWNER):
        return NOT_RUN
    in_touch = max(restarted + CONTACT_WINDOW_S, acknowledged + DRAIN_S)
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


async def deliver_late(fleet: Fleet, record: Record, instance: str, heartbeat: dict) -> None:
    """Deliver a heartbeat late, to a node that serves control."""
    await asyncio.sleep(HEARTBEAT_DELAY_S)
    target = f"/-/Instances.Heartbeat/{instance}"
    answer = await call(fleet.controls[0], "POST", target, json.dumps(heartbeat).encode())
    status = "no answer" if answer is None else answer.status
    record.write(
        f"heartbeat {heartbeat['seq']} arrives {HEARTBEAT_DELAY_S} s late at {fleet.controls[0]}:"
        f" {status}"
    )


if __name__ == "__main__":
    run_script(Path(__file__).parent, run)
