"""Endpoints say in their answers that they leave; their heartbeats arrive seconds late."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from harness.fleet import Fleet, Record, make_route, make_service, run_case
from harness.wire import BrokenError, call, put_configuration

FOLDER = Path(__file__).resolve().parent
ENTRIES = {"quimper-a": 1, "paris-a": 1, "londres-a": 1}
# Only the entry VM of quimper-a sends to endpoints of its region, and only it gets orders.
ENDPOINT_ZONES = ("quimper-a",) * 7 + ("paris-a", "londres-a")
# Three of nine endpoints are replaced one after the other, a share of 0.33.
LEAVING = 3
DRAIN_S = 2.5
DEADLINE_MS = 1500
WORK_MS = 600
ORDER_GAP_S = 0.05
LATE_MS = 6000


async def order(record: Record, address: str, request_id: str) -> None:
    """Send one order and record its response."""
    record.write(event="sent", request=request_id, to=address)
    headers = {
        "Host": "garters.example",
        "Request-Id": request_id,
        "Cookie": f"Affinity-Key={random.randrange(24)}",
        "Deadline-Ms": str(DEADLINE_MS),
    }
    status, is_leaving, cause = 0, False, ""
    try:
        status, fields, _ = await call(
            address, "POST", "/order/new", headers, b"order", DEADLINE_MS / 1000
        )
        is_leaving = "server-leaving" in fields
    except BrokenError as exc:
        cause = repr(exc)
    record.write(
        event="response", request=request_id, status=status, is_leaving=is_leaving, cause=cause
    )


async def send_orders(fleet: Fleet) -> None:
    """Send orders at a steady rate, until cancelled."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(order(fleet.record, fleet.front("quimper-a"), f"o-{number}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(ORDER_GAP_S)


async def play(fleet: Fleet, has_trouble: bool) -> None:
    """Replace endpoints one after the other under load."""
    record = fleet.record
    fleet.start_all()

    def start_endpoint(zone: str) -> str:
        name = f"i-{random.getrandbits(32):08x}"
        late_ms = LATE_MS if has_trouble else 0
        fleet.start_endpoint(name, "commandes", zone, slots=4, work_ms=WORK_MS, late_ms=late_ms)
        return name

    endpoints = [start_endpoint(zone) for zone in ENDPOINT_ZONES]
    route = make_route("order", "unsafe", "commandes", timeoutMs=DEADLINE_MS, targetLatencyMs=800)
    await put_configuration(fleet.controls, 1, [route], [make_service("commandes")])
    await fleet.wait_ready()
    await asyncio.sleep(5)
    orders = asyncio.create_task(send_orders(fleet))
    await asyncio.sleep(4)
    for leaving in endpoints[:LEAVING]:
        start_endpoint("quimper-a")
        await asyncio.sleep(1)
        record.note(f"{leaving} leaves")
        fleet.signal(leaving, signal.SIGTERM)
        await fleet.wait_exit(leaving)
        record.note(f"{leaving} has exited")
    await asyncio.sleep(2)
    orders.cancel()
    await asyncio.sleep(2)


def check(record: Record) -> list[str]:
    """Return the orders that were sent to the entry VM too late and reached the endpoint."""
    ran_at = {line["request"]: line["instance"] for line in record.read("run")}
    sent = {line["request"]: line["at"] for line in record.read("sent")}
    responses = {line["request"]: line for line in record.read("response")}
    told: dict[str, float] = {}
    for line in responses.values():
        if line["is_leaving"]:
            instance = ran_at[line["request"]]
            told[instance] = min(told.get(instance, time.time()), line["at"])
    if not told:
        raise BrokenError("no answer said that its endpoint leaves")
    broken = []
    for request, instance in ran_at.items():
        since = sent[request] - told.get(instance, time.time())
        if since > DRAIN_S:
            status = responses[request]["status"] if request in responses else None
            broken.append(
                f"DRAIN: {request} was sent {since:.2f} s after the entry VM had passed on"
                f" Server-Leaving of {instance}, and reached it; the client got {status}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, check, ENTRIES))
