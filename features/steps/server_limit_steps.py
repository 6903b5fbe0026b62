"""Steps for the request rates that backend servers state."""

import asyncio
import bisect
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.process.instances import drop_instance, expire_instances
from camphorspread.process.loans import replace_loans
from camphorspread.request.dialect import Limited, Unlimited, Unreadable
from camphorspread.request.server_limit import apply_statement
from features.fixtures.placement_simulation import make_board
from features.fixtures.platform_fleet import ZONES

NOW = timedelta(seconds=5)
# From one contact window after its first statement, a server gets at most this many times its rate.
CONTACT_WINDOW_S = 3.0
AGREED_FACTOR = 1.5
# Part of the limited time in which the use of the limits is measured.
USED_S = 8.0


@given('a response with the limit headers "{headers}"')
def step_response(context, headers):
    values = [b""] if headers == "empty" else headers.encode().split(b" / ")
    fields = tuple((b"server-limit", value) for value in values)
    context.statement = PlatformDialect().decode_response(ResponseHead(200, fields)).rate_limit


@given('a response with the limit headers ""')
def step_no_header(context):
    context.statement = PlatformDialect().decode_response(ResponseHead(200, ())).rate_limit


@then("its limit is read as {rate:g} a second")
def step_limited(context, rate):
    assert context.statement == Limited(rate), context.statement


@then("its limit is read as no limit")
def step_unlimited(context):
    assert context.statement == Unlimited(), context.statement


@then("its limit is read as unreadable")
def step_unreadable(context):
    assert isinstance(context.statement, Unreadable), context.statement


@given("a server that stated a limit of {rate:g} a second to one of {vms:d} VMs")
def step_limited_server(context, rate, vms):
    context.board, context.vms = make_board(1), vms
    context.server = context.board.registry.instances["i-0"]
    apply_statement(context.server, Limited(rate), vms)


@when("it states something unreadable")
def step_state_unreadable(context):
    apply_statement(context.server, Unreadable("soon"), context.vms)


@when("it states no limit")
def step_state_unlimited(context):
    apply_statement(context.server, Unlimited(), context.vms)


def lend_again(context, report):
    """End the loan of the server, and let another VM lend it."""
    registry = context.board.registry
    replace_loans(registry, "vm-2", [context.server.report], NOW, NOW)
    replace_loans(registry, "vm-2", [], NOW, NOW)
    drop_instance(registry, "i-0")
    expire_instances(registry, NOW)
    replace_loans(registry, "vm-3", [report], 2 * NOW, NOW)
    context.server = registry.instances["i-0"]


@when("its loan ends and it is lent again")
def step_lend_again(context):
    lend_again(context, context.server.report)


@when("it is started anew and lent again")
def step_restart(context):
    report = context.server.report
    lend_again(context, attrs.evolve(report, started_ms=report.started_ms + 1))


@then("the VM's share is one request in {seconds:g} s")
def step_share(context, seconds):
    assert context.server.stated.send_interval.total_seconds() == seconds, context.server


@then("the VM's requests to it aren't limited")
def step_not_limited(context):
    assert context.server.stated.rate_limit is None
    assert not context.server.stated.send_interval


@given(
    "{count:d} of the servers take {limit:g} requests a second each from second {start:g} to "
    "second {end:g}"
)
def step_limits(context, count, limit, start, end):
    context.region["limits"] = {f"i-{number}": limit for number in range(count)}
    context.region["limited_between"] = (start, end)


def count_after(times, start, seconds):
    """Return how many of the sorted times are within some seconds after one of them."""
    return bisect.bisect(times, start + seconds) - bisect.bisect_left(times, start)


