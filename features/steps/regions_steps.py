"""Steps for regions whose entry VMs forward requests to each other."""

from unittest import mock

from behave import given, then, when

from camphorspread.request import placement, placement_queue, service_totals
from features.fixtures.regions_simulation import RegionsSimulation, SimulatedRegion


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
        mock.patch.object(service_totals, "count_unseen_vms", return_value=0),
    ):
        alone.run(context.load)
    assert context.simulation.worth >= alone.worth, (context.simulation.worth, alone.worth)


@then("at most {part:d} in {count:d} requests changes places with one of another region")
def step_crossing(context, part, count):
    simulation = context.simulation
    crossing = simulation.count_crossing()
    assert count * crossing <= part * simulation.arrivals, (crossing, simulation.arrivals)
