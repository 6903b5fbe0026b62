"""Steps for the quotas of organisations over all entry VMs."""

import itertools

from behave import given, then, when

from camphorspread.process.quota_renewal import return_quotas
from features.fixtures.quota_simulation import CONTROLS, ELECTION_S, RULES, WINDOW_S

ACME, OTHER = "acme", "bergen"
START_S = 8.0
# All VMs have a configuration within this time.
SPREAD_S = 1.0
FULL_SHARE_S = 3.0


def compute_bound(rate, burst):
    """Return the most requests that may be sent in a window."""
    return (rate * WINDOW_S + burst) * (1 + RULES.overage) + RULES.tolerance


@given(
    "{vms:d} entry VMs with a limit of {rate:g} requests a second and a burst of {burst:g}, "
    "from seed {seed:d}"
)
def step_fleet(context, vms, rate, burst, seed):
    context.simulation = context.start_simulation(vms, seed)
    context.limit, context.changed_s = (rate, burst), 0.0
    context.simulation.configure({ACME: context.limit})


@given("one VM knows no other process")
def step_cut(context):
    simulation = context.simulation
    simulation.run(SPREAD_S)
    simulation.kill_vm("vm-3")
    simulation.start_vm("vm-3")
    simulation.vms["vm-3"].is_cut = True