@then(
    "each of them gets at most one and a half times its limit and {extra:d} requests in any "
    "{seconds:d} s"
)
def step_keeps(context, extra, seconds):
    simulation = context.simulation
    for name, limit in simulation.limits.items():
        first = min(at for (_, server), at in simulation.told.items() if server == name)
        times = [at for at in simulation.told_sends[name] if at >= first + CONTACT_WINDOW_S]
        most = max((count_after(times, at, seconds) for at in times), default=0)
        assert most <= AGREED_FACTOR * limit * seconds + extra, (name, most)


@then("at least {percent:d} percent of the requests that they take are sent to them")
def step_used(context, percent):
    simulation = context.simulation
    end = simulation.limited_between[1]
    for name, limit in simulation.limits.items():
        times = [at for at in simulation.told_sends[name] if at >= end - USED_S]
        assert len(times) >= percent / 100 * limit * USED_S, (name, len(times))


@then("at least {percent:d} percent of the requests are served")
def step_served(context, percent):
    simulation = context.simulation
    served = simulation.on_time + simulation.late
    assert served >= percent / 100 * simulation.arrivals, (served, simulation.arrivals)


@then(
    "they get at least {percent:d} percent of an equal share of the requests after second "
    "{second:g}"
)
def step_returns(context, percent, second):
    simulation = context.simulation
    sent = {name: sum(at >= second for at in times) for name, times in simulation.sends.items()}
    count = sum(sent[name] for name in simulation.limits)
    share = sum(sent.values()) * len(simulation.limits) / simulation.servers
    assert count >= percent / 100 * share, (count, share)


@given('a stated limit of "{limit}" at the endpoints of "{service}"')
def step_state_limits(context, limit, service):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service:
            endpoint.limit = limit.encode()


@when('clients of each zone send {rate:d} "read" requests a second for {seconds:d} s')
def step_send_steadily(context, rate, seconds):
    async def send(zone, number):
        await asyncio.sleep(number / rate)
        started = asyncio.get_running_loop().time()
        answer = await context.fleet.request(zone, f"/read/{number}", key=str(number % 5))
        return answer, asyncio.get_running_loop().time() - started

    async def send_all():
        return await asyncio.gather(
            *(send(zone, number) for number in range(rate * seconds) for zone in ZONES)
        )

    context.answers = context.fleet.run_coroutine(send_all())


@then('each "{service}" endpoint ran at most {count:d} of them in any {seconds:d} s')
def step_ran_at_most(context, service, count, seconds):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service != service or not endpoint.run_times:
            continue
        first = endpoint.run_times[0]
        times = [at for at in endpoint.run_times if at >= first + CONTACT_WINDOW_S]
        most = max((count_after(times, at, seconds) for at in times), default=0)
        assert most <= count, (endpoint.instance, most)


@then('each "{service}" endpoint ran at least {count:d} of them')
def step_ran_at_least(context, service, count):
    for endpoint in context.fleet.endpoints.values():
        if endpoint.service == service:
            assert len(endpoint.runs) >= count, (endpoint.instance, len(endpoint.runs))


@then("all others got 503 with a time to return, within {seconds:g} s on average")
def step_refused_at_once(context, seconds):
    others = [(answer, spent) for answer, spent in context.answers if answer[0] != 200]
    assert others
    for answer, _ in others:
        assert answer[0] == 503, answer
        assert float(answer[1][b"retry-after"]) > 0, answer
    mean = sum(spent for _, spent in others) / len(others)
    assert mean <= seconds, mean


@then("all of these requests get 200")
def step_all_served(context):
    assert {answer[0] for answer, _ in context.answers} == {200}


def read_logs(context):
    """Return the logs of all VMs."""
    return "".join(log.getvalue() for log in context.fleet.logs.values())


@then("the entry VMs have logged the limit")
def step_logged(context):
    assert "instance_limited" in read_logs(context)


@then("the entry VMs have logged and counted unreadable limits")
def step_unreadable_logged(context):
    assert "limit_unreadable" in read_logs(context)
    assert any(
        sum(vm.state.metrics.unreadable_limits.values()) for vm in context.fleet.entries.values()
    )
