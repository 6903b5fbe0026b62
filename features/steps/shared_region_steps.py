"""Steps for entry VMs that share the servers of a region."""

from datetime import timedelta
from unittest import mock

import attrs
from behave import given, then, when

from camphorspread.process.instances import remove_instance
from camphorspread.request import placement, placement_queue, service_totals, wait_estimate
from camphorspread.request.placement import match_freed_slot
from camphorspread.request.placement_board import MIN_MEASURED_RUNS, NoPlacement, RunTimes
from camphorspread.request.placement_queue import PlacementQueue, Waiter, grant_slot
from features.fixtures.placement_simulation import make_board, make_request
from features.fixtures.shared_region_simulation import SharedRegionSimulation


@given("{vms:d} VMs that share {servers:d} servers with {cached:d} of {objects:d} objects each")
def step_region(context, vms, servers, cached, objects):
    context.region = {
        "vms": vms,
        "servers": servers,
        "cached_objects": cached,
        "objects": objects,
    }


@given(
    "runs of {cold:g} s cold and {warm:g} s warm, promised in {promised:g} s with a time limit "
    "of {limit:g} s"
)
def step_runs(context, cold, warm, promised, limit):
    context.region |= {
        "cold_s": cold,
        "warm_s": warm,
        "promised_s": promised,
        "limit_s": limit,
    }


@given("no other region")
def step_no_far(context):
    context.region["has_far_region"] = False


@when("the VMs get {rate:g} requests per second for {seconds:g} s")
def step_arrive(context, rate, seconds):
    context.load = (rate, seconds)
    context.simulation = SharedRegionSimulation(**context.region)
    context.simulation.run(context.load)


@then("more of them are on time than if each VM counted its own requests only")
def step_on_time(context):
    context.alone = SharedRegionSimulation(**context.region)
    with (
        mock.patch.object(placement, "count_unseen_vms", return_value=0),
        mock.patch.object(placement_queue, "count_unseen_vms", return_value=0),
        mock.patch.object(wait_estimate, "count_unseen_vms", return_value=0),
        mock.patch.object(service_totals, "count_unseen_vms", return_value=0),
    ):
        context.alone.run(context.load)
    counts = context.simulation.on_time, context.alone.on_time
    assert counts[0] > counts[1], counts


@then("fewer are cut")
def step_fewer_cut(context):
    assert context.simulation.cut < context.alone.cut, (context.simulation.cut, context.alone.cut)


@then("refused requests wait for at most {seconds:g} s on average")
def step_refused(context, seconds):
    times = context.simulation.refused_after
    assert sum(times) <= seconds * len(times), sum(times) / len(times)


@given(
    "a queued request with {left:g} s left, and a freed slot at a server that must run it for "
    "{run:g} s"
)
def step_freed_slot(context, left, run):
    context.board = make_board(1)
    context.instance = context.board.registry.instances["i-0"]
    context.req = attrs.evolve(make_request(0.0, "o1"), deadline=timedelta(seconds=left))
    context.board.run_times[("status", "read")] = RunTimes(0.3, run, run, runs=MIN_MEASURED_RUNS)


def match(context):
    """Return the start of the queued request at the server, or None."""
    return match_freed_slot(context.board, context.req, context.instance, "i-0", timedelta(0))


@then("it isn't started there")
def step_not_started(context):
    assert match(context) is None


@then("a server that runs it for {run:g} s would start it")
def step_started(context, run):
    assert run == context.board.run_times[("status", "read")].warm_s
    context.instance.warm_objects["o1"] = None
    assert match(context) is not None


@when("that server leaves before its run ends")
def step_server_leaves(context):
    remove_instance(context.board.registry, "i-0", timedelta(0))


@then("the freed slot is granted to no request")
def step_not_granted(context):
    queue = PlacementQueue()
    queue.by_service["status"] = {1: Waiter(1, context.req, 0.4, "i-0")}
    assert grant_slot(context.board, queue, context.instance, timedelta(0)) is None


@given("a VM without servers of its own, and a VM of another region with free slots")
def step_far_vm(context):
    region = {"vms": 1, "servers": 0, "cached_objects": 1, "objects": 1}
    times = {"cold_s": 0.3, "warm_s": 0.1, "promised_s": 1.0, "limit_s": 2.0}
    context.board = SharedRegionSimulation(**region, **times).make_vm(0).board


def place(context):
    """Return the placement of a request."""
    return placement.choose_placement(context.board, make_request(0.0, "o1"), 1.0, timedelta(0))


@then("a request may be forwarded to it")
def step_forwarded(context):
    assert place(context).peer is context.board.peers["far"]


@then("not once it is leaving")
def step_not_forwarded(context):
    context.board.peers["far"].is_leaving = True
    assert isinstance(place(context), NoPlacement)