def pick_vms(simulation, place):
    """Return the VMs at which requests arrive; None for all that are alive."""
    names = sorted(simulation.vms)
    third, others = names[::3], [name for name in names if name not in names[::3]]
    return {
        "all VMs": None,
        "one VM": ["vm-3"],
        "half": names[: len(names) // 2],
        "a third": third,
        "mostly a third": third * 4 + others,
    }[place]


def move_demand(context, simulation):
    """Send the requests to the other half of the VMs from now on."""
    names = sorted(simulation.vms)
    simulation.places[ACME] = names[len(names) // 2 :]


def lose_controls(context, simulation):
    """Let no control VM respond for 10 s; then there is a new leader."""
    simulation.down = set(CONTROLS)

    def restore():
        simulation.down = set()
        simulation.change_leader(CONTROLS[1])

    simulation.loop.call_later(10, restore)


def replace_leader(context, simulation, successor=CONTROLS[2]):
    """Lose the leader and elect another one."""
    simulation.down = {simulation.leader}
    simulation.change_leader(None)
    simulation.loop.call_later(ELECTION_S, simulation.change_leader, successor)


def restart(simulation, names):
    """Kill VMs and start them within a second."""
    for name in names:
        simulation.kill_vm(name)
        simulation.loop.call_later(simulation.rng.uniform(0.1, 1), simulation.start_vm, name)


def pause(context, simulation):
    """Suspend a VM for 6 s."""
    simulation.vms["vm-3"].paused_until = simulation.now + 6


def lose_half(context, simulation):
    """Kill half of the VMs for good."""
    for name in sorted(simulation.vms)[::2]:
        simulation.kill_vm(name)


def add_vms(context, simulation):
    """Start as many VMs as there are."""
    for number in range(len(simulation.vms)):
        simulation.start_vm(f"vm-new-{number}")


def cut_region(context, simulation):
    """Cut a third of the VMs off from the control VMs."""
    for name in sorted(simulation.vms)[::3]:
        simulation.vms[name].is_cut = True


def cut_busy_region(context, simulation):
    """Cut a third of the VMs off; from then on half of the requests arrive there."""
    cut_region(context, simulation)
    names = sorted(simulation.vms)
    others = [name for name in names if name not in names[::3]]
    simulation.places[ACME] = names[::3] * len(others) + others * len(names[::3])


def cut_region_with_leader(context, simulation):
    """Cut a third of the VMs off as the leader is lost; half of the requests arrive elsewhere."""
    cut_busy_region(context, simulation)
    replace_leader(context, simulation)


def cut_region_before_leader(context, simulation):
    """Cut a third of the VMs off, and lose the leader when their leases have ended."""
    cut_busy_region(context, simulation)
    simulation.loop.call_later(40, replace_leader, context, simulation)


def cut_region_with_two_leaders(context, simulation):
    """Cut a third of the VMs off as the leader is lost; 40 s later the next leader is lost."""
    cut_region_with_leader(context, simulation)
    simulation.loop.call_later(40, replace_leader, context, simulation, CONTROLS[1])


def pause_with_leader(context, simulation):
    """Suspend a VM for 6 s as the leader is lost; from then on requests arrive at all VMs."""
    pause(context, simulation)
    replace_leader(context, simulation)
    simulation.places[ACME] = None


def lose_with_leader(context, simulation):
    """Kill a VM for good as the leader is lost."""
    simulation.kill_vm("vm-3")
    replace_leader(context, simulation)


def return_shares(context, simulation):
    """Let a VM return its shares, and stop a second later."""
    state = simulation.vms["vm-3"].state
    simulation.loop.run_until_complete(return_quotas(state))
    context.returned = state.quota_contact.number
    simulation.run(1)
    context.last = state.quota_contact.number
    simulation.kill_vm("vm-3")


def change_limit(factor):
    """Return an event that changes the limit."""

    def change(context, simulation):
        rate, burst = context.limit
        context.limit = (rate * factor, burst)
        simulation.configure({ACME: context.limit}, SPREAD_S)

    return change


def change_often(context, simulation):
    """Lower, raise and remove the limit within 5 s; in the end it is the same."""
    limits = [{ACME: (context.limit[0] * part, 0)} for part in (0.1, 3, 0.5, 1, 0.2, 2, 0.1, 1)]
    for number, limit in enumerate([*limits[:4], {}, *limits[4:], {ACME: context.limit}]):
        simulation.loop.call_later(0.5 * number, simulation.configure, limit, SPREAD_S)
    context.changed_s = 5.0


def swap_names(context, simulation):
    """Swap the limits of two organisations, the second of which has a tenth."""
    rate, burst = context.limit
    context.limit = (rate / 10, burst)
    simulation.configure({ACME: context.limit, OTHER: (rate, burst)}, SPREAD_S)


EVENTS = {
    "nothing happens": lambda _context, _simulation: None,
    "the demand moves to the other half": move_demand,
    "all control VMs are away for 10 s": lose_controls,
    "the leader is replaced within 1 s": replace_leader,
    "one VM restarts": lambda _context, simulation: restart(simulation, ["vm-3"]),
    "all VMs restart": lambda _context, simulation: restart(simulation, sorted(simulation.vms)),
    "one VM is paused for 6 s": pause,
    "half of the VMs are lost": lose_half,
    "as many VMs are added": add_vms,
    "a region is cut off": cut_region,
    "a region is cut off with the leader": cut_region_with_leader,
    "a region is cut off, and the leader 40 s later": cut_region_before_leader,
    "a region is cut off with the leader, the next one 40 s later": cut_region_with_two_leaders,
    "it is paused for 6 s as the leader is lost": pause_with_leader,
    "one VM is lost with the leader": lose_with_leader,
    "one VM returns its shares": return_shares,
    "the limit is raised threefold": change_limit(3),
    "the limit is lowered to a tenth": change_limit(0.1),
    "the limit is removed": lambda _context, simulation: simulation.configure({}, SPREAD_S),
    "the limit is changed ten times": change_often,
    "two organisations swap their names": swap_names,
}


@when(
    "{demand:g} requests a second arrive at {place} for {seconds:d} s, and after {begin:d} s "
    "{event}"
)
def step_load(context, demand, place, seconds, begin, event):
    simulation = context.simulation
    if "swap" in event:
        simulation.configure({ACME: context.limit, OTHER: (context.limit[0] / 10, 0)})
        simulation.run(SPREAD_S)
        simulation.start_load(OTHER, None, demand, START_S + seconds)
    simulation.run(START_S - simulation.now)
    context.begin, context.end = START_S, START_S + seconds
    context.event_at = START_S + begin
    context.old_limit = context.limit
    simulation.start_load(ACME, pick_vms(simulation, place), demand, seconds)
    simulation.run(begin)
    EVENTS[event](context, simulation)
    simulation.run(seconds - begin + 1)


@when(
    "a VM gets {few:g} request a second for {quiet:g} s and {many:g} for {busy:g} s, restarts, and "
    "gets {rest:g}"
)
def step_burst(context, few, quiet, many, busy, rest):
    simulation = context.simulation
    simulation.run(START_S - simulation.now)
    simulation.start_load(ACME, ["vm-3"], few, quiet)
    simulation.run(quiet)
    simulation.start_load(ACME, ["vm-3"], many, busy)
    simulation.run(busy + 0.05)
    simulation.kill_vm("vm-3")
    simulation.run(0.1)
    simulation.start_vm("vm-3")
    simulation.start_load(ACME, ["vm-3"], rest, 8)
    simulation.run(10)


@when(
    "{demand:g} requests a second arrive at {place} for {seconds:d} s, while processes fail at "
    "random"
)
def step_chaos(context, demand, place, seconds):
    simulation = context.simulation
    simulation.loss, simulation.not_run_fraction = 0.05, 0.1
    simulation.run(START_S)
    simulation.start_load(ACME, pick_vms(simulation, place), demand, seconds)
    while simulation.now < START_S + seconds:
        simulation.run(simulation.rng.uniform(0.3, 4))
        fail_at_random(simulation)


def fail_at_random(simulation):
    """Let one kind of failure happen."""
    rng = simulation.rng
    names = sorted(simulation.vms)
    vm = simulation.vms[rng.choice(names)]
    match rng.randrange(5):
        case 0:
            change_leader_at_random(simulation)
        case 1:
            restart(simulation, rng.sample(names, rng.randint(1, 8)))
            simulation.run(1.01)
        case 2:
            restart(simulation, names)
            simulation.run(1.01)
        case 3:
            vm.is_cut = True
            simulation.loop.call_later(rng.uniform(1, 8), setattr, vm, "is_cut", False)
        case 4:
            vm.paused_until = simulation.now + rng.uniform(1, 6)


@when(
    "{demand:g} requests a second arrive for {seconds:d} s, while VMs are cut off for up to "
    "{longest:d} s"
)
def step_cuts(context, demand, seconds, longest):
    simulation = context.simulation
    simulation.loss = 0.02
    simulation.run(START_S)
    simulation.start_load(ACME, None, demand, seconds)
    while simulation.now < START_S + seconds:
        simulation.run(simulation.rng.uniform(2, 15))
        cut_at_random(simulation, longest)


def cut_at_random(simulation, longest):
    """Cut some VMs off, often with most of the demand and with the leader, or let VMs fail."""
    rng = simulation.rng
    names = sorted(simulation.vms)
    match rng.randrange(6):
        case 0:
            change_leader_at_random(simulation)
        case 1:
            restart(simulation, rng.sample(names, rng.randint(1, 3)))
            simulation.run(1.01)
        case 2:
            simulation.vms[rng.choice(names)].paused_until = simulation.now + rng.uniform(1, 50)
        case 3:
            simulation.places[ACME] = rng.sample(names, rng.randint(1, len(names)))
        case _:
            cut = rng.sample(names, rng.randint(1, len(names) // 2))
            for vm in (simulation.vms[name] for name in cut):
                vm.is_cut = True
                simulation.loop.call_later(rng.uniform(20, longest), setattr, vm, "is_cut", False)
            simulation.places[ACME] = rng.choice((cut, None))
            if rng.random() < 0.6:
                change_leader_at_random(simulation)
                simulation.run(rng.uniform(30, 60))
                simulation.places[ACME] = None


def change_leader_at_random(simulation):
    """Lose the leader and elect one of the control VMs, perhaps the same."""
    simulation.change_leader(None)
    simulation.run(ELECTION_S)
    simulation.change_leader(simulation.rng.choice(CONTROLS))


@then("in no window more requests are sent, or arrive, than the bound allows")
def step_bound(context):
    simulation = context.simulation
    limits = {context.limit, getattr(context, "old_limit", context.limit)}
    bound = max(compute_bound(*limit) for limit in limits)
    # A changing limit is checked apart; while there is none, nothing is bounded.
    is_bounded = simulation.table.organisations.by_name and not context.changed_s
    peak = simulation.find_peak(ACME)
    assert peak and (peak <= bound or not is_bounded), (peak, bound)
    # An exception in the admission of a request is an internal error for its caller.
    assert not simulation.failures, simulation.failures


def count_steady(context, grace):
    """Return the decisions at steady demand, and for how long it was steady."""
    begin, event_at, end = context.begin + FULL_SHARE_S, context.event_at, context.end
    counts = context.simulation.count_results(ACME, begin, event_at)
    counts += context.simulation.count_results(ACME, event_at + grace, end)
    return counts, (event_at - begin) + (end - event_at - grace)


@then(
    "at least {percent:d} in 100 requests are admitted from 3 s on, except for {grace:g} s after "
    "the event"
)
def step_admitted(context, percent, grace):
    counts, _ = count_steady(context, grace)
    assert counts["Admitted"] >= percent / 100 * counts.total(), counts


@then(
    "from 3 s on the organisation gets {tenths:d} tenths of its limit, except for {grace:g} s "
    "after the event"
)
def step_served(context, tenths, grace):
    counts, seconds = count_steady(context, grace)
    rate, _ = context.limit
    assert counts["Admitted"] >= tenths / 10 * rate * seconds, (counts, seconds)


@then("the leader counts no demand of it, and got no renewal after the return")
def step_returned(context):
    simulation = context.simulation
    pool = simulation.allocators[simulation.leader].pools[ACME]
    assert pool.demand and "vm-3" not in pool.demand, pool.demand
    assert context.last == context.returned, (context.last, context.returned)


@then("no request is sent, and none is said to be over the limit")
def step_undecided(context):
    counts = context.simulation.count_results(ACME, 0, context.end + 1)
    assert set(counts) == {"Undecided"}, counts


@then("from 3 s after all VMs have it, the bound of the new limits holds")
def step_new_bound(context):
    simulation = context.simulation
    begin = context.event_at + context.changed_s + SPREAD_S + 3
    for name, organisation in simulation.table.organisations.by_name.items():
        bound = compute_bound(organisation.rate, organisation.burst)
        peak = simulation.find_peak(name, begin)
        assert 0 < peak <= bound, (name, peak, bound)
    rate, _ = context.limit
    admitted = simulation.count_results(ACME, begin + WINDOW_S, context.end)["Admitted"]
    assert admitted >= 0.9 * rate * (context.end - begin - WINDOW_S), admitted


@then("each refused caller of a VM gets a later time than the one before")
def step_later(context):
    for refusals in context.simulation.retries.values():
        times = [at + delay for at, delay in refusals]
        assert len(times) > 10
        assert all(first <= second + 1e-6 for first, second in itertools.pairwise(times))


@then("the retry times are from 0.15 s to one window")
def step_retry_bounds(context):
    delays = [delay for refusals in context.simulation.retries.values() for _, delay in refusals]
    assert min(delays) >= 0.15 and max(delays) <= WINDOW_S, (min(delays), max(delays))
