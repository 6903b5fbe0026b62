"""Steps for the shares of limits and caps."""

import random
from datetime import timedelta

from behave import given, then, when

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.share_allocator import divide_fairly
from camphorspread.version.shares import SHARE_LEASE, RenewalDemand
from features.fixtures.share_simulation import KEYS, ShareSimulation, make_catalogue

VMS = ("sofia-a-1", "sofia-a-2", "sofia-b-1", "sofia-b-2", "sofia-b-3")
SHIFT_KEY = KEYS[2]


def seconds(value):
    return timedelta(seconds=value)


def make_simulation(seed, **options):
    rng = random.Random(seed)
    limits = rng.randint(0, 60), rng.randint(0, 60), rng.randint(0, 60)
    catalogue = make_catalogue(Catalogue(), VMS, *limits)
    return ShareSimulation(rng, VMS, catalogue, **options)


def set_random_demand(sim):
    for vm in VMS:
        for key in KEYS:
            used = sim.rng.choice((0, 0, 3, 20, 100))
            sim.current(vm).demand[key] = RenewalDemand(used, sim.rng.choice((0, 5)))


def inject_random_fault(sim):
    match sim.rng.randrange(5):
        case 0:
            sim.change_leader()
        case 1:
            sim.start(sim.rng.choice(VMS))
        case 2:
            length = seconds(sim.rng.uniform(0.5, 5))
            sim.isolated[sim.rng.choice(VMS)] = sim.now + length
        case _:
            set_random_demand(sim)
    sim.after(seconds(sim.rng.uniform(0.05, 2)), lambda: inject_random_fault(sim))


def check_totals(sim):
    for key in KEYS:
        assert sim.total(key) <= sim.limit(key), (sim.now, key, sim.total(key), sim.limit(key))


@then("with {count:d} seeds of drops, delays, restarts and new leaders no sum exceeds its cap")
def step_check_sums(context, count):
    for seed in range(count):
        sim = make_simulation(seed, loss=0.15, delays_ms=(200, 3000))
        sim.check = check_totals
        inject_random_fault(sim)
        sim.run_until(seconds(40))


@then("with {count:d} seeds of changed limits the sum follows them within 3 seconds")
def step_check_changes(context, count):
    for seed in range(count):
        sim = make_simulation(seed, loss=0.05, delays_ms=(100, 400))
        bounds = {key: [sim.limit(key)] for key in KEYS}

        def check(sim, bounds=bounds):
            for key in KEYS:
                assert sim.total(key) <= bounds[key][-1], (sim.now, key, sim.total(key))

        def end_transition(sim=sim, bounds=bounds):
            for key in KEYS:
                bounds[key].append(sim.limit(key))

        def change(sim=sim, end_transition=end_transition, bounds=bounds):
            # This also adds VMs to the region's entry and removes others.
            vms = sorted(sim.rng.sample(VMS, sim.rng.randint(2, 5)))
            limits = [sim.rng.randint(0, 60) for _ in range(3)]
            sim.change_catalogue(make_catalogue(sim.catalogue, vms, *limits))
            # A shift cap has no permanent shares, so an increase may be granted at once.
            bounds[SHIFT_KEY].append(max(bounds[SHIFT_KEY][-1], sim.limit(SHIFT_KEY)))
            sim.after(seconds(3), end_transition)
            set_random_demand(sim)
            sim.after(seconds(sim.rng.uniform(6, 9)), change)

        sim.check = check
        sim.after(seconds(5), change)
        sim.run_until(seconds(60))


@given("{count:d} VMs that share a shift cap of {cap:d}")
def step_start(context, count, cap):
    vms = VMS[:count]
    catalogue = make_catalogue(Catalogue(), vms, 40, 40, cap)
    context.shares = ShareSimulation(random.Random(1), vms, catalogue)
    context.shares.check = check_totals


@given("each of them has a demand of {amount:d}")
@when("each of them has a demand of {amount:d}")
def step_set_demand(context, amount):
    for vm in context.shares.vms:
        context.shares.current(vm).demand[SHIFT_KEY] = RenewalDemand(amount)


@when("only {vm} has a demand of {amount:d}")
def step_set_single_demand(context, vm, amount):
    for name in context.shares.vms:
        offered = amount if name == vm else 0
        context.shares.current(name).demand[SHIFT_KEY] = RenewalDemand(offered)


@given("{duration:g} seconds of renewals pass")
@when("{duration:g} seconds of renewals pass")
def step_run(context, duration):
    context.shares.run_until(context.shares.now + seconds(duration))


@when("{vm} is isolated for {duration:g} seconds")
def step_isolate(context, vm, duration):
    context.shares.isolated[vm] = context.shares.now + seconds(duration)


@when("another replica leads")
def step_change_leader(context):
    context.shares.change_leader()
    context.allocator = context.shares.allocators[context.shares.leader]


def held_amount(context, vm):
    sim = context.shares
    return sim.current(vm).held.amount(SHIFT_KEY, sim.now)


@then("{vm} holds at least {amount:d}")
def step_check_held(context, vm, amount):
    assert held_amount(context, vm) >= amount, held_amount(context, vm)


@then("the others hold {amount:d} or fewer together")
def step_check_others(context, amount):
    held = sum(held_amount(context, vm) for vm in context.shares.vms[1:])
    assert held <= amount, held


@then("the held shares are {amounts}")
def step_check_amounts(context, amounts):
    held = [held_amount(context, vm) for vm in context.shares.vms]
    assert held == [int(item) for item in amounts.split(", ")], held


@then("it has granted nothing")
def step_check_nothing(context):
    holders = context.allocator.holders.values()
    assert context.allocator.ready == seconds(5) + SHARE_LEASE
    assert holders
    assert not any(sent.amounts for item in holders for sent in item.grants.values())


def run_requests(sim, running):
    """End some requests and admit new ones within the shares, every 20 ms."""
    key = KEYS[0]
    for vm in VMS:
        holder = sim.current(vm)
        demand = holder.demand.setdefault(key, RenewalDemand())
        running[vm] -= sum(sim.rng.random() < 0.01 for _ in range(running[vm]))
        offered = sim.offered_requests[vm]
        admitted = min(offered, holder.held.total(key, sim.now)) - running[vm]
        running[vm] += max(admitted, 0)
        demand.running, demand.used = running[vm], max(running[vm], min(offered, 60))
        if sim.rng.random() < 0.005:
            sim.offered_requests[vm] = sim.rng.choice((0, 2, 60))
    assert sum(running.values()) <= sim.limit(key), (sim.now, running)
    sim.after(timedelta(milliseconds=20), lambda: run_requests(sim, running))


@then("a region's requests in flight stay within its limit while demand moves for {count:d} seeds")
def step_check_running(context, count):
    for seed in range(count):
        sim = make_simulation(seed)
        sim.offered_requests = dict.fromkeys(VMS, 60)
        run_requests(sim, dict.fromkeys(VMS, 0))
        sim.run_until(seconds(20))


@then("divisions with {count:d} seeds are exact and fair")
def step_check_divide(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        pool = rng.randint(0, 50)
        demands = {f"vm-{number}": rng.choice((0, 1, 7, 50)) for number in range(rng.randint(1, 9))}
        result = divide_fairly(pool, demands)
        assert sum(result.values()) == pool
        for name, amount in result.items():
            if amount < demands[name]:
                most = max(result.values())
                assert amount >= most - 1, (seed, demands, result)
