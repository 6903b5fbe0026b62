"""Steps for the decisions of the leader and of an entry VM on quotas."""

from datetime import timedelta
from types import SimpleNamespace

import attrs
from behave import given, step, then, when

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.quota_allocator import (
    QuotaAllocator,
    begin_term,
    observe_limits,
    renew_quotas,
)
from camphorspread.process.quota_listener import list_heard
from camphorspread.process.quota_shares import Pressure, QuotaGrant, QuotaNeed, QuotaRequest
from camphorspread.process.steering_control import SteeringControl, mark_dead, record_poll
from camphorspread.process.steering_metrics import SteeringMetrics, format_steering_metrics
from camphorspread.request.quota import (
    Charged,
    QuotaBook,
    apply_grants,
    apply_limits,
    charge_request,
    observe_sends,
    settle_ticket,
)
from camphorspread.request.quota_pacing import find_free_time
from camphorspread.version.organisations import Organisation, OrganisationTable
from camphorspread.version.quota_total import GRANTED_FRACTION, QuotaRules

ACME, OTHER = "acme", "bergen"
START = timedelta(seconds=1000)


def make_table(rate):
    """Return a configuration in which the organisation has a limit."""
    return OrganisationTable((Organisation(ACME, rate=rate),))


def find_rate(usable):
    """Return the rate of a limit without a burst that has this usable total."""
    rules = QuotaRules()
    granted = 1 + rules.overage * GRANTED_FRACTION
    total = usable - rules.tolerance * GRANTED_FRACTION
    return total / rules.window.total_seconds() / granted + 1e-6


@given('a leader with a usable total of {usable:d}, which the VMs "a" and "b" poll')
def step_leader(context, usable):
    context.allocator = QuotaAllocator(QuotaRules())
    observe_limits(context.allocator, make_table(find_rate(usable)), 1)
    context.now = START
    context.numbers, context.incarnations, context.started = {}, {}, {}
    begin_term(context.allocator, 1, {"a": START, "b": START}, START)


@given(
    'a leader with a usable total of {usable:d}, which "b" polls and "a" polled {silence:d} s ago'
)
def step_leader_silent(context, usable, silence):
    step_leader(context, usable)
    heard = {"a": START - timedelta(seconds=silence), "b": START}
    begin_term(context.allocator, 1, heard, START)


def renew(
    context, vm, need, number=None, incarnation=None, age=None, is_returning=False, name=ACME
):
    """Send a renewal and return the granted share, None without one."""
    context.numbers[vm] = context.numbers.get(vm, 0) + 1
    request = QuotaRequest(
        vm,
        incarnation or context.incarnations.get(vm, 1),
        number or context.numbers[vm],
        context.now - context.started.get(vm, timedelta(0)) if age is None else age,
        {name: need},
        is_returning,
    )
    grants = renew_quotas(context.allocator, request, context.now)
    context.share = grants[name].share if grants else None
    return context.share


@step('"{vm}" reports that it holds {held:d}, with a demand of {demand:d}')
def step_report(context, vm, held, demand):
    renew(context, vm, QuotaNeed(demand, demand, held, held))


@step('"{vm}" reports that it holds {held:d}, with no demand')
def step_report_idle(context, vm, held):
    renew(context, vm, QuotaNeed(0, 0, held, held))


@step('"{vm}" has reported that it holds {held:d}')
@step('"a" and "{vm}" have reported that they hold {held:d}')
def step_reported(context, vm, held):
    for name in {vm, "b"} | ({"a"} if "a" not in context.numbers and held == 0 else set()):
        renew(context, name, QuotaNeed(0, 0, held, held))


@when('"{vm}" has a demand of {demand:d}, and the response is lost')
def step_lost(context, vm, demand):
    assert renew(context, vm, QuotaNeed(demand, demand, 0, 0)) > 100


@when('"{vm}" reports that it holds {held:d} and has used {used:d} in the last window')
def step_used(context, vm, held, used):
    renew(context, vm, QuotaNeed(2, 2, used, held))


