"""Steps for the membership."""

import random
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.fleet import VmRecord, VmState, make_observed_record
from camphorspread.process.liveness import StatedRecord, Summary
from camphorspread.process.membership import make_membership
from camphorspread.process.membership_exchange import (
    DigestArrived,
    HeartbeatArrived,
    RequestFullSummary,
    apply_event,
)
from features.fixtures.membership_simulation import MembershipSimulation


def make_simulation(zones, vms, seed=1, **options):
    names = {f"zone{number}": vms for number in range(zones)}
    return MembershipSimulation(random.Random(seed), names, **options)


def check_incarnations(sim, newest):
    for observer in sim.running():
        for name, member in sim.vms[observer].membership.members.items():
            if not member.record.incarnation:
                continue
            key = (observer, sim.vms[observer].starts[-1], name)
            index = sim.vms[name].starts.index(member.record.incarnation)
            assert index >= newest.get(key, 0), (sim.now, key)
            newest[key] = index


def inject_fault(sim):
    vm = sim.rng.choice(list(sim.vms))
    zones = [f"{name}" for name in sim.zones]
    match sim.rng.randrange(5):
        case 0:
            sim.vms[vm].is_running = False
        case 1 | 2:
            sim.start(vm)
        case 3:
            sim.cuts.add(frozenset(sim.rng.sample(zones, 2)))
        case 4:
            sim.cuts.clear()


@then(
    "after {seeds:d} seeds of faults in {zones:d} availability zones of {vms:d} VMs"
    " all views are correct"
)
def step_check_faults(context, seeds, zones, vms):
    for seed in range(seeds):
        sim = make_simulation(zones, vms, seed, loss=0.05, slow=0.05)
        newest = {}
        for _ in range(40):
            inject_fault(sim)
            for _ in range(4):
                sim.run_for(sim.rng.uniform(0.05, 0.4))
                check_incarnations(sim, newest)
        sim.cuts.clear()
        sim.loss = sim.slow = 0.0
        sim.run_for(9)
        check_incarnations(sim, newest)
        assert not sim.find_wrong_views(), (seed, sim.find_wrong_views()[:5])


@given("{zones:d} availability zones of {vms:d} VMs that know each other")
def step_start(context, zones, vms):
    context.sim = make_simulation(zones, vms)
    context.sim.run_for(6)
    assert not context.sim.find_wrong_views(), context.sim.find_wrong_views()[:5]


@given("{zones:d} availability zones of {vms:d} VMs of which the settings name the first {known:d}")
def step_start_unknown(context, zones, vms, known):
    context.sim = make_simulation(zones, vms, known=known)


def measure_detection(sim, failed, duration):
    """Let a VM fail; return after how many seconds each other VM saw it as lost."""
    sim.run_for(6)
    begun, found = sim.now, {}
    sim.vms[failed].is_running = False
    while sim.now - begun < timedelta(seconds=duration):
        sim.run_for(0.05)
        for observer in sim.running():
            view = sim.view(observer)
            if view[failed].state is VmState.LOST:
                found.setdefault(observer, (sim.now - begun).total_seconds())
            others = {item.vm: item.state for item in view.values() if item.vm != failed}
            assert set(others.values()) == {VmState.ALIVE}, (sim.now - begun, observer, others)
    return found


@then(
    "for {count:d} seeds {vm} of {vms:d} VMs is detected as lost within {near:g} seconds"
    " in its availability zone and {far:g} elsewhere"
)
def step_check_lost(context, count, vm, vms, near, far):
    for seed in range(count):
        sim = make_simulation(3, vms, seed)
        found = measure_detection(sim, vm, far)
        for observer in sim.running():
            limit = near if observer.startswith("zone0") else far
            assert found.get(observer, far + 1) <= limit, (seed, observer, found)


@when("availability zone {zone} is cut off from the others")
def step_cut(context, zone):
    others = [name for name in context.sim.zones if name != zone]
    context.sim.cuts = {frozenset((zone, other)) for other in others}


@when("the partition of the membership ends")
def step_heal(context):
    context.sim.cuts.clear()


@when("{duration:g} seconds of membership pass")
def step_run(context, duration):
    context.sim.run_for(duration)


@then("{zone} and the others see each other lost and their own alive")
def step_check_partition(context, zone):
    for observer in context.sim.vms:
        for record in context.sim.view(observer).values():
            is_cut = (record.availability_zone == zone) != observer.startswith(zone)
            expected = VmState.LOST if is_cut else VmState.ALIVE
            assert record.state is expected, (observer, record)


@then("all views are correct")
def step_check_views(context):
    assert not context.sim.find_wrong_views(), context.sim.find_wrong_views()[:5]


@when("{vm} runs version {version:d} and the next summary of {zone} to {other} is lost")
def step_lose_summary(context, vm, version, zone, other):
    sim = context.sim
    sim.vms[vm].record = attrs.evolve(sim.vms[vm].record, catalogue_version=version)
    lost = []

    def drop(source, target, event):
        if source.startswith(zone) and target.startswith(other) and not lost:
            lost.extend(
                summary
                for summary in getattr(event, "summaries", ())
                if any(item.record.vm == vm for item in summary.members)
            )
            return bool(lost)
        return False

    sim.drop = drop
    sim.run_for(1.2)
    assert lost


