"""Uploads while an endpoint crashes and starts again under a new identifier."""

import asyncio
import hashlib
import os
import random
import sys
from pathlib import Path

from harness.fleet import Fleet, Record, make_route, make_service, run_case
from harness.wire import MAX_HEAD, BrokenError, put_configuration, read_body, read_head

FOLDER = Path(__file__).resolve().parent
UPLOAD_BYTES = 150_000
CHUNK_BYTES = 16_384
DEADLINE_MS = 1500
UPLOADS_PER_ROUND = 20
ROUNDS = 8
DOWN_S = 0.5
ENTRIES = {"quimper-a": 2, "quimper-b": 1, "paris-a": 1, "londres-a": 1}
# One crash at a time is one of ten endpoints, a share of 0.1. Those of quimper-a crash in turn.
ENDPOINT_ZONES = ("quimper-a",) * 8 + ("quimper-b",) * 2


async def upload(record: Record, address: str, request_id: str, key: int) -> None:
    """Send one upload in chunks and record its response."""
    body = os.urandom(UPLOAD_BYTES)
    digest = hashlib.sha256(body).hexdigest()[:16]
    record.write(event="sent", request=request_id, to=address, bytes=len(body), digest=digest)
    host, _, port = address.rpartition(":")
    writer = None
    status = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD)
            lines = (
                "PUT /sketch/scan HTTP/1.1",
                "Host: garters.example",
                f"Request-Id: {request_id}",
                f"Cookie: Affinity-Key={key}",
                f"Deadline-Ms: {DEADLINE_MS}",
                "Transfer-Encoding: chunked",
            )
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for start in range(0, len(body), CHUNK_BYTES):
                part = body[start : start + CHUNK_BYTES]
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            head = await read_head(reader)
            if head is not None:
                await read_body(reader, head[1], is_response=True)
                status = int(head[0].split()[1])
    except (BrokenError, OSError, TimeoutError) as exc:
        record.write(event="failed", request=request_id, cause=repr(exc))
    finally:
        if writer is not None:
            writer.close()
    record.write(event="response", request=request_id, status=status)


async def play(fleet: Fleet, has_trouble: bool) -> None:
    """Send rounds of uploads; before each one an endpoint crashes and starts again."""
    record = fleet.record
    fleet.start_all()
    endpoints = [
        fleet.start_endpoint(f"i-{random.getrandbits(32):08x}", "croquis", zone)
        for zone in ENDPOINT_ZONES
    ]
    routes = [make_route("sketch", "unsafe", "croquis", timeoutMs=1500)]
    await put_configuration(fleet.controls, 1, routes, [make_service("croquis")])
    await fleet.wait_ready()
    await asyncio.sleep(6)
    addresses = await fleet.resolve("quimper-a")
    record.note(f"clients of quimper-a use {addresses}")
    for number in range(ROUNDS):
        if has_trouble:
            victim = endpoints[number]
            fleet.kill(victim["instance"])
            record.note(f"{victim['instance']} at {victim['host']} crashed")
            await asyncio.sleep(DOWN_S)
            name = f"i-{random.getrandbits(32):08x}"
            endpoints[number] = fleet.start_endpoint(
                name, "croquis", victim["zone"], host=victim["host"], cold_ms=3000
            )
            record.note(f"{name} started at {victim['host']}")
        await asyncio.sleep(1)
        await asyncio.gather(
            *(
                upload(record, addresses[item % len(addresses)], f"u-{number}-{item}", item)
                for item in range(UPLOADS_PER_ROUND)
            )
        )
        await asyncio.sleep(4)


def check(record: Record) -> list[str]:
    """Return the requests that an endpoint ran with a body that the client didn't send."""
    sent = {line["request"]: line for line in record.read("sent")}
    statuses = {line["request"]: line["status"] for line in record.read("response")}
    return [
        f"UNASKED: {line['instance']} ran {line['request']} with {line['bytes']} bytes instead of"
        f" {sent[line['request']]['bytes']}; the client got {statuses.get(line['request'])}"
        for line in record.read("run")
        if line["digest"] != sent[line["request"]]["digest"]
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, check, ENTRIES))
