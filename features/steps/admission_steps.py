"""Steps for admission decisions, without connections."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.endpoint_health import EndpointHealthTable, record_result
from camphorspread.process.endpoints import (
    Announcement,
    EndpointRegistry,
    LoadReport,
    record_announcement,
)
from camphorspread.process.region_share import has_lapsed
from camphorspread.process.share_demand import ShareDemand
from camphorspread.request.admission import (
    AdmissionLimits,
    AdmissionQueue,
    AdmissionRequest,
    Granted,
    admit,
    grant_waiting,
    release,
    remove_queued,
)
from camphorspread.request.candidates import choose_endpoint
from camphorspread.request.window import SlidingWindow, try_acquire
from camphorspread.version.catalogue import ServiceClass
from camphorspread.version.shares import Grant, HeldShares, ShareKey, ShareKind

NOW = timedelta(seconds=10)
SECOND = timedelta(seconds=1)
SERVICE_CLASSES = {"high": ServiceClass.CRITICAL, "low": ServiceClass.DEFERRABLE}


def announce(registry, service, name, slots, sequence=1, busy=0):
    report = LoadReport(sequence, busy)
    announcement = Announcement(
        service, name, "sofia-a", Address("127.0.0.2", 7460), slots, report=report
    )
    endpoint = record_announcement(registry, announcement, NOW)
    # The ramp-up is tested in other scenarios.
    endpoint.ramp_slots = slots
    return endpoint


def make_owner(context, services, slots, **limits):
    registry = EndpointRegistry()
    context.endpoints = [announce(registry, service, service, slots) for service in services]
    # Long leases, because these scenarios advance the time without renewals.
    for endpoint in context.endpoints:
        endpoint.lease_end = timedelta(days=1)
    context.queue = AdmissionQueue(registry, EndpointHealthTable(), ShareDemand())
    context.limits = AdmissionLimits(**limits)
    context.effects = []
    context.tickets = 0


def arrive(context, service, service_class, deadline=NOW + 10 * SECOND, is_shifted=False, now=NOW):
    context.tickets += 1
    req = AdmissionRequest(context.tickets, service, service_class, deadline, is_shifted)
    effects = admit(context.queue, context.limits, req, now)
    context.effects += effects
    return effects


@given("an owner with {slots:d} slot and a queue of {length:d}")
def step_owner(context, slots, length):
    make_owner(context, ["plans"], slots, queue_lengths={"plans": length})


@given("an owner with {slots:d} slots for each of two services and a region share of {share:d}")
def step_owner_of_two(context, slots, share):
    lengths = {"high": 8, "low": 8}
    make_owner(context, ["high", "low"], slots, region_share=share, queue_lengths=lengths)


@given(
    "an owner with {slots:d} slots of which {admitted:d} are admitted, and a queue of {length:d}"
)
def step_ramping_owner(context, slots, admitted, length):
    make_owner(context, ["plans"], slots, queue_lengths={"plans": length})
    context.endpoints[0].ramp_slots = admitted
    context.endpoints[0].ramp_start = NOW


@given("{running:d} requests run and {waiting:d} wait")
def step_full_owner(context, running, waiting):
    for _ in range(running + waiting):
        arrive(context, "plans", ServiceClass.UPLOAD, NOW + 60 * SECOND)
    assert len(context.queue.waiting) == waiting, context.effects


@when("a request with a deadline of {seconds:d} s asks for a slot")
def step_ask_with_deadline(context, seconds):
    context.effects = []
    arrive(context, "plans", ServiceClass.UPLOAD, NOW + seconds * SECOND)


@then("admission decides that it is {decision}")
def step_check_queued(context, decision):
    shown = [describe(effect).partition(" ")[2] for effect in context.effects]
    assert shown == {"queued": [], "refused for its deadline": ["deadline"]}[decision], shown


@given(
    "an owner with {slots:d} slots for each of two services and a region share of {share:d}"
    " that has lapsed"
)
def step_lapsed_region_share(context, slots, share):
    lengths = {"high": 8, "low": 8}
    limits = {"region_share": share, "region_queue_length": 8, "queue_lengths": lengths}
    make_owner(context, ["high", "low"], slots, **limits)


@given("an owner with {slots:d} slots for each of two services and a shift share that has lapsed")
def step_lapsed_shift_share(context, slots):
    lengths = {"high": 8, "low": 8}
    awaited = frozenset({"low"})
    make_owner(context, ["high", "low"], slots, queue_lengths=lengths, awaited_shift_shares=awaited)


@when("{shifted:d} shifted requests and then one of this region ask for a slot")
def step_ask_shifted(context, shifted):
    for is_shifted in (*[True] * shifted, False):
        arrive(context, "low", ServiceClass.DEFERRABLE, is_shifted=is_shifted)


@when("a shift share of {share:d} returns")
def step_shift_share_returns(context, share):
    context.limits = attrs.evolve(
        context.limits, shift_shares={"low": share}, awaited_shift_shares=frozenset()
    )
    context.effects += grant_waiting(context.queue, context.limits, NOW)


@then("a share is awaited in these cases")
def step_check_awaited(context):
    key = ShareKey(ShareKind.SHIFT_CAP, service="plans")
    lease_ends = {
        "its lease lasts": NOW + SECOND,
        "its lease ended 1 s ago": NOW - SECOND,
        "its lease ended 5 s ago": NOW - 5 * SECOND,
    }
    for row in context.table:
        end = lease_ends.get(row["case"])
        held = HeldShares({key: Grant(3, end)} if end is not None else {})
        assert has_lapsed(held, key, NOW) == (row["awaited"] == "yes"), row["case"]


@given("the measured service time is {milliseconds:d} ms")
def step_service_time(context, milliseconds):
    elapsed = timedelta(milliseconds=milliseconds)
    record_result(context.queue.table, context.endpoints[0], elapsed, False, NOW)


@when('requests of the classes "{classes}" ask for a slot')
def step_ask_by_class(context, classes):
    for name in classes.split():
        arrive(context, "plans", ServiceClass(name))


@when('requests of the services "{services}" ask for a slot')
def step_ask_by_service(context, services):
    for name in services.split():
        arrive(context, name, SERVICE_CLASSES[name])


@when('requests with the deadlines "{deadlines}" ms ask for a slot')
def step_ask_by_deadline(context, deadlines):
    for text in deadlines.split():
        arrive(context, "plans", ServiceClass.UPLOAD, NOW + timedelta(milliseconds=int(text)))


def describe(effect):
    if isinstance(effect, Granted):
        return f"{effect.ticket} granted"
    reason = effect.refusal.reason.value
    shown = "queue_full" if reason == "region_share_used" else reason
    return f"{effect.ticket} {shown}"


@then('the decisions are "{expected}" in this order')
def step_check_effects(context, expected):
    assert "; ".join(describe(effect) for effect in context.effects) == expected, context.effects


@then('released slots are granted to requests "{expected}"')
def step_release(context, expected):
    endpoints = [item.endpoint for item in context.effects if isinstance(item, Granted)]
    order = []
    for _ in expected.split():
        granted = release(context.queue, context.limits, endpoints.pop(0), NOW)
        order += [str(item.ticket) for item in granted]
        endpoints += [item.endpoint for item in granted]
    assert " ".join(order) == expected, order


@then("{steps:d} random steps keep the limits of the owner for each of {seeds:d} seeds")
def step_random(context, steps, seeds):
    for seed in range(seeds):
        check_random_steps(context, random.Random(seed), steps, seed)


def check_random_steps(context, rng, steps, seed):
    """Check that slots and shares hold, and that each ticket ends exactly once."""
    lengths = {"high": 3, "low": 3}
    limits = {"service_shares": {"low": 3}, "shift_shares": {"high": 4, "low": 4}}
    make_owner(context, ["high", "low"], 4, region_share=6, queue_lengths=lengths, **limits)
    running, ended, now = {}, set(), NOW
    for _ in range(steps):
        now += timedelta(milliseconds=rng.randrange(30))
        choice = rng.random()
        if choice < 0.5:
            service = rng.choice(("high", "low"))
            deadline = now + 10 * SECOND
            is_shifted = rng.random() < 0.4
            effects = arrive(context, service, SERVICE_CLASSES[service], deadline, is_shifted, now)
        elif choice < 0.9 and running:
            endpoint = running.pop(rng.choice(sorted(running)))
            effects = release(context.queue, context.limits, endpoint, now)
        else:
            effects = []
            if context.queue.waiting:
                ticket = rng.choice(context.queue.waiting).ticket
                assert remove_queued(context.queue, ticket)
                ended.add(ticket)
        for effect in effects:
            assert effect.ticket not in ended, (seed, effect)
            ended.add(effect.ticket)
            if isinstance(effect, Granted):
                running[effect.ticket] = effect.endpoint
        in_flight = context.queue.in_flight
        assert all(item.in_use <= 4 for item in context.endpoints), seed
        assert sum(item.in_use for item in context.endpoints) == in_flight.total() <= 6, seed
        assert in_flight["low"] <= 3, seed
        assert len(context.queue.waiting) <= 6, seed
    waiting = {item.ticket for item in context.queue.waiting}
    assert ended | waiting == set(range(1, context.tickets + 1)) and not ended & waiting, seed


@then(
    "random arrivals over {seconds:d} seconds never exceed a share of {share:d} in any second"
    " for {seeds:d} seeds"
)
def step_window(context, seconds, share, seeds):
    for seed in range(seeds):
        rng, window, now, admitted = random.Random(seed), SlidingWindow(), NOW, []
        while now < NOW + seconds * SECOND:
            now += timedelta(microseconds=rng.randrange(1, rng.choice((3000, 90_000, 400_000))))
            if try_acquire(window, now, share):
                admitted.append(now)
        busiest = max(
            sum(1 for other in admitted[index:] if other - start < SECOND)
            for index, start in enumerate(admitted)
        )
        # The count of the current bucket costs a part of the share; a third must still be admitted.
        assert busiest <= share, (seed, busiest)
        assert len(admitted) > share * seconds // 3, (seed, len(admitted))


@given('two idle endpoints of which "a" reports {busy:d} of {slots:d} slots busy')
def step_reports(context, busy, slots):
    context.registry, context.measurements = EndpointRegistry(), EndpointHealthTable()
    context.reported = (slots, busy)
    context.first = announce(context.registry, "plans", "a", slots, 1, busy)
    announce(context.registry, "plans", "b", slots).in_use = 1


@when('"a" has sent the same report {count:d} more times')
def step_same_report(context, count):
    slots, busy = context.reported
    for sequence in range(2, count + 2):
        announce(context.registry, "plans", "a", slots, sequence, busy)


@when('an older report of "a" with {busy:d} busy slots arrives late')
def step_late_report(context, busy):
    announce(context.registry, "plans", "a", context.reported[0], 0, busy)


@when('"a" has just failed')
def step_failed(context):
    record_result(context.measurements, context.first, SECOND, True, NOW)


@then('the endpoint "{name}" is chosen')
def step_chosen(context, name):
    live = context.registry.list_live("plans", NOW)
    chosen = choose_endpoint(context.measurements, live, NOW)
    assert chosen.announcement.endpoint == name, chosen