@when('"{vm}" starts anew')
def step_restart(context, vm):
    context.incarnations[vm] = 2
    context.started[vm] = context.now
    context.numbers[vm] = 0


@when('"{vm}" starts anew and reports nothing')
def step_restart_report(context, vm):
    step_restart(context, vm)
    renew(context, vm, QuotaNeed(0, 0, 0, 0))


@when('"{vm}" stops as planned')
def step_stop(context, vm):
    control = SimpleNamespace(
        clock=SimpleNamespace(monotonic=lambda: context.now),
        log=SimpleNamespace(write=lambda *_, **__: None),
        wake_polls=lambda: None,
    )
    steering = SteeringControl(None, control, None, START, context.allocator, None)
    address = Address("10.0.0.1", 7620)
    record = EntryVm(vm, 1, "sofia-a", "sofia", address, address, is_leaving=True)
    record_poll(steering, record, timedelta(0), 1)
    mark_dead(steering, record)
    assert list_heard(steering) == {}


@when("another organisation gets the same limit")
def step_other_limit(context):
    (acme,) = make_table(find_rate(context.allocator.limits[ACME])).organisations
    table = OrganisationTable((acme, attrs.evolve(acme, name=OTHER)))
    observe_limits(context.allocator, table, 2)


@then('"{vm}" with a demand of {demand:d} for it gets at least {share:d}')
def step_gets_other(context, vm, demand, share):
    granted = renew(context, vm, QuotaNeed(demand, demand, 0, 0), name=OTHER)
    check_share(granted, "least", share)


