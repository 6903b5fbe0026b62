"""Steps for regions whose entry VMs forward requests to each other."""

from datetime import timedelta
from unittest import mock

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm, ServiceLoad
from camphorspread.process.reported_load import RegionLoads, measure_loads
from camphorspread.request import placement, placement_queue, service_totals, wait_estimate
from camphorspread.request.placement_board import ForwardPlacement, RunTimes
from camphorspread.request.placement_queue import PlacementQueue
from features.fixtures.placement_simulation import make_board, make_request
from features.fixtures.regions_simulation import RegionsSimulation, SimulatedRegion

NOW = timedelta(seconds=10)
FREE, SLOTS = 8, 24


@given('a region "{name}" with {vms:d} VMs and {servers:d} servers, and a third of the callers')
def step_add_region(context, name, vms, servers):
    region = SimulatedRegion(name, vms, servers, 1 / 3)
    context.regions = (*getattr(context, "regions", ()), region)


@given("servers with {cached:d} of {objects:d} objects each")
def step_objects(context, cached, objects):
    context.region = {"vms": 0, "servers": 0, "cached_objects": cached, "objects": objects}


@given("a request occupies the link of an entry VM for {milliseconds:g} ms")
def step_link(context, milliseconds):
    context.region["link_s"] = milliseconds / 1000


@when("the regions get {rate:g} requests per second for {seconds:g} s")
def step_regions_arrive(context, rate, seconds):
    context.load = (rate, seconds)
    context.simulation = RegionsSimulation(**context.region, regions=context.regions)
    context.simulation.run(context.load)


@then("they are worth no less than if each VM counted its own requests only")
def step_worth(context):
    alone = RegionsSimulation(**context.region, regions=context.regions)
    with (
        mock.patch.object(placement, "count_unseen_vms", return_value=0),
        mock.patch.object(placement_queue, "count_unseen_vms", return_value=0),
        mock.patch.object(wait_estimate, "count_unseen_vms", return_value=0),
        mock.patch.object(service_totals, "count_unseen_vms", return_value=0),
    ):
        alone.run(context.load)
    assert context.simulation.worth >= alone.worth, (context.simulation.worth, alone.worth)


@then("at most {part:d} in {count:d} requests changes places with one of another region")
def step_crossing(context, part, count):
    simulation = context.simulation
    crossing = simulation.count_crossing()
    assert count * crossing <= part * simulation.arrivals, (crossing, simulation.arrivals)


@given(
    "one of {vms:d} VMs that share {servers:d} servers of {slots:d} slots has {count:d} requests "
    "in flight"
)
def step_shared(context, vms, servers, slots, count):
    context.board = make_board(servers, slots)
    context.board.sharers = vms
    context.board.run_times[("status", "read")] = RunTimes(0.3, 1.0, 1.0)
    for number, item in enumerate(context.board.registry.instances.values()):
        item.sends, item.in_flight = 1, int(number < count)


@then("it estimates that {count:d} of the {slots:d} slots are in use")
def step_estimates(context, count, slots):
    totals = service_totals.find_totals(context.board, "status", NOW)
    assert totals.busy_fraction == count / slots, totals


@then("it states {free:d} free slots to VMs of other regions")
def step_states(context, free):
    loads = measure_loads(context.board, PlacementQueue(), RegionLoads(), NOW)
    assert loads["status"].free == free, loads


@given("a VM of another region with the same use, without delay")
def step_equal_far(context):
    far = Address("10.2.0.1", 1)
    peer = EntryVm("far", 1, "varna-a", "varna", far, far, alive_until=timedelta.max)
    peer.summary_at, peer.loads["status"] = NOW, ServiceLoad(FREE, SLOTS)
    context.board.peers["far"] = peer


@then("the expected time of a request about a new object is shorter at home")
def step_home(context):
    place = placement.choose_placement(context.board, make_request(10.0, "o1"), 0.4, NOW)
    assert not isinstance(place, ForwardPlacement), place
