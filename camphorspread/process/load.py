"""Open-loop load generator: requests start at planned times, however slow the responses are."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

from camphorspread.connection.client import ClientConnection, InvalidResponseError
from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.messages import Headers, RequestHead, find_header
from camphorspread.connection.network import Address, Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import Clock
from camphorspread.process.metrics import make_histogram, to_microseconds

__all__ = ["LoadPlan", "LoadResult", "RequestTemplate", "parse_template", "plan_requests"]
__all__ += ["run_load"]

REQUEST_TIMEOUT = timedelta(seconds=30)
MAX_WAITING = 10_000
BODY_CHUNK = b"x" * 65536
ONCE_KEY_HEADER = b"camphorspread-once-key"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
NO_RESPONSE = "no_response"


@attrs.frozen
class RequestTemplate:
    """One kind of request and its share of the load.

    Attributes:
        weight: Share, relative to the other templates.
        method: HTTP method.
        path: Path below the service.
        body_bytes: Size of the body.
    """

    weight: float
    method: str
    path: str
    body_bytes: int = 0

    @property
    def label(self) -> str:
        """Name of the template in results."""
        return f"{self.method} {self.path}"


@attrs.frozen
class LoadPlan:
    """A load; it ends after `count` requests or after `duration`.

    Attributes:
        service: Name of the service.
        lookups: Entry VMs to look the service up at, tried in this order.
        templates: Kinds of requests.
        rate: Requests a second.
        count: Requests at most.
        duration: Time within which requests are planned.
        max_in_flight: Requests in flight; later ones wait, and their wait counts.
    """

    service: str
    lookups: tuple[Address, ...]
    templates: tuple[RequestTemplate, ...]
    rate: float
    count: int
    duration: timedelta
    max_in_flight: int = 256


@attrs.define(eq=False)
class LoadResult:
    """Times and outcomes as callers saw them.

    Attributes:
        histograms: Time from the planned start to the end of the response, by template.
        outcomes: Complete responses by (template, status), others by (template, error).
        vms: Requests by address of the target that was used.
    """

    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)
    outcomes: Counter = attrs.field(factory=Counter)
    vms: Counter = attrs.field(factory=Counter)

    def describe(self) -> dict[str, object]:
        """Return the JSON form, with encoded histograms."""
        return {
            "requests": [
                {
                    "request": label,
                    "count": histogram.get_total_count(),
                    "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                    "p99_ms": histogram.get_value_at_percentile(99) / 1000,
                    "max_ms": histogram.get_max_value() / 1000,
                    "outcomes": {
                        outcome: count
                        for (name, outcome), count in sorted(self.outcomes.items())
                        if name == label
                    },
                    "hdrhistogram": histogram.encode().decode(),
                }
                for label, histogram in sorted(self.histograms.items())
            ],
            "targets": dict(sorted(self.vms.items())),
        }


def parse_template(text: str) -> RequestTemplate:
    """Parse `WEIGHT METHOD /PATH [BODY_BYTES]`.

    Raises:
        ValueError: The text doesn't match.

    Examples:
        >>> parse_template("3 POST /fees 200")
        RequestTemplate(weight=3.0, method='POST', path='/fees', body_bytes=200)
    """
    parts = text.split()
    if len(parts) not in (3, 4) or not parts[2].startswith("/") or not parts[1].isupper():
        raise ValueError(f"{text!r}; allowed: 'WEIGHT METHOD /PATH [BODY_BYTES]'")
    template = RequestTemplate(float(parts[0]), parts[1], parts[2], *map(int, parts[3:]))
    if template.weight <= 0 or template.body_bytes < 0:
        raise ValueError(f"{text!r}; allowed: a weight over 0 and no negative size")
    return template


def plan_requests(
    plan: LoadPlan, rng: random.Random
) -> Iterator[tuple[timedelta, RequestTemplate]]:
    """Yield planned instants since the start, evenly spaced, and what to send."""
    weights = [template.weight for template in plan.templates]
    for number in range(plan.count):
        instant = timedelta(seconds=number / plan.rate)
        if instant >= plan.duration:
            return
        yield instant, rng.choices(plan.templates, weights)[0]


@attrs.define(eq=False)
class LoadRun:
    """A running load."""

    plan: LoadPlan
    clock: Clock
    pool: ConnectionPool
    link: JsonLink
    rng: random.Random
    result: LoadResult
    slots: asyncio.Semaphore
    lookup: dict | None = None
    lookup_end: timedelta = timedelta(0)
    waiting: int = 0
    key_numbers: Iterator[int] = attrs.field(factory=itertools.count)


async def run_load(
    plan: LoadPlan, network: Network, clock: Clock, rng: random.Random
) -> LoadResult:
    """Send the planned requests and return times and outcomes."""
    pool = ConnectionPool(network, clock)
    slots = asyncio.Semaphore(plan.max_in_flight)
    run = LoadRun(plan, clock, pool, JsonLink(pool), rng, LoadResult(), slots)
    start = clock.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for instant, template in plan_requests(plan, rng):
            delay = start + instant - clock.monotonic()
            if delay > timedelta(0):
                await asyncio.sleep(delay.total_seconds())
            if run.waiting >= MAX_WAITING:
                record_outcome(run, template, start + instant, "not_sent")
                continue
            run.waiting += 1
            tasks.create_task(send_planned(run, template, start + instant))
    pool.close()
    return run.result


async def send_planned(run: LoadRun, template: RequestTemplate, planned: timedelta) -> None:
    """Send one request and record its time since the planned instant.

    Measuring from the planned instant avoids coordinated omission: a request that had to wait for
    slow ones before it counts with its wait.
    """
    try:
        async with run.slots, asyncio.timeout(REQUEST_TIMEOUT.total_seconds()):
            outcome = await send_to_targets(run, template)
    except TimeoutError:
        outcome = "timeout"
    except (OSError, LinkError, InvalidResponseError):
        outcome = NO_RESPONSE
    finally:
        run.waiting -= 1
    record_outcome(run, template, planned, outcome)


def record_outcome(
    run: LoadRun, template: RequestTemplate, planned: timedelta, outcome: str
) -> None:
    """Record the time and outcome of one request."""
    histogram = run.result.histograms.setdefault(template.label, make_histogram())
    histogram.record_value(to_microseconds(run.clock.monotonic() - planned))
    run.result.outcomes[(template.label, outcome)] += 1


async def send_to_targets(run: LoadRun, template: RequestTemplate) -> str:
    """Send one request to the first target of the lookup that accepts a connection."""
    lookup = await get_lookup(run)
    headers: Headers = ()
    prefix = lookup.get("once_key_prefix")
    if prefix and template.method not in REPEATABLE_METHODS:
        key = f"{prefix}.{run.rng.getrandbits(64):016x}-{next(run.key_numbers)}"
        headers = ((ONCE_KEY_HEADER, key.encode()),)
    for target in lookup["targets"]:
        address = Address(target["host"], target["port"])
        try:
            conn = await run.pool.acquire(address)
        except OSError:
            continue
        run.result.vms[str(address)] += 1
        try:
            outcome = await send_request(conn, run.plan.service, template, headers)
        except BaseException:
            conn.abort()
            raise
        run.pool.release(conn)
        return outcome
    return NO_RESPONSE


async def get_lookup(run: LoadRun) -> dict:
    """Return the cached lookup response, or a new one after its time-to-live.

    Raises:
        LinkError: No entry VM responds.
    """
    now = run.clock.monotonic()
    if run.lookup is not None and now < run.lookup_end:
        return run.lookup
    error = LinkError("no entry VM is given for lookups")
    for address in run.plan.lookups:
        try:
            target = f"/v1/lookup?service={run.plan.service}"
            response = await run.link.call(address, "GET", target)
        except LinkError as exc:
            error = exc
            continue
        if response.status == 200:
            run.lookup = response.value
            run.lookup_end = now + timedelta(milliseconds=response.value["ttl_ms"])
            return run.lookup
        error = LinkError(f"the lookup at {address} got status {response.status}")
    raise error


async def send_request(
    conn: ClientConnection, service: str, template: RequestTemplate, headers: Headers
) -> str:
    """Send one request, read its whole response and return its status or error kind."""
    length = (b"content-length", b"%d" % template.body_bytes)
    head = RequestHead(
        template.method.encode(),
        f"/s/{service}{template.path}".encode(),
        ((b"host", service.encode()), *headers, *((length,) if template.body_bytes else ())),
    )
    await conn.send_head(head)
    remaining_bytes = template.body_bytes
    while remaining_bytes:
        chunk = BODY_CHUNK[:remaining_bytes]
        await conn.send_body(chunk)
        remaining_bytes -= len(chunk)
    await conn.finish_request()
    response = await conn.read_final_head()
    while await conn.read_body():
        pass
    error = find_header(response.headers, b"camphorspread-error")
    return error.decode() if error else str(response.status)