@when("{vm} begins to leave")
def step_leave(context, vm):
    item = context.sim.vms[vm]
    item.record = attrs.evolve(item.record, state=VmState.LEAVING)


@then("all VMs of the availability zones with a VM in the settings are known")
def step_check_known(context):
    expected = {vm for vm in context.sim.vms if not vm.startswith("zone2")}
    for observer in context.sim.running():
        view = context.sim.view(observer)
        assert expected <= set(view), (observer, sorted(view))


@then("neither a late heartbeat nor a late summary brings back an old incarnation")
def step_check_late(context):
    sim = make_simulation(2, 2)
    settings = {vm: attrs.evolve(item.record, incarnation="") for vm, item in sim.vms.items()}
    state = make_membership("zone0-01", settings, timedelta(0))
    second = timedelta(seconds=1)

    def stated(vm, incarnation, started):
        return StatedRecord(attrs.evolve(settings[vm], incarnation=incarnation), started)

    for vm in ("zone0-02", "zone1-02"):
        old, new = stated(vm, "old", -9 * second), stated(vm, "new", second)
        # The last one was delayed so long that it seems to come from a newer process.
        late = stated(vm, "old", 2 * second)
        sent = [(old, 9 * second), (new, second), (old, 12 * second), (late, 13 * second)]
        for number, (item, uptime) in enumerate(sent):
            summary = Summary("zone1", "zone1-01", "x", number, True, (item,))
            event = HeartbeatArrived(item, uptime)
            if vm == "zone1-02":
                event = DigestArrived("zone1-01", (summary,))
            apply_event(state, event, 2 * second)
        assert state.members[vm].record.incarnation == "new"
        # This VM has never seen this incarnation; only its start shows that it is older.
        apply_event(state, HeartbeatArrived(stated(vm, "older", -second), second), 2 * second)
        assert state.members[vm].record.incarnation == "new"


@when("{vm} can't reach any other VM")
def step_isolate_vm(context, vm):
    context.sim.cuts = {frozenset((vm, other)) for other in context.sim.vms if other != vm}
    context.isolated_vm = vm


@then("{vm} and the other VMs see each other lost")
def step_check_isolated(context, vm):
    for observer in context.sim.vms:
        for record in context.sim.view(observer).values():
            is_apart = (record.vm == vm) != (observer == vm)
            expected = VmState.LOST if is_apart else VmState.ALIVE
            assert record.state is expected, (observer, record)


@then("a heartbeat that was sent before another one is ignored after it")
def step_check_late_heartbeat(context):
    sim = make_simulation(1, 2)
    state = sim.vms["zone0-01"].membership
    record = sim.vms["zone0-02"].record
    for version, uptime in ((1, 4), (2, 5), (1, 4.5)):
        stated = StatedRecord(attrs.evolve(record, catalogue_version=version), timedelta(0))
        event = HeartbeatArrived(stated, timedelta(seconds=uptime))
        apply_event(state, event, timedelta(seconds=6))
    assert state.members["zone0-02"].record.catalogue_version == 2


@then("a summary of changes is a gap after the summary of another delegate")
def step_check_sources(context):
    state = make_simulation(2, 2).vms["zone0-01"].membership
    steps = (("01", 4, True), ("02", 9, True), ("01", 5, False), ("01", 6, True), ("01", 7, False))
    asked = []
    for number, sequence, is_whole in steps:
        source = f"zone1-{number}"
        summary = Summary("zone1", source, f"{source}-process", sequence, is_whole)
        effects = apply_event(state, DigestArrived(source, (summary,)), timedelta(seconds=1))
        asked.append(any(isinstance(effect, RequestFullSummary) for effect in effects))
    assert asked == [False, False, True, False, False], asked


@then(
    "an ordinary VM sends and receives no more with {many:d} VMs"
    " in its availability zone than with {few:d}"
)
def step_check_traffic(context, many, few):
    rates = []
    for count in (few, many):
        sim = make_simulation(3, count)
        sim.run_for(6)
        sim.is_counting = True
        sim.run_for(10)
        rates.append(sim.bytes["zone0-05"] / 10)
    assert rates[1] <= rates[0] * 1.02, rates


@then("only state, uptime and time of measurement of a record differ as seen from another VM")
def step_check_seen_record(context):
    # Each field has a value other than its default, so that a field that isn't copied is detected.
    places = {"vm": "a", "availability_zone": "b", "region": "c", "incarnation": "d"}
    names = ("callers", "peers", "backend_servers")
    addresses = {name: Address("127.0.0.1", port) for port, name in enumerate(names, start=1)}
    loads = {"free_slots": {"s": 1}, "total_slots": {"s": 2}, "offered_per_second": {"s": 3}}
    record = VmRecord(**places, **addresses, **loads, catalogue_version=7)
    others = {"state": VmState.SUSPECTED, "uptime_s": 5, "measured": timedelta(seconds=4)}
    given = {*places, *addresses, *loads, *others, "catalogue_version"}
    assert given == {field.name for field in attrs.fields(VmRecord)}
    assert make_observed_record(record, **others) == attrs.evolve(record, **others)
