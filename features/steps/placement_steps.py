"""Steps for the placement of requests and for queued requests."""

import statistics
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.request.peer_forward_codec import ForwardMetadata, decode_forward, encode_forward
from camphorspread.request.placement import choose_placement
from camphorspread.request.placement_board import (
    LocalPlacement,
    NoPlacement,
    PlacementRequest,
    find_run_times,
)
from camphorspread.request.placement_queue import (
    Granted,
    PlacementQueue,
    Refused,
    Waiter,
    grant_slot,
    request_placement,
)
from camphorspread.request.run_statistics import record_run_end, record_run_start
from features.fixtures.placement_simulation import (
    PROMISED_S,
    PlacementSimulation,
    make_board,
    make_request,
)

MEASURED_RUNS = 10


@given(
    "a simulated VM with {servers:d} servers of {slots:d} slots, {objects:d} objects,"
    " {cold:g} s cold and {warm:g} s warm runs"
)
def step_simulation(context, servers, slots, objects, cold, warm):
    context.simulation = PlacementSimulation(servers, slots, objects, cold, warm)


@given("one server takes {factor:g} times as long from second {start:g} on")
def step_slow(context, factor, start):
    context.simulation.slow_factor, context.simulation.slow_from = factor, start


@when("{rate:g} requests per second arrive for {seconds:g} s")
def step_run(context, rate, seconds):
    context.rate, context.seconds = rate, seconds
    context.simulation.run((rate, seconds))


@then("at least {percent:g} percent are on time with placement by expected time")
def step_on_time(context, percent):
    simulation = context.simulation
    share = 100 * simulation.on_time / simulation.arrivals
    assert share >= percent, f"{share:.1f} percent"


@then("placement by least load has fewer on time")
def step_baseline(context):
    chosen = context.simulation
    other = PlacementSimulation(
        chosen.servers, chosen.slots, chosen.objects, chosen.cold_s, chosen.warm_s
    )
    other.is_least_load = True
    other.run((context.rate, context.seconds))
    assert other.on_time < chosen.on_time, (other.on_time, chosen.on_time)


@then("the median refusal comes at most {limit:g} s after arrival")
def step_refusals(context, limit):
    times = context.simulation.refused_after
    assert times and statistics.median(times) <= limit, statistics.median(times)


@then("no server has more requests in flight than slots")
def step_slots(context):
    assert context.simulation.most <= context.simulation.slots, context.simulation.most


@then("the slow server gets less than {percent:g} percent of the requests after second {start:g}")
def step_probes(context, percent, start):
    starts = [name for time, name in context.simulation.starts if time >= start]
    share = 100 * starts.count("i-0") / len(starts)
    assert share < percent, f"{share:.1f} percent"


@given("{count:d} servers that all have the failure rate {rate:g}")
def step_failing(context, count, rate):
    context.board = make_board(count)
    for instance in context.board.registry.instances.values():
        instance.failure_rate = rate
        record_run_start(instance, timedelta(0))


@then("a request starts at one of them")
def step_starts(context):
    place = choose_placement(context.board, make_request(0.01, "o"), PROMISED_S, timedelta(0))
    assert isinstance(place, LocalPlacement), place


@given("1 cold server with a rate limit of {limit:g} requests per second")
def step_cold(context, limit):
    context.board = make_board(1, slots=1000)
    context.board.cold_rate_limits["status"] = limit
    context.board.registry.instances["i-0"].cold_until = timedelta(seconds=60)


@when("{count:d} requests are to be placed within a second")
def step_place_requests(context, count):
    context.started = 0
    for number in range(count):
        now = timedelta(seconds=number / count)
        place = choose_placement(context.board, make_request(0.0), PROMISED_S, now)
        if isinstance(place, LocalPlacement):
            record_run_start(place.instance, now)
            context.started += 1


@then("at most {count:d} of them start")
def step_started_at_most(context, count):
    assert 0 < context.started <= count, context.started


