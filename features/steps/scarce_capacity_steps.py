"""Steps for admission under scarce capacity."""

import random
from datetime import timedelta
from unittest import mock

from behave import given, then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm
from camphorspread.request import placement_board, retry_time
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.displacement import refuse_displaced
from camphorspread.request.peer_forward_codec import decode_forward
from camphorspread.request.placement_board import find_run_times
from camphorspread.request.placement_queue import (
    Granted,
    PlacementQueue,
    Refused,
    Waiter,
    grant_slot,
    request_placement,
)
from camphorspread.request.route_attempt import make_forward_head
from camphorspread.request.routed_request import RoutedRequest
from camphorspread.request.run_statistics import record_run_start
from camphorspread.request.send import RequestBody
from camphorspread.request.service_fairness import (
    ServiceFairness,
    is_underserved,
    record_decision,
    record_failure,
)
from camphorspread.version.routing import Route
from features.fixtures.golden import compare_with_golden
from features.fixtures.organisations_simulation import (
    OrganisationsSimulation,
    SimulatedOrganisation,
)
from features.fixtures.placement_simulation import DEADLINE_S, PROMISED_S, make_board, make_request
from features.fixtures.recorded_decisions import digest_region, digest_vm

SEEDS = (11, 12)
# A region whose servers run 22.5 requests a second each.
SERVER_RATE = 22.5
OVERLOADED = {
    "objects": 0,
    "cached_objects": 1,
    "cold_s": 0.4,
    "warm_s": 0.4,
    "promised_s": 1.2,
    "limit_s": 3.0,
    "slots": 9,
    "server_queue": 27,
    "has_far_region": False,
    "has_organisations": True,
}


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


