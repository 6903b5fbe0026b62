"""Steps of the limit on requests that move to another region."""

from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.request.region_shift import (
    HARD_LIMIT_FRACTION,
    RegionShares,
    is_shift_allowed,
    record_region,
)

SHIFT_LIMIT = 0.15
# Each entry: requests per second and seconds, one phase after the other.
LOADS = {
    "70 requests per second from the start, with all servers cold": ((70, 14),),
    "a burst from 20 to 200 requests per second and back": ((20, 8), (200, 4), (20, 8)),
    "160 requests per second until two servers are added": ((160, 16),),
    "20 requests per second until callers of another zone arrive": ((20, 8), (140, 10)),
}
ADDED_SERVERS = {"160 requests per second until two servers are added": (2, 8.0)}


@given("a VM of another region with free slots and a round trip of {seconds:g} s")
def step_far_vm(context, seconds):
    context.simulation.round_trip_s = seconds
    context.simulation.shift_limit = SHIFT_LIMIT


@when("the load is {load}")
def step_load(context, load):
    context.simulation.added = ADDED_SERVERS.get(load, (0, 0.0))
    context.phases = LOADS[load]
    context.unlimited = attrs.evolve(
        context.simulation, shift_limit=1.0, regions=[], requests={}, events=[]
    )
    context.simulation.run(*context.phases)


def measure(context, simulation):
    """Return the largest fraction that changed its region while requests arrived."""
    return simulation.measure_shift(0.0, sum(seconds for _, seconds in context.phases))


@then("at most {percent:g} percent of the requests change their region from one window to the next")
def step_limited(context, percent):
    shift = 100 * measure(context, context.simulation)
    assert shift <= percent, f"{shift:.1f} percent"


@then("without the limit more than {percent:g} percent do")
def step_unlimited(context, percent):
    context.unlimited.run(*context.phases)
    shift = 100 * measure(context, context.unlimited)
    assert shift > percent, f"{shift:.1f} percent"


@then("at most {percent:g} percent fewer requests are on time than without the limit")
def step_fewer(context, percent):
    fewer = 1 - context.simulation.on_time / context.unlimited.on_time
    assert 100 * fewer <= percent, f"{100 * fewer:.1f} percent"


@then("at least {percent:g} percent of the requests are on time")
def step_on_time(context, percent):
    simulation = context.simulation
    fraction = 100 * simulation.on_time / simulation.arrivals
    assert fraction >= percent, f"{fraction:.1f} percent"


@when("one of its servers is lost while it gets {rate:g} requests per second")
def step_lost(context, rate):
    context.simulation.lost_at = 8.0
    context.simulation.run((rate, 16))


@given("requests in one region only")
def step_one_region(context):
    context.shares = RegionShares(SHIFT_LIMIT)
    for number in range(200):
        record_region(context.shares, "sofia", timedelta(seconds=number / 40))
    context.now = timedelta(seconds=5)


@when("no request arrives for {seconds:g} s")
def step_pause(context, seconds):
    context.now += timedelta(seconds=seconds)


def is_allowed(context, region):
    """Return True if one more request may be sent to a region."""
    return is_shift_allowed(context.shares, region, HARD_LIMIT_FRACTION, context.now)


@then("the limit allows any number more of them")
def step_any_number(context):
    for _ in range(500):
        assert is_allowed(context, "sofia")
        record_region(context.shares, "sofia", context.now)


@then("the limit allows a request in another region")
def step_other_region(context):
    assert is_allowed(context, "varna")
