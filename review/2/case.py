"""The entry VMs of a region are restarted in turn while endpoints of the region leave."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from harness.fleet import Fleet, Record, make_route, make_service, run_case
from harness.wire import BrokenError, call, put_configuration

FOLDER = Path(__file__).resolve().parent
DRAIN_S = 2.5
DEADLINE_MS = 1500
WORK_MS = 600
# Orders of each zone; together they need about two thirds of the slots.
ORDER_GAP_S = 0.12
CALLER_ZONES = ("quimper-a", "quimper-b", "paris-a", "paris-b")
# Two of sixteen endpoints leave, a share of 0.125.
ENDPOINT_ZONES = ("londres-b",) * 8 + ("quimper-a", "quimper-b", "paris-a", "paris-b") * 2
LEAVING = 2
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.5
LEAVE_DELAY_S = 0.15
# Spreads the heartbeats of the endpoints over an interval.
START_GAP_S = 0.09
# Endpoints serve for a little longer than the drain time.
AFTER_DRAIN_MS = 1200
LISTENER_READY_S = 15


async def order(record: Record, address: str, request_id: str) -> None:
    """Send one order and record its response."""
    record.write(event="sent", request=request_id, to=address)
    headers = {
        "Host": "garters.example",
        "Request-Id": request_id,
        "Cookie": f"Affinity-Key={random.randrange(24)}",
        "Deadline-Ms": str(DEADLINE_MS),
    }
    try:
        status, _, _ = await call(
            address, "POST", "/order/new", headers, b"order", DEADLINE_MS / 1000
        )
        record.write(event="response", request=request_id, status=status)
    except BrokenError as exc:
        record.write(event="response", request=request_id, status=0, cause=repr(exc))


async def send_orders(fleet: Fleet, zone: str) -> None:
    """Send orders to the entry VM of a zone at a steady rate, until cancelled."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(order(fleet.record, fleet.front(zone), f"o-{zone}-{number}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(ORDER_GAP_S)


async def play(fleet: Fleet, has_trouble: bool) -> None:
    """Restart the entry VM of londres-a, then that of londres-b; endpoints leave meanwhile."""
    record = fleet.record
    fleet.start_all()
    endpoints = []
    for zone in ENDPOINT_ZONES:
        name = f"i-{random.getrandbits(32):08x}"
        endpoints.append(
            fleet.start_endpoint(
                name,
                "commandes",
                zone,
                slots=2,
                work_ms=WORK_MS,
                after_drain_ms=AFTER_DRAIN_MS,
            )
        )
        await asyncio.sleep(START_GAP_S)
    route = make_route("order", "unsafe", "commandes", timeoutMs=DEADLINE_MS, targetLatencyMs=800)
    await put_configuration(fleet.controls, 1, [route], [make_service("commandes")])
    await fleet.wait_ready()
    await asyncio.sleep(6)
    callers = [asyncio.create_task(send_orders(fleet, zone)) for zone in CALLER_ZONES]
    await asyncio.sleep(3)
    londres = endpoints[: ENDPOINT_ZONES.count("londres-b")]
    leaving = [endpoint["instance"] for endpoint in londres[:: len(londres) // LEAVING]]
    if has_trouble:
        record.note("SIGTERM of the entry VM of londres-a")
        fleet.signal("front-londres-a-1", signal.SIGTERM)
        await fleet.wait_exit("front-londres-a-1")
        await asyncio.sleep(RESTART_DELAY_S)
        fleet.start_entry("londres-a")
        await fleet.wait_ready(LISTENER_READY_S)
        record.note("it is ready again; SIGTERM of the entry VM of londres-b")
        fleet.signal("front-londres-b-1", signal.SIGTERM)
    await asyncio.sleep(LEAVE_DELAY_S)
    record.note(f"{leaving} leave")
    for name in leaving:
        fleet.signal(name, signal.SIGTERM)
    for name in leaving:
        await fleet.wait_exit(name)
    await asyncio.sleep(3)
    if has_trouble:
        await fleet.wait_exit("front-londres-b-1")
        fleet.start_entry("londres-b")
    for task in callers:
        task.cancel()
    await asyncio.sleep(2)


def check(record: Record) -> list[str]:
    """Return the requests that reached an endpoint later than the drain time after its ack."""
    acknowledged = {line["instance"]: line["at"] for line in record.read("drain_acknowledged")}
    if not acknowledged:
        raise BrokenError("the departure wasn't acknowledged")
    sent = {line["request"]: line for line in record.read("sent")}
    statuses = {line["request"]: line["status"] for line in record.read("response")}
    broken = []
    for line in record.read("run"):
        since = line["at"] - acknowledged.get(line["instance"], time.time())
        if since > DRAIN_S:
            broken.append(
                f"DRAIN: {line['request']}, sent to {sent[line['request']]['to']}, reached"
                f" {line['instance']} {since:.2f} s after its departure was acknowledged;"
                f" the client got {statuses.get(line['request'])}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, check))
