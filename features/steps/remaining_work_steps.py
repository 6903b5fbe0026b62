"""Steps for the speeds that servers report and for the remaining work at them."""

import math
from datetime import timedelta

from behave import given, then, when

from camphorspread.request.placement import choose_placement
from camphorspread.request.placement_board import (
    MIN_MEASURED_RUNS,
    QueuedPlacement,
    RunTimes,
    ServiceWork,
)
from camphorspread.request.remaining_work import MAX_KINDS, learn_run
from camphorspread.request.run_distribution import (
    RunDistribution,
    expect_remaining_s,
    record_run,
)
from camphorspread.request.run_statistics import record_run_end, record_run_start
from camphorspread.request.server_speed import find_slow_factor, record_speed
from features.fixtures.golden import compare_with_golden
from features.fixtures.placement_record import record_placements
from features.fixtures.placement_simulation import PROMISED_S, make_board, make_request
from features.fixtures.uneven_region_simulation import UnevenRegionSimulation

NOW = timedelta(seconds=5)
REGION = {
    "objects": 2000,
    "cached_objects": 40,
    "cold_s": 0.33,
    "warm_s": 0.1,
    "promised_s": 0.6,
    "limit_s": 3.0,
    "slots": 4,
    "server_queue": 12,
    "has_far_region": False,
}
REPORTS = {
    "none": {"reports": "none"},
    "true": {"reports": "true"},
    "1 s old": {"reports": "true", "report_age_s": 1.0},
    "opposite": {"reports": "false"},
    "random": {"reports": "random"},
    "always slow": {"reports": "slow"},
    "usual": {"reports": "normal"},
}
# Differences between seeds that aren't caused by the reports.
ON_TIME_TOLERANCE = 0.004
TIME_TOLERANCE = 1.03


@when("the placements of some seeded simulations are recorded")
def step_record(context):
    context.record = record_placements()


@then("they are those of the golden file, with the same costs to the last digit")
def step_golden(context):
    compare_with_golden("placement_costs.txt", context.record)


@given("{count:d} reports of the speed {speed:g} by other servers")
def step_usual_speed(context, count, speed):
    context.board = make_board(2)
    other = context.board.registry.instances["i-1"]
    for _ in range(count):
        record_speed(context.board, other, speed, NOW)


@given("a server that reported the speed {speed:g} {age:g} s ago")
def step_reported(context, speed, age):
    context.server = context.board.registry.instances["i-0"]
    record_speed(context.board, context.server, speed, NOW - timedelta(seconds=age))


@then("its runs are expected to take {factor:g} times as long")
def step_factor(context, factor):
    actual = find_slow_factor(context.server.stated, NOW)
    assert abs(actual - factor) < 0.05, actual


@given(
    "{vms:d} VMs that share {servers:d} uneven servers, each 2.5 times slower for 15 percent of "
    "the time"
)
def step_uneven(context, vms, servers):
    context.region = {**REGION, "vms": vms, "servers": servers, "slow_fraction": 0.15}


@given("{vms:d} VMs that share {servers:d} uneven servers of {slots:d} slots, of unequal speed")
def step_unequal(context, vms, servers, slots):
    usual = (1.0, 0.7, 1.4)
    context.region = {
        **REGION,
        "vms": vms,
        "servers": servers,
        "slots": slots,
        "usual_factors": usual,
    }


@given("3 in 100 runs take 7 times as long")
def step_tail(context):
    context.region |= {"tail_fraction": 0.03, "tail_factor": 7.0}


@when(
    "the VMs get {rate:g} requests per second for {seconds:g} s in {runs:d} runs, with and without "
    "{feature}"
)
def step_load(context, rate, seconds, runs, feature):
    context.load = (rate, seconds)
    context.seeds = range(1, runs + 1)
    context.results = {}


def measure(context, name):
    """Return the means over the seeds: requests on time, mean, percentile, that of short ones."""
    if name not in context.results:
        results = []
        for seed in context.seeds:
            simulation = UnevenRegionSimulation(**context.region, **REPORTS[name], seed=seed)
            simulation.run(context.load)
            results.append((*simulation.measure(), simulation.measure_small()))
        means = [sum(values) / len(values) for values in zip(*results, strict=True)]
        context.results[name] = means
        print(
            f"{name}: on time {means[0]:.4f}, mean {means[1]:.4f} s, p99 {means[2]:.3f} s, ", end=""
        )
        print(f"p99 of the short requests {means[3]:.3f} s")
    return context.results[name]


