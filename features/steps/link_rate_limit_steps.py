"""Steps for uploads that are forwarded to another region."""

import asyncio

from behave import given, then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.request.link_rate_limit import LinkRateLimiter, acquire_link_bytes, link_share
from camphorspread.request.window import SlidingWindow
from camphorspread.version.catalogue import AvailabilityZoneEntry, RegionEntry
from camphorspread.version.changes import PutRegion, apply_change
from features.fixtures.session import call


def make_region(name, vms, rate):
    zone = AvailabilityZoneEntry(f"{name}-a", tuple(vms))
    return RegionEntry(name, "operator", 1000, (zone,), {}, rate)


@given("a region with {count:d} entry VMs whose links carry {rate:d} bytes a second")
def step_linked_region(context, count, rate):
    region = make_region("sofia", [f"vm-{number}" for number in range(count)], rate)
    context.rate_limiter = LinkRateLimiter(SlidingWindow(), link_share(region), context.clock)


@when("one of its VMs forwards {count:d} uploads of {size:d} bytes in chunks of {part:d} at once")
def step_forward_uploads(context, count, size, part):
    context.sent_parts = []

    async def upload():
        remaining = size
        while remaining:
            amount = min(part, remaining)
            await acquire_link_bytes(context.rate_limiter, amount)
            context.sent_parts.append((context.loop.time(), amount))
            remaining -= amount

    async def upload_all():
        await asyncio.gather(*(upload() for _ in range(count)))

    context.loop.run_until_complete(upload_all())


@then("no interval of one second has more than {limit:d} bytes")
def step_check_rate(context, limit):
    for start, _ in context.sent_parts:
        within = sum(amount for time, amount in context.sent_parts if start <= time < start + 1)
        assert within <= limit, (start, within)


@then("they end after {low:d} to {high:d} seconds")
def step_check_end(context, low, high):
    assert low <= context.loop.time() <= high, context.loop.time()


@given("the links of the owner's region carry 1 byte a second")
def step_thin_links(context):
    for node in context.fleet.entries:
        place = node.state.settings.place
        change = PutRegion(make_region(place.region, [place.vm], 1))
        node.state.catalogue = apply_change(node.state.catalogue, change)


@when('a caller uploads {size:d} bytes for "{service}" to entry VM {number:d} of that region')
def step_upload_near(context, size, service, number):
    address = context.fleet.plan.entry_vms()[number].callers
    headers = ((b"host", b"entry"), (b"content-length", b"%d" % size))
    head = RequestHead(b"PUT", f"/s/{service}/maps/1".encode(), headers)
    start = context.loop.time()
    upload = call(context.caller, address, head, b"x" * size)
    context.upload = context.loop.run_until_complete(upload)
    context.upload_s = context.loop.time() - start


@then("the upload got status 200 within 1 second")
def step_check_upload(context):
    assert context.upload.head is not None and context.upload.head.status == 200, context.upload
    assert context.upload_s < 1, context.upload_s
