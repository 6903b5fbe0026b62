"""Steps of the choice of entry VMs that exchange summaries."""

import itertools
import math
from collections import Counter
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.instances import list_owned_instances, set_lender
from camphorspread.process.reported_load import RegionLoads, measure_loads, measure_owned_loads
from camphorspread.process.summary_partners import choose_partners, is_large_region
from camphorspread.process.vm_summary import read_round_trip, record_round_trip
from camphorspread.request.placement_queue import PlacementQueue
from features.fixtures.placement_simulation import make_board

REGIONS = ("sofia", "plovdiv", "varna")


def choose_all(context, lost=frozenset()):
    """Choose the partners of all VMs that aren't lost."""
    names = frozenset(context.regions) - lost
    context.partners = {
        name: choose_partners(name, context.regions, names - {name}) for name in names
    }


@given("regions with {sizes} VMs")
def step_regions(context, sizes):
    context.regions = {
        f"{region}-{number:03}": region
        for region, size in zip(REGIONS, sizes.split(","), strict=False)
        for number in range(int(size))
    }
    choose_all(context)


@then("exactly one VM of each pair in {pairs} begins exchanges with the other")
def step_pairs(context, pairs):
    for one, other in itertools.combinations(context.regions, 2):
        if pairs == "all regions" or context.regions[one] == context.regions[other]:
            begins = (other in context.partners[one]) + (one in context.partners[other])
            assert begins == 1, (one, other, begins)


def list_far_partners(context, name):
    """Return the partners of a VM in other regions."""
    here = context.regions[name]
    return [item for item in context.partners[name] if context.regions[item] != here]


def check_far_partners(context, names, count):
    """Check the number of partners of each VM in each other region."""
    for name in names:
        counts = Counter(context.regions[item] for item in list_far_partners(context, name))
        others = set(context.regions.values()) - {context.regions[name]}
        assert counts == dict.fromkeys(others, count), (name, counts)


@then("each VM begins exchanges with {count:d} VMs of each other region")
def step_far_partners(context, count):
    check_far_partners(context, context.regions, count)


@then("on average a VM has at most {limit:d} partners in other regions")
def step_average(context, limit):
    begun = sum(len(list_far_partners(context, name)) for name in context.regions)
    assert 2 * begun / len(context.regions) <= limit, 2 * begun / len(context.regions)


@then("each VM knows a VM of each other region")
def step_known_regions(context):
    known = {name: set(partners) for name, partners in context.partners.items()}
    for name, partners in context.partners.items():
        for partner in partners:
            known[partner].add(name)
    for name, here in context.regions.items():
        found = {context.regions[other] for other in known[name]}
        assert found | {here} == set(REGIONS), (name, found)


@when("the partners of one VM in another region are lost")
def step_lose(context):
    context.name = next(iter(context.regions))
    partners = list_far_partners(context, context.name)
    context.lost = frozenset(item for item in partners if context.regions[item] == "varna")
    choose_all(context, context.lost)


@then("it begins exchanges with {count:d} others there")
def step_others(context, count):
    check_far_partners(context, [context.name], count)
    assert not context.lost & context.partners[context.name]


@when("only {count:d} VMs of a region are alive")
def step_few(context, count):
    names = [name for name, region in context.regions.items() if region == "sofia"]
    context.alive = names[:count]
    choose_all(context, frozenset(names[count:]))


@then("they begin exchanges with {count:d} VMs of each other region")
def step_still_large(context, count):
    check_far_partners(context, context.alive, count)


@given(
    "a VM that owns {owned:d} server with {used:d} of {slots:d} slots in use and borrows "
    "{lent:d}, in a region of {sharers:d} VMs"
)
def step_reporting_vm(context, owned, used, slots, lent, sharers):
    context.board = make_board(owned + lent, slots)
    context.board.sharers = sharers
    regions = {f"vm-{number}": "sofia" for number in range(sharers)}
    context.board.is_large_region = is_large_region(regions, "sofia")
    instances = list(context.board.registry.instances.values())
    for item in instances[owned:]:
        set_lender(context.board.registry, item, "vm-1")
    assert list_owned_instances(context.board.registry) == instances[:owned]
    instances[0].in_flight = used
    context.region_loads = RegionLoads()


@when("{count:d} slot of the borrowed servers is taken")
def step_take_slots(context, count):
    for item in list(context.board.registry.by_lender["vm-1"].values())[:count]:
        item.in_flight += 1


def check_loads(loads, slots, free):
    """Check the load of the only service."""
    (load,) = loads.values()
    assert (load.slots, load.free) == (slots, free), load


@then("it reports {slots:d} slots with {free:d} free to another region")
def step_report_far(context, slots, free):
    loads = measure_loads(context.board, PlacementQueue(), context.region_loads, timedelta(0))
    check_loads(loads, slots, free)


@then("it reports {slots:d} slots with {free:d} free to another region {later:g} s later")
def step_report_later(context, slots, free, later):
    now = timedelta(seconds=later)
    loads = measure_loads(context.board, PlacementQueue(), context.region_loads, now)
    check_loads(loads, slots, free)


@then("it reports {slots:d} slots with {free:d} free within its region")
def step_report_near(context, slots, free):
    check_loads(measure_owned_loads(context.board, PlacementQueue(), timedelta(0)), slots, free)


@given("a summary that states a round-trip time of {stated} ms")
def step_stated(context, stated):
    context.summary = {} if stated == "no" else {"round_trip_ms": float(stated)}


@then("the VM reads a round-trip time of {expected} s")
def step_read(context, expected):
    found = read_round_trip(context.summary)
    assert found == (None if expected == "none" else float(expected)), found


@given("a VM whose partner stated a round trip of {stated:g} s")
def step_partner(context, stated):
    address = Address("10.2.0.2", 7620)
    context.peer = EntryVm("vm-1", 1, "varna-a", "varna", address, address, round_trip_s=stated)


@when("it measures round trips of {first:g} and {second:g} s")
def step_measure(context, first, second):
    record_round_trip(context.peer, first)
    record_round_trip(context.peer, second)


@then("its round-trip time is {expected:g} s")
def step_round_trip(context, expected):
    assert math.isclose(context.peer.round_trip_s, expected), context.peer