@given("a server that is warm for the object and a server without any request so far")
def step_untried(context):
    context.board = make_board(2)
    instance = context.board.registry.instances["i-0"]
    req = make_request(0.0, "o")
    find_run_times(context.board, "status", "read", PROMISED_S)
    record_run_start(instance, timedelta(0))
    record_run_end(context.board, instance, req, True, 0.1, timedelta(0))


@then("a request starts at the server without any request")
def step_first(context):
    place = choose_placement(context.board, make_request(0.0, "o"), PROMISED_S, timedelta(0))
    assert isinstance(place, LocalPlacement) and place.instance.name == "i-1", place


def make_full_board(context, slots=1):
    """Set up a board whose only server is full, with measured run times."""
    context.board = make_board(1, slots)
    context.waiting = PlacementQueue()
    times = find_run_times(context.board, "status", "read", PROMISED_S)
    times.runs, times.warm_s, times.cold_s = MEASURED_RUNS, 0.1, 0.12
    context.instance = context.board.registry.instances["i-0"]
    for _ in range(slots):
        record_run_start(context.instance, timedelta(0))


def add_waiter(context, ticket, req: PlacementRequest):
    """Ask for the placement of a request and return the decision."""
    waiter = Waiter(ticket, req, PROMISED_S)
    return request_placement(context.board, context.waiting, waiter, timedelta(0))


@given("a full server and waiting requests of rank 2, 0 and 1, and one that is already late")
def step_ranks(context):
    make_full_board(context)
    late = attrs.evolve(make_request(0.0, rank=0), promised_at=timedelta(milliseconds=50))
    context.labels = {1: "late", 2: "2", 3: "0", 4: "1"}
    reqs = [late, *(make_request(0.0, rank=rank, promised_at=timedelta(9)) for rank in (2, 0, 1))]
    for ticket, req in enumerate(reqs, start=1):
        assert add_waiter(context, ticket, req) is None, context.labels[ticket]


@when("a slot is free four times")
def step_freed_slots(context):
    context.order = []
    for _ in range(4):
        context.instance.in_flight = 0
        decision = grant_slot(context.board, context.waiting, context.instance, timedelta(0))
        assert isinstance(decision, Granted), decision
        record_run_start(context.instance, timedelta(0))
        context.order.append(context.labels[decision.ticket])


@then("they start in the order {text}")
def step_order(context, text):
    assert context.order == text.split(", "), context.order


@given("a full server and {count:d} waiting requests")
def step_queued_requests(context, count):
    make_full_board(context)
    for ticket in range(count):
        far = timedelta(seconds=1000)
        add_waiter(context, ticket, make_request(0.0, promised_at=far, deadline=far))


@when("a request arrives whose deadline is {seconds:g} s away")
def step_short_deadline(context, seconds):
    req = make_request(0.0, deadline=timedelta(seconds=seconds))
    context.decision = add_waiter(context, 10_000, req)


@then("it is refused with a delay after which to retry")
def step_refused(context):
    assert isinstance(context.decision, Refused), context.decision
    assert context.decision.retry_after > timedelta(0)


@given('a VM of "{region}" that owns a server of "{other}" only')
def step_server_of_other_region(context, region, other):
    context.board = make_board(1)
    context.board.regions = {"sofia-a": other}


@when('a request that may run only in "{region}" is forwarded to it')
def step_forwarded(context, region):
    second = timedelta(seconds=1)
    metadata = ForwardMetadata(
        "status", "read", "o", 1, second, second, second, home_regions=(region,)
    )
    head = encode_forward(RequestHead(b"GET", b"/read/x"), metadata)
    homes = decode_forward(head).home_regions
    req = make_request(0.0, "o", home_regions=homes, may_forward=False)
    context.place = choose_placement(context.board, req, PROMISED_S, timedelta(0))


@then("it gets no placement")
def step_nowhere(context):
    assert isinstance(context.place, NoPlacement), context.place
