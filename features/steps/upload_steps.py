"""Steps for uploads that are too large to be buffered."""

import asyncio
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.client import InvalidResponseError, open_connection
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address
from features.fixtures.platform_fleet import CLIENT_HOST, FRONT_PORT, ZONES

CHUNK_BYTES = 10_000
UPLOAD_LIMIT_S = 5
STOPPING_TIME = timedelta(milliseconds=-1)


@given('a new endpoint has taken the address of each "filing" endpoint of "{place}"')
def step_replaced(context, place):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == "filing" and endpoint.zone.startswith(place):
            # It hasn't announced itself yet.
            endpoint.task.cancel()
            endpoint.instance = f"new-{endpoint.instance}"


@given('no "filing" endpoint of "{region}" has room')
def step_full(context, region):
    for zone in ZONES:
        if zone.startswith(f"{region}-"):
            board = context.fleet.entries[f"front-{zone}-2"].state.board
            for item in board.registry.by_service["filing"]:
                item.in_flight += 100


@given('the entry VMs of "{region}" refuse what is forwarded to them')
def step_refuse(context, region):
    for zone in ZONES:
        if zone.startswith(f"{region}-"):
            # A VM that stops before a request can end refuses it.
            state = context.fleet.entries[f"front-{zone}-2"].state
            state.exit_at = state.clock.monotonic() + STOPPING_TIME


async def upload(fleet, zone, number, size, framing):
    """Send one upload and return status and headers, or None without a complete response."""
    address = Address(fleet.host(zone, 2), FRONT_PORT)
    network = fleet.network.host(CLIENT_HOST)
    length = (b"content-length", b"%d" % size)
    headers = (
        (b"host", b"water.example"),
        (b"request-id", b"u%d" % number),
        (b"cookie", b"Affinity-Key=%d" % number),
        (b"deadline-ms", b"2000"),
        (b"transfer-encoding", b"chunked") if framing == "chunks" else length,
    )
    try:
        async with asyncio.timeout(UPLOAD_LIMIT_S):
            conn = await open_connection(network, address, ConnectionLimits())
            await conn.send_head(RequestHead(b"POST", b"/file/x", headers))
            for start in range(0, size, CHUNK_BYTES):
                await conn.send_body(b"b" * min(CHUNK_BYTES, size - start))
            await conn.finish_request()
            head = await conn.read_final_head()
            while await conn.read_body():
                pass
            return head.status, dict(head.headers)
    except (OSError, TimeoutError, InvalidResponseError):
        return None


@when('a client of "{zone}" uploads {size:d} bytes {count:d} times with {framing}')
def step_upload(context, zone, size, count, framing):
    context.upload = zone, size, count, framing
    context.next_upload = 0
    send_uploads(context)


def send_uploads(context):
    """Send the uploads of the scenario at once."""
    zone, size, count, framing = context.upload
    numbers = range(context.next_upload, context.next_upload + count)
    context.next_upload += count

    async def send_all():
        return await asyncio.gather(
            *(upload(context.fleet, zone, number, size, framing) for number in numbers)
        )

    context.answers = context.fleet.run_coroutine(send_all())


@then("no upload runs without a part of its body")
def step_whole(context):
    size = context.upload[1]
    sizes = [item for each in context.fleet.endpoints.values() for item in each.body_sizes]
    assert set(sizes) <= {size}, sizes


@then("each upload gets 200 or 503, and some of them 503 with a time to return")
def step_answers(context):
    statuses = {answer and answer[0] for answer in context.answers}
    assert statuses <= {200, 503}, context.answers
    delays = [answer[1].get(b"retry-after") for answer in context.answers if answer[0] == 503]
    assert any(delay and float(delay) > 0 for delay in delays), context.answers