def arrive(
    context,
    organisation_rank: int,
    rank: int = 0,
    promised_s: float = PROMISED_S,
    left_s: float = DEADLINE_S,
):
    """Ask for the placement of a request and return the decision."""
    req = make_request(
        0.0,
        "",
        rank,
        organisation_rank=organisation_rank,
        promised_at=timedelta(seconds=promised_s),
        deadline=timedelta(seconds=left_s),
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


@when("seeded runs of one priority are made with usual and with scarce capacity")
def step_both_capacities(context):
    context.usual, context.scarce = (
        [
            *(digest_vm((1,), seed, False, services) for seed in SEEDS),
            *(digest_region(seed, False, services) for seed in SEEDS),
        ]
        for services in ((), ("status",))
    )


@then("both make the same decisions")
def step_same_decisions(context):
    assert context.usual == context.scarce, (context.usual, context.scarce)


@given("77 organisations of very different size with priorities 0 to 3, seed {seed:d}")
def step_organisations(context, seed):
    rng = random.Random(seed)
    context.organisations = tuple(
        SimulatedOrganisation(f"org-{number}", rng.randrange(4), 1 / (number + 2))
        for number in range(77)
    )
    context.seed = seed


@when("their callers ask 26 VMs for twice the capacity")
def step_twice_the_capacity(context):
    context.simulation = OrganisationsSimulation(
        26, 16, **OVERLOADED, seed=context.seed, organisations=context.organisations
    )
    context.simulation.run((720, 20))


@when("their callers ask 26 VMs for twice the capacity, without regard to fairness")
def step_without_fairness(context):
    with mock.patch.object(placement_board, "is_underserved", return_value=False):
        step_twice_the_capacity(context)


@then("each organisation is served at least a quarter as often as all together")
def step_none_starves(context):
    proportions = context.simulation.find_proportions()
    assert min(proportions.values()) >= 0.25, sorted(proportions.values())[:5]


@then("some organisation is served less than a quarter as often as all together")
def step_some_starve(context):
    assert min(context.simulation.find_proportions().values()) < 0.25


@then("at least {percent:d} percent of the callers of priority 0 are served")
def step_urgent_served(context, percent):
    served = context.simulation.find_served_by_rank()
    assert served[0] >= percent / 100, served


@then("no priority is served more often than a higher one, by 5 in 100")
def step_priorities_in_order(context):
    served = context.simulation.find_served_by_rank()
    assert all(served[rank + 1] <= served[rank] + 0.05 for rank in range(3)), served


@given("{count:d} organisations with one served and one refused request each")
def step_decisions(context, count):
    context.fairness = ServiceFairness()
    for number in range(count):
        for is_served in (True, False):
            record_decision(context.fairness, f"org-{number}", 1, is_served, timedelta(0))


@then("at most {count:d} of them are counted")
def step_bounded(context, count):
    assert len(context.fairness.recent.requests) <= count, len(context.fairness.recent.requests)


@then("an organisation with {count:d} refused requests is underserved")
def step_refused_organisation(context, count):
    for _ in range(count):
        record_decision(context.fairness, "org-1", 1, False, timedelta(0))
    assert is_underserved(context.fairness, "org-1", 1)
    assert not is_underserved(context.fairness, "org-2", 1)


@then("another one with {count:d} requests whose attempts failed is underserved")
def step_failed_organisation(context, count):
    for _ in range(count):
        record_decision(context.fairness, "org-3", 1, True, timedelta(0))
    assert not is_underserved(context.fairness, "org-3", 1)
    for _ in range(count):
        record_failure(context.fairness, "org-3", 1, True, timedelta(0))
    assert is_underserved(context.fairness, "org-3", 1)


@then("{seconds:d} s later no organisation is")
def step_forgotten(context, seconds):
    record_decision(context.fairness, "org-2", 1, True, timedelta(seconds=seconds))
    assert not is_underserved(context.fairness, "org-1", 1)
    assert list(context.fairness.recent.requests) == [("org-2", 1)]


@given("a region of {vms:d} VMs and {servers:d} servers whose callers return once, seed {seed:d}")
def step_returning_callers(context, vms, servers, seed):
    context.region = {"vms": vms, "servers": servers, "seed": seed, **OVERLOADED}


def run_burst(context, factor: float, seconds: float) -> OrganisationsSimulation:
    """Return a simulation of a burst between phases of usual load."""
    capacity = SERVER_RATE * context.region["servers"]
    simulation = OrganisationsSimulation(**context.region)
    simulation.run((0.6 * capacity, 2), (factor * capacity, seconds), (0.6 * capacity, 4))
    return simulation


@when("callers ask for {factor:g} times the capacity for {seconds:g} s")
def step_burst(context, factor, seconds):
    context.spread = run_burst(context, factor, seconds)

    def book_none(_booking, earliest, *_args):
        return earliest

    with mock.patch.object(retry_time, "book_return", book_none):
        context.together = run_burst(context, factor, seconds)


@then("fewer callers are refused twice than with the time after which the backlog has cleared")
def step_fewer_refused_twice(context):
    counts = context.spread.refused_twice, context.together.refused_twice
    assert counts[0] < counts[1], counts


@then("at least as many are served")
def step_as_many_served(context):
    counts = context.spread.served.total(), context.together.served.total()
    assert counts[0] >= counts[1], counts


@when("{count:d} more requests of organisation rank {rank:d} are refused")
def step_more_refused(context, count, rank):
    context.refused = [arrive(context, rank) for _ in range(count)]


@then("their retry times are all different and at most a third of the time left")
def step_spread_times(context):
    delays = {item.retry_after for item in context.refused}
    assert len(delays) == len(context.refused), sorted(delays)
    assert max(delays) <= timedelta(seconds=DEADLINE_S) / 3, max(delays)


@given("a full server that takes {factor:g} times as long as usual")
def step_slow_server(context, factor):
    step_full_server(context)
    context.instance.slowdown = factor


@given("a late queued request of organisation rank {rank:d} with {left:g} s left")
def step_late_with_time_left(context, rank, left):
    assert arrive(context, rank, promised_s=0.05, left_s=left) is None


@given("a queued request of organisation rank {rank:d} with {left:g} s left")
def step_queued_with_time_left(context, rank, left):
    assert arrive(context, rank, promised_s=left, left_s=left) is None


def set_run_times(context, run_s: float) -> None:
    """Set the measured run times."""
    times = find_run_times(context.board, "status", "read", PROMISED_S)
    times.runs, times.warm_s, times.cold_s, times.mean_s = 10, run_s, run_s, run_s


@when("runs take {run:g} s and a slot is freed {count:d} times")
def step_freed(context, run, count):
    set_run_times(context, run)
    context.order = []
    for _ in range(count):
        context.instance.in_flight = context.instance.report.slots - 1
        decision = grant_slot(context.board, context.waiting, context.instance, timedelta(0))
        if decision is not None:
            context.order.append(context.waiters[decision.ticket].req.organisation_rank)


@then('the slots go to the organisation ranks "{order}"')
def step_ranks_of_slots(context, order):
    assert " ".join(map(str, context.order)) == order, context.order


@given("an untried server")
def step_untried(context):
    step_full_server(context)
    context.instance.in_flight = context.instance.sends = 0


@when("a request with {left:g} s left arrives, and runs take {run:g} s")
def step_arrives_with_time_left(context, left, run):
    set_run_times(context, run)
    context.decision = arrive(context, 0, left_s=left)


@then("the late arrival {result}")
def step_late_arrival(context, result):
    expected = {"starts": Granted, "is refused": Refused}[result]
    assert isinstance(context.decision, expected), context.decision


@given("{kind} capacity, and another VM at a round trip of {round_trip:g} s")
def step_other_vm(context, kind, round_trip):
    context.board = make_board(1)
    context.board.has_organisations = kind == "scarce"
    far = Address("10.2.0.1", 1)
    context.peer = EntryVm("far", 1, "varna-a", "varna", far, far)
    context.peer.round_trip_s = round_trip


@when("a request with {left:g} s left is forwarded")
def step_forward(context, left):
    req = make_request(0.0, "", deadline=timedelta(seconds=left))
    route = Route("read", "", "/", False, timedelta(2), timedelta(1), 0, ())
    call = SteeredCall(RequestHead(b"GET", b"/read/x"), "", "/read/x", "r1", "", None)
    job = RoutedRequest(call, route, req, RequestBody(()), timedelta(0), req.deadline)
    state = mock.Mock(board=context.board, table=None)
    head = make_forward_head(state, job, context.peer, timedelta(0))
    context.forward = decode_forward(head)


@then("the other VM is told that {left:g} s are left")
def step_told_time_left(context, left):
    assert context.forward.time_left == timedelta(seconds=left), context.forward.time_left


@given("{vms:d} VMs and {servers:d} servers of {slots:d} slots with runs of {run:g} s")
def step_few_servers(context, vms, servers, slots, run):
    times = {"cold_s": run, "warm_s": run, "limit_s": 2.0}
    sizes = {"vms": vms, "servers": servers, "slots": slots, "server_queue": 3 * slots}
    context.region = {**OVERLOADED, **times, **sizes, "seed": 1}


@when("callers of {count:d} organisations ask for {factor:g} times the capacity for {seconds:g} s")
def step_few_organisations(context, count, factor, seconds):
    region = context.region
    organisations = tuple(
        SimulatedOrganisation(f"org-{number}", number % 4, 1.0) for number in range(count)
    )
    context.simulation = OrganisationsSimulation(**region, organisations=organisations)
    capacity = region["servers"] * region["slots"] / region["warm_s"]
    context.simulation.run((factor * capacity, seconds))


@then("at least {percent:d} percent of them are served")
def step_served_share(context, percent):
    served, asked = context.simulation.served.total(), context.simulation.asked.total()
    assert served >= asked * percent / 100, (served, asked)


@then("at most {percent:d} percent are cut")
def step_cut_share(context, percent):
    cut, asked = context.simulation.cut, context.simulation.asked.total()
    assert cut <= asked * percent / 100, (cut, asked)
