"""Steps for quotas on the whole path of the platform's fleet."""

import asyncio
import bisect

import attrs
from behave import given, then, when

from camphorspread.platform.dialect import PlatformDialect
from camphorspread.platform.routing_codec import decode_table
from camphorspread.process.steering_node import stop_gracefully
from camphorspread.version.organisations import Organisation, OrganisationTable
from features.fixtures.platform_fleet import ZONES

ACME = "acme"
WINDOW_S, OVERAGE, TOLERANCE = 5.0, 0.1, 20


class AcmeDialect(PlatformDialect):
    """Takes all callers for callers of one organisation."""

    def decode_request(self, head):
        call = super().decode_request(head)
        return call.map(lambda item: attrs.evolve(item, organisation=ACME))


@given("a fleet whose callers belong to an organisation with a limit of {rate:d} requests a second")
def step_limited(context, rate):
    context.rate = rate
    organisations = OrganisationTable((Organisation(ACME, rate=rate),))

    def decode_limited(data):
        return decode_table(data).map(lambda item: attrs.evolve(item, organisations=organisations))

    context.fleet.decode_table = decode_limited
    context.fleet.make_dialect = AcmeDialect


def find_leader(fleet):
    """Return the name and state of the leader."""
    return next(
        (name, node.steering)
        for name, node in fleet.controls.items()
        if node.steering.control.view.is_leader
    )


@when(
    "its callers send {rate:d} requests a second for {seconds:d} s, and after {begin:d} s {event}"
)
def step_send(context, rate, seconds, begin, event):
    fleet = context.fleet
    context.answers = []
    context.begin, context.end = fleet.loop.time(), fleet.loop.time() + seconds

    async def send(number):
        zone = ZONES[number % len(ZONES)]
        context.answers.append(await fleet.request(zone, "/read/x", key=str(number)))

    async def send_all(first, last):
        tasks = []
        for number in range(first, last):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / rate)
        return tasks

    tasks = fleet.run_coroutine(send_all(0, rate * begin))
    if event != "nothing happens":
        fleet.kill(find_leader(fleet)[0])
    tasks += fleet.run_coroutine(send_all(rate * begin, rate * seconds))
    fleet.run_coroutine(asyncio.gather(*tasks))


@then("in no window more of them run than the bound allows, and at least nine tenths of the limit")
def step_runs(context):
    times = sorted(at for item in context.fleet.endpoints.values() for at in item.run_times)
    bound = context.rate * WINDOW_S * (1 + OVERAGE) + TOLERANCE
    counts = [bisect.bisect_left(times, at + WINDOW_S) - first for first, at in enumerate(times)]
    assert max(counts) <= bound, (max(counts), bound)
    least = 0.9 * context.rate * (context.end - context.begin)
    assert len(times) >= least, (len(times), least)


@then("all others get 429 with a retry time, and are counted and logged for the organisation")
def step_refused(context):
    fleet = context.fleet
    refused = [answer for answer in context.answers if answer[0] != 200]
    assert refused
    for status, headers, _ in refused:
        assert status in {429, 503}, status
        assert 0.1 <= float(headers[b"retry-after"]) <= WINDOW_S, headers
    over = sum(answer[0] == 429 for answer in refused)
    # A VM that has no share yet doesn't know that the limit is reached.
    assert over >= 0.95 * len(refused), (over, len(refused))
    counted = sum(
        node.state.metrics.quota_requests[(ACME, "over")] for node in fleet.entries.values()
    )
    assert counted == over, (counted, over)
    lines = [line for log in fleet.logs.values() for line in log.getvalue().splitlines()]
    assert any("quota_exceeded" in line and ACME in line for line in lines)


@when('the entry VM of "{zone}" is stopped')
def step_stop(context, zone):
    context.stopped = f"front-{zone}-2"
    node = context.fleet.entries.pop(context.stopped)
    held = find_leader(context.fleet)[1].quotas.holders[context.stopped].reserved
    assert held.get(ACME), held
    context.fleet.run_coroutine(stop_gracefully(node))


@then("the leader has nothing reserved for it one window later")
def step_returned(context):
    context.fleet.run(WINDOW_S + 1.5)
    quotas = find_leader(context.fleet)[1].quotas
    holder = quotas.holders.get(context.stopped)
    assert holder is None or not holder.reserved, holder


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@then("no control VM has received a renewal of shares")
def step_no_renewal(context):
    for node in context.fleet.controls.values():
        assert not node.steering.control.metrics.quota_renewals