@then("reports that are {names} don't put fewer requests on time, and don't lengthen their times")
def step_no_worse(context, names):
    without = measure(context, "none")
    for name in names.split(", "):
        on_time, *times = measure(context, name)
        assert on_time >= without[0] - ON_TIME_TOLERANCE, (name, on_time, without[0])
        for time, former in zip(times, without[1:], strict=True):
            assert time <= TIME_TOLERANCE * former, (name, times, without)


@then("true reports put at least {percent:g} percent more requests on time")
def step_true(context, percent):
    gain = measure(context, "true")[0] - measure(context, "none")[0]
    assert gain >= percent / 100, gain


@then("{percent:g} percent more requests are on time")
def step_gain(context, percent):
    gain = measure(context, "usual")[0] - measure(context, "none")[0]
    assert gain >= percent / 100, gain


@then("the 99th percentile over the short requests is at most {part:g} of the former one")
def step_short(context, part):
    values = measure(context, "usual")[3], measure(context, "none")[3]
    assert values[0] <= part * values[1], values


@given("a distribution of {runs}")
def step_distribution(context, runs):
    context.distribution = RunDistribution()
    for item in runs.replace(" then ", " ").split(", "):
        words = item.split()
        run_s = float(words[words.index("of") + 1])
        for _ in range(int(words[0])):
            record_run(context.distribution, run_s)


@then("a run of age {age:g} s is expected to take {least:g} to {most:g} s more")
def step_rest(context, age, least, most):
    actual = expect_remaining_s(context.distribution, age)
    assert least <= actual <= most, actual


@when("the runs of {count:d} routes are learned")
def step_learn(context, count):
    context.work = ServiceWork()
    for number in range(count):
        learn_run(context.work, f"route-{number}", False, 0.1)


@then("at most {count:d} kinds of runs are kept, with the newest ones among them")
def step_kinds(context, count):
    assert count == MAX_KINDS
    assert len(context.work.runs) == count
    assert ("route-499", False) in context.work.runs


@given("two full servers of 1 slot, one of them with a run that has lasted for {age:g} s")
def step_two_full(context, age):
    context.board = make_board(2, 1)
    for number, started in enumerate((NOW - timedelta(seconds=age), NOW)):
        server = context.board.registry.instances[f"i-{number}"]
        place = choose_placement(context.board, make_request(5.0), PROMISED_S, NOW)
        record_run_start(server, started, place)


@given("runs that take {usual:g} s, of which 3 in 100 take {long:g} s")
def step_learned(context, usual, long):
    context.board.run_times[("status", "read")] = RunTimes(usual, usual, usual, runs=100)
    work = context.board.work["status"] = ServiceWork()
    for number in range(1000):
        learn_run(work, "read", False, long if number % 33 == 0 else usual)


@then("a request waits for the other server")
def step_waits(context):
    place = choose_placement(context.board, make_request(5.0), PROMISED_S, NOW)
    assert isinstance(place, QueuedPlacement) and place.instance.name == "i-1", place


@then("without a reported speed both have the same cost")
def step_same_cost(context):
    del context.board.work["status"]
    costs = []
    for name in ("i-0", "i-1"):
        req = make_request(5.0, excluded=frozenset({name}))
        costs.append(choose_placement(context.board, req, PROMISED_S, NOW).cost_s)
    assert costs[0] == costs[1], costs


@when("{count:d} runs are started at a server, and {ended:d} of them end")
def step_runs(context, count, ended):
    context.board = make_board(1, 1000)
    context.server = context.board.registry.instances["i-0"]
    context.board.run_times[("status", "read")] = RunTimes(0.1, 0.1, 0.1, runs=MIN_MEASURED_RUNS)
    req = make_request(5.0)
    places = [choose_placement(context.board, req, PROMISED_S, NOW) for _ in range(count)]
    for place in places:
        record_run_start(context.server, NOW, place)
    for place in places[:ended]:
        record_run_end(context.board, context.server, req, True, 0.1, NOW, None, place)


@then("the starts of at most {count:d} runs are kept")
def step_starts(context, count):
    assert context.server.in_flight == count
    assert len(context.server.runs) <= count, len(context.server.runs)
    assert not math.isnan(choose_placement(context.board, make_request(5.0), 0.4, NOW).cost_s)
