"""Steps for the share of the objects that a region keeps."""

import math
from collections import Counter
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.process.entry_vms import ServiceLoad
from camphorspread.request.home_share import (
    HomeShare,
    is_kept,
    is_update_due,
    record_arrival,
    update_share,
)
from camphorspread.request.placement import choose_placement
from camphorspread.request.placement_board import ForwardPlacement
from features.fixtures.placement_simulation import make_request
from features.fixtures.regions_simulation import (
    ForwardedRequest,
    RegionsSimulation,
    SimulatedRegion,
)

SEEDS = (11, 12, 13)
WAVE_SWING, WAVE_PERIOD_S = 0.55, 36.0
WAVE_PHASES = (0.3, 0.63, 0.97)
STEP_S = 0.05


@attrs.define(eq=False)
class WaveSimulation(RegionsSimulation):
    """Regions whose load is a wave, with the results by the region of the callers."""

    is_scarce: bool = True
    results: Counter = attrs.field(factory=Counter)

    def make_region_vm(self, region, name, first):
        """Return an entry VM at which the service is scarce or not."""
        vm = super().make_region_vm(region, name, first)
        if self.is_scarce:
            vm.board.scarce_services = frozenset({"status"})
        return vm

    def handle_arrival(self, now):
        """Handle the arrival of a request in a region that is drawn by its present load."""
        self.arrivals += 1
        weights = [
            1 + WAVE_SWING * math.sin(2 * math.pi * (now / WAVE_PERIOD_S + phase))
            for phase in WAVE_PHASES[: len(self.regions)]
        ]
        region = self.rng.choices(self.regions, weights)[0]
        vm = self.by_name[f"{region.name}-{self.rng.randrange(region.vms)}"]
        key = f"o{self.rng.randrange(self.objects)}"
        self.receive(now, ForwardedRequest(vm, key, now, self.make_input(now, now, key)))

    def finish(self, now, request, result):
        """Record the result at the VM of the caller."""
        if request.parent is None:
            is_on_time = result == "served" and now - request.arrived <= self.promised_s
            self.results[(request.vm.board.region, is_on_time)] += 1
        super().finish(now, request, result)

    def find_on_time(self, region):
        """Return the fraction of a region's requests that were on time."""
        on_time, late = self.results[(region, True)], self.results[(region, False)]
        return on_time / (on_time + late)


@given("three regions with 9, 8 and 9 VMs and {servers} servers of {slots:d} slots")
def step_regions(context, servers, slots):
    counts = [int(item) for item in servers.split(",")]
    names, vms = ("first", "second", "third"), (9, 8, 9)
    context.region = {
        "regions": tuple(map(SimulatedRegion, names, vms, counts, [1 / 3] * 3)),
        "slots": slots,
        "server_queue": 3 * slots,
        "one_way_s": 0.055,
        "vms": 0,
        "servers": 0,
    }


@given("{objects:d} objects of which each server keeps {cached:d} warm")
def step_objects(context, objects, cached):
    context.region |= {"objects": objects, "cached_objects": cached}


@when(
    "the regions get {rate:g} requests per second in waves for {seconds:g} s, with and without "
    "kept shares"
)
def step_waves(context, rate, seconds):
    context.pairs = []
    for seed in SEEDS:
        pair = [WaveSimulation(**context.region, seed=seed, is_scarce=on) for on in (True, False)]
        for simulation in pair:
            simulation.run((rate, seconds))
        context.pairs.append(pair)


@then("callers of the second region are on time more often with kept shares, for each seed")
def step_second_region(context):
    for kept, plain in context.pairs:
        assert kept.find_on_time("second") > plain.find_on_time("second"), (
            kept.find_on_time("second"),
            plain.find_on_time("second"),
        )


@then("all callers together are on time at least as often")
def step_all_regions(context):
    for kept, plain in context.pairs:
        assert kept.on_time / kept.arrivals >= plain.on_time / plain.arrivals


@given("a share of {share:g}")
def step_share(context, share):
    context.share = HomeShare(share=share)


@then("between {low:d} and {high:d} of 1000 objects are kept")
def step_kept(context, low, high):
    context.kept = [n for n in range(1000) if is_kept(context.share, "sofia", "status", f"o{n}")]
    assert low <= len(context.kept) <= high, len(context.kept)


@then("all of them are kept with a share of {share:g} too")
def step_kept_too(context, share):
    wider = HomeShare(share=share)
    assert all(is_kept(wider, "sofia", "status", f"o{n}") for n in context.kept)


@given("{own:d} slots here and {others} in the other regions")
def step_slots(context, own, others):
    numbers = [int(item) for item in others.split(" and ") if item.isdigit()]
    context.share = HomeShare()
    context.slots = own, [ServiceLoad(number, number) for number in numbers]
    context.now, context.shares = timedelta(seconds=100), []


@given("no slot is free in the other regions, where {queued:d} requests wait in each")
def step_no_free_slot(context, queued):
    own, others = context.slots
    context.slots = own, [ServiceLoad(0, load.slots, queued) for load in others]


@when("{rate:g} requests per second of {run_s:g} s arrive for {seconds:g} s")
def step_arrive(context, rate, run_s, seconds):
    own, others = context.slots
    due = 0.0
    for _ in range(int(seconds / STEP_S)):
        context.now += timedelta(seconds=STEP_S)
        due += rate * STEP_S
        while due >= 1:
            due -= 1
            record_arrival(context.share, context.now)
        if is_update_due(context.share, context.now):
            update_share(context.share, own, others, 1, run_s, run_s, context.now)
            context.shares.append((context.now.total_seconds(), context.share.share))


@then("the region keeps all objects")
def step_all_kept(context):
    assert context.share.share == 1.0, context.share


@then("the share changed by at most {step:g} per second")
def step_slow(context, step):
    for (start, before), (end, after) in zip(context.shares, context.shares[1:], strict=False):
        assert abs(after - before) <= step * (end - start) + 1e-9, (before, after)


@then("the share ends between {low:g} and {high:g}")
def step_ends_between(context, low, high):
    assert low <= context.share.share <= high, context.share


@then("the share ends below {limit:g}")
def step_ends_below(context, limit):
    assert context.share.share < limit, context.share


@given("a VM whose region is short of servers, and a service that isn't scarce")
def step_plain(context):
    regions = (SimulatedRegion("first", 2, 20, 0.5), SimulatedRegion("second", 2, 1, 0.5))
    context.simulation = WaveSimulation(
        **{"vms": 0, "servers": 0, "objects": 50, "cached_objects": 50},
        **{"cold_s": 0.5, "warm_s": 0.15, "promised_s": 0.5, "limit_s": 2.0},
        regions=regions,
        is_scarce=False,
    )
    context.simulation.run((20, 2))


@then("requests about all objects run at home by preference")
def step_home(context):
    board = context.simulation.by_name["second-0"].board
    now = timedelta(seconds=100)
    for peer in board.peers.values():
        peer.summary_at = now
    for number in range(50):
        place = choose_placement(board, make_request(100.0, f"o{number}"), 0.5, now)
        assert not isinstance(place, ForwardPlacement), place
    assert not board.home_shares
