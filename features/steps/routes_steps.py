"""Steps for routes, their traffic split, and the retry budget."""

from collections import Counter
from datetime import timedelta

from behave import given, then, when

from camphorspread.request.fleet_retry_budget import (
    FleetRetryBudget,
    RetryShare,
    record_first_send,
    try_fleet_retry,
)
from camphorspread.request.splitting import Splitter, pick_service
from camphorspread.version.routing import Route, RouteTable, WeightedService, find_route

SECOND = timedelta(seconds=1)
RATIO, SLACK, WINDOW_S = 0.2, 60, 10


ONE_SERVICE = (WeightedService("s", 1),)


def make_route(host, prefix, parts=ONE_SERVICE):
    name = host.partition(".")[0] + prefix
    return Route(name, host, prefix, True, SECOND, SECOND, 1, tuple(parts))


@given('routes for "/a/" and "/a/b/" of "x.example" and "/" of "y.example"')
def step_routes(context):
    prefixes = (("x.example", "/a/"), ("x.example", "/a/b/"), ("y.example", "/"))
    context.routes = RouteTable(1, tuple(make_route(*prefix) for prefix in prefixes), {})


@then('"{target}" of "{host}" goes to {name}')
def step_find(context, target, host, name):
    route = find_route(context.routes, host, target)
    assert (route.name if route else "no route") == name, route


@given("a route whose services have the weights {weights}")
def step_weighted_route(context, weights):
    context.weights = [float(item) for item in weights.split(",")]
    parts = [WeightedService(f"s{number}", item) for number, item in enumerate(context.weights)]
    context.route = make_route("x.example", "/", parts)


@when("{count:d} requests are split among them")
def step_split(context, count):
    splitter = Splitter()
    context.picked = Counter(pick_service(splitter, context.route) for _ in range(count))


@then("the fraction of each service is within {limit:g} of its weight")
def step_weights(context, limit):
    total, count = sum(context.weights), context.picked.total()
    for number, weight in enumerate(context.weights):
        share = context.picked[f"s{number}"] / count
        assert abs(share - weight / total) <= limit, context.picked


@given("{vms:d} VMs whose fleet may retry 0.2 of the requests and 60 more in 10 s")
def step_budget(context, vms):
    window = timedelta(seconds=WINDOW_S)
    context.budgets = [FleetRetryBudget(RATIO, window, SLACK) for _ in range(vms)]


@when("each VM gets {rate:d} requests per second for {seconds:d} s and tries to retry half of them")
def step_retry(context, rate, seconds):
    context.requests, context.repeats = Counter(), Counter()
    vms = len(context.budgets)
    for step in range(rate * seconds):
        now = timedelta(seconds=step / rate)
        second = int(now.total_seconds())
        for budget in context.budgets:
            record_first_send(budget, "s", now)
            context.requests[second] += 1
            if step % 2 and try_fleet_retry(budget, "s", RetryShare(vms), now):
                context.repeats[second] += 1
    context.seconds = seconds


def sum_window(counts, end):
    return sum(counts[second] for second in range(end - WINDOW_S, end))


@then("the fleet exceeds the retry budget in no 10 s")
def step_within_budget(context):
    for end in range(WINDOW_S, context.seconds + 1):
        allowed = RATIO * sum_window(context.requests, end) + SLACK
        retried = sum_window(context.repeats, end)
        assert retried <= allowed, (end, retried, allowed)


@then("it uses at least half of the retry budget")
def step_budget_used(context):
    allowed = RATIO * sum_window(context.requests, context.seconds) + SLACK
    assert sum_window(context.repeats, context.seconds) >= allowed / 2