@step("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += timedelta(seconds=seconds)


@then('"{vm}" with a demand of {demand:d} gets at {bound} {share:d}')
def step_gets(context, vm, demand, bound, share):
    granted = renew(context, vm, QuotaNeed(demand, demand, 0, 0))
    check_share(granted, bound, share)


def check_share(granted, bound, share):
    """Check a granted share against a bound."""
    assert granted <= share if bound == "most" else granted >= share, granted


@then("its share is {share:d}")
def step_gets_exactly(context, share):
    assert context.share == share, context.share


@then("it gets at {bound} {share:d}")
def step_gets_bounded(context, bound, share):
    check_share(context.share, bound, share)


@when('"{vm}" returns its shares')
def step_return(context, vm):
    renew(context, vm, QuotaNeed(0, 0, 0, 0), is_returning=True)


@then('a renewal of "{vm}" with a demand of {demand:d} gets no response')
def step_renewal_ignored(context, vm, demand):
    assert renew(context, vm, QuotaNeed(demand, demand, 0, 50)) is None


@then('an earlier renewal of "{vm}" gets no response')
def step_earlier(context, vm):
    assert renew(context, vm, QuotaNeed(9, 9, 0, 0), number=context.numbers[vm] - 1) is None


@then('a renewal of the former process of "{vm}" gets no response')
def step_former(context, vm):
    step_restart(context, vm)
    context.now += timedelta(seconds=1)
    assert renew(context, vm, QuotaNeed(9, 9, 0, 0)) is not None
    age = context.now - START + timedelta(seconds=9)
    need = QuotaNeed(9, 9, 0, 0)
    assert renew(context, vm, need, number=99, incarnation=1, age=age) is None


@given("an entry VM with a share of {share:d} of a usable total of {usable:d}")
@given("an entry VM with a share of {share:d} of a usable total of {usable:d}, which is {pressure}")
def step_entry_vm(context, share, usable, pressure="low"):
    context.book = QuotaBook(QuotaRules())
    apply_limits(context.book, make_table(find_rate(usable)), 1)
    grant = QuotaGrant(share, usable, Pressure[pressure.upper()])
    need = QuotaNeed(share, share, 0, 0)
    apply_grants(context.book, {ACME: need}, {ACME: grant}, 1, START)


def count_sends(context, now):
    """Return how many requests may be sent at once, with an empty window."""
    count = 0
    tickets = []
    while isinstance(result := charge_request(context.book, ACME, now), Charged):
        tickets.append(result.ticket)
        count += 1
    for ticket in tickets:
        settle_ticket(context.book, ticket, [])
    return count


@then("it may send {count:d} requests in a window after {seconds:d} s")
def step_sends(context, count, seconds):
    assert count_sends(context, START + timedelta(seconds=seconds)) == count


@when("the limit of 20 requests a second becomes {first:d}, {second:d} and {third:d}")
def step_limits(context, first, second, third):
    context.counts = [count_sends(context, START)]
    for revision, rate in enumerate((first, second, third), 2):
        apply_limits(context.book, make_table(rate), revision)
        context.counts.append(count_sends(context, START))


@then("it may send {first:d}, {second:d}, {third:d} and {fourth:d} requests in a window")
def step_counts(context, first, second, third, fourth):
    assert context.counts == [first, second, third, fourth], context.counts


@when("it gets a share of {share:d} of a usable total of {usable:d} under a newer configuration")
def step_newer(context, share, usable):
    need = QuotaNeed(share, share, 0, 40)
    apply_grants(context.book, {ACME: need}, {ACME: QuotaGrant(share, usable)}, 2, START)


@when("{count:d} requests are charged, {sent:d} of which are sent at once")
def step_charged(context, count, sent):
    for number in range(count):
        ticket = charge_request(context.book, ACME, START).ticket
        if number < sent:
            observe_sends(context.book, ticket, [START])


@when("it sends as many requests as it may send together")
def step_send_together(context):
    context.sent = 0
    while isinstance(result := charge_request(context.book, ACME, START), Charged):
        settle_ticket(context.book, result.ticket, [START])
        context.sent += 1


@then("it has sent {count:d}, and the next one may be sent after {seconds:g} s")
def step_next_token(context, count, seconds):
    free_at = find_free_time(context.book.quotas[ACME], START)
    assert context.sent == count, context.sent
    assert abs((free_at - START).total_seconds() - seconds) < 0.001, free_at - START


@then("one request every {period:g} s is admitted for {seconds:d} s")
def step_once(context, period, seconds):
    context.now = START
    # The lease is renewed meanwhile.
    quota = context.book.quotas[ACME]
    quota.lease_end = START + timedelta(hours=1)
    for _ in range(int(seconds / period)):
        result = charge_request(context.book, ACME, context.now)
        assert isinstance(result, Charged), result
        context.now += timedelta(seconds=0.2)
        settle_ticket(context.book, result.ticket, [context.now])
        assert not isinstance(charge_request(context.book, ACME, context.now), Charged)
        context.now += timedelta(seconds=period)


@then("{count:d} requests that were sent twice leave room for {rest:d} more")
def step_twice(context, count, rest):
    for _ in range(count):
        ticket = charge_request(context.book, ACME, START).ticket
        settle_ticket(context.book, ticket, [START, START])
    assert count_sends(context, START) == rest


@then("a request whose predecessor didn't run is admitted at once")
def step_refund(context):
    for _ in range(3):
        result = charge_request(context.book, ACME, context.now)
        assert isinstance(result, Charged), result
        settle_ticket(context.book, result.ticket, [])


@given("{count:d} organisations, each with one request more than the one before")
def step_organisations(context, count):
    context.metrics = SteeringMetrics()
    for number in range(1, count + 1):
        context.metrics.quota_requests[(f"o-{number}", "admitted")] = number


@then("the metrics have labels for the last {count:d} of them, and the sum of the others")
def step_labels(context, count):
    text = format_steering_metrics(context.metrics, {})
    lines = [line for line in text.splitlines() if line.startswith("camphorspread_quota_requests")]
    assert len(lines) == count + 1, len(lines)
    others = sum(range(1, 51))
    labels = 'organisation="(others)",result="admitted"'
    assert f"camphorspread_quota_requests_total{{{labels}}} {others}" in lines, lines[:3]
