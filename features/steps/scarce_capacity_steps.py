"""Steps for admission under scarce capacity."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.request.displacement import refuse_displaced
from camphorspread.request.placement_board import find_run_times
from camphorspread.request.placement_queue import (
    Granted,
    PlacementQueue,
    Refused,
    Waiter,
    grant_slot,
    request_placement,
)
from camphorspread.request.run_statistics import record_run_start
from features.fixtures.golden import compare_with_golden
from features.fixtures.placement_simulation import PROMISED_S, make_board, make_request
from features.fixtures.recorded_decisions import digest_region, digest_vm

SEEDS = (11, 12)


@when("seeded runs of one VM and of a region get more requests than they have capacity for")
def step_seeded_runs(context):
    context.digests = [
        *(f"vm, one priority, seed {seed}: {digest_vm((1,), seed)}" for seed in SEEDS),
        *(f"vm, three priorities, seed {seed}: {digest_vm((1, 0, 2), seed)}" for seed in SEEDS),
        *(f"region, one priority, seed {seed}: {digest_region(seed)}" for seed in SEEDS),
    ]


@then("their decisions are the recorded ones")
def step_recorded(context):
    compare_with_golden("placement_decisions.txt", "\n".join(context.digests) + "\n")


@given("a full server")
def step_full_server(context):
    context.board = make_board(1)
    context.waiting = PlacementQueue()
    context.waiters = {}
    times = find_run_times(context.board, "status", "read", PROMISED_S)
    times.runs, times.warm_s, times.cold_s, times.mean_s = 10, 0.1, 0.12, 0.1
    context.instance = context.board.registry.instances["i-0"]
    for _ in range(context.instance.report.slots):
        record_run_start(context.instance, timedelta(0))


@given("{kind} capacity")
def step_scarce(context, kind):
    context.board.has_organisations = kind == "scarce"


def arrive(context, organisation_rank: int, rank: int = 0, promised_s: float = PROMISED_S):
    """Ask for the placement of a request and return the decision."""
    req = make_request(
        0.0,
        "",
        rank,
        organisation_rank=organisation_rank,
        promised_at=timedelta(seconds=promised_s),
    )
    waiter = Waiter(len(context.waiters) + 1, req, PROMISED_S)
    context.waiters[waiter.ticket] = waiter
    return request_placement(context.board, context.waiting, waiter, timedelta(0))


@given("a queued request of organisation rank {organisation_rank:d} and route rank {rank:d}")
def step_queued(context, organisation_rank, rank):
    assert arrive(context, organisation_rank, rank) is None


@given("a late queued request of organisation rank {organisation_rank:d} and route rank {rank:d}")
def step_queued_late(context, organisation_rank, rank):
    assert arrive(context, organisation_rank, rank, promised_s=0.05) is None


@when("a slot is freed {count:d} times")
def step_slots_freed(context, count):
    context.order = []
    for _ in range(count):
        context.instance.in_flight = context.instance.report.slots - 1
        decision = grant_slot(context.board, context.waiting, context.instance, timedelta(0))
        assert isinstance(decision, Granted), decision
        req = context.waiters[decision.ticket].req
        context.order.append(f"{req.organisation_rank}.{req.rank}")


@then('the order of organisation and route ranks is "{order}"')
def step_ranks_in_order(context, order):
    assert " ".join(context.order) == order, context.order


@given("as many queued requests of organisation rank {rank:d} as are admitted")
def step_queue_filled(context, rank):
    while (decision := arrive(context, rank)) is None:
        pass
    assert isinstance(decision, Refused), decision


@when("a request of organisation rank {rank:d} arrives")
def step_one_arrives(context, rank):
    context.decision = arrive(context, rank)


@then("the arriving request is {result}")
def step_is_result(context, result):
    actual = "refused" if isinstance(context.decision, Refused) else "queued"
    assert actual == result, context.decision


@when("{count:d} requests of organisation rank {rank:d} arrive")
def step_many_arrive(context, count, rank):
    context.refused = []
    for _ in range(count):
        decision = arrive(context, rank)
        if decision is not None:
            context.refused.append(decision)
            continue
        waiter = context.waiters[len(context.waiters)]
        context.refused += refuse_displaced(context.board, context.waiting, waiter, timedelta(0))


def count_refused(context, rank: int) -> int:
    """Return the number of refused requests of an organisation's rank."""
    ranks = [context.waiters[item.ticket].req.organisation_rank for item in context.refused]
    return ranks.count(rank)


@then(
    "{least:d} to {most:d} of organisation rank {rank:d} are refused with a time after which to "
    "retry"
)
def step_some_refused(context, least, most, rank):
    assert least <= count_refused(context, rank) <= most, context.refused
    assert all(item.retry_after > timedelta(0) for item in context.refused)


@then("none of organisation rank {rank:d} is refused")
def step_none_refused(context, rank):
    assert count_refused(context, rank) == 0
