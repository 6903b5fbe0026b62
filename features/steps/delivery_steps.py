"""Steps for the delivery of the catalogue."""

import asyncio
import random
from collections import Counter
from datetime import timedelta

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.catalogue_poll import (
    ReplicaChoice,
    apply_poll_response,
    choose_replica,
    order_replicas,
)
from camphorspread.process.drain_watch import handle_sigterm
from camphorspread.process.events import Event
from camphorspread.process.fleet import FleetView, VmRecord
from camphorspread.process.region_share import compute_limits
from camphorspread.process.settings import ReplicaSettings
from camphorspread.version.catalogue import (
    AvailabilityZoneEntry,
    Catalogue,
    DrainEntry,
    DrainKind,
    RegionEntry,
)
from camphorspread.version.changes import ChangeRequest, PutDrain, PutRegion, apply_change
from camphorspread.version.codec import decode_deltas, encode, encode_deltas
from camphorspread.version.delivery import (
    Delivery,
    HoldPoll,
    Poll,
    RedirectToLeader,
    SendDeltas,
    SendFullCatalogue,
    apply_deltas,
    decide_poll,
    has_catalogue_lease,
    record_change,
)
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.shares import ShareKey, ShareKind

NOW = timedelta(seconds=100)
LEADER = ReplicaView("varna-1", True, NOW + timedelta(seconds=0.9), True)
FOLLOWER = ReplicaView("varna-1", current_as_of=NOW - timedelta(seconds=0.6))
VIEWS = {
    "a leader": LEADER,
    "a leader whose lease ended": attrs.evolve(LEADER, lease_end=NOW),
    "a leader without an entry of its term": attrs.evolve(LEADER, has_own_term_entry=False),
    "a follower": FOLLOWER,
    "a follower that heard 0.7 s ago": attrs.evolve(
        FOLLOWER, current_as_of=NOW - timedelta(seconds=0.7)
    ),
    "a follower that never heard": ReplicaView("varna-1"),
}


def make_change(version):
    return PutDrain(DrainEntry(DrainKind.VM, f"vm-{version % 7}", f"owner {version}"))


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given("a replica with the history of versions 4 to 9 that is {role}")
def step_make_replica(context, role):
    context.view = VIEWS[role]
    context.delivery = Delivery()
    for version in (1, 4, 5, 6, 7, 8, 9):
        record_change(context.delivery, version, make_change(version))


@when("an entry VM polls with version {version:d}")
def step_poll(context, version):
    poll = Poll("sofia-a-1", version)
    context.decision = decide_poll(context.delivery, 9, context.view, poll, NOW)


@then("the poll gets {result}")
def step_check_poll(context, result):
    match context.decision:
        case RedirectToLeader(leader=leader):
            actual = f"the leader {leader}" if leader else "no leader"
        case SendFullCatalogue():
            actual = "the whole catalogue"
        case SendDeltas(deltas=deltas):
            actual = f"versions {deltas[0].version} to {deltas[-1].version}"
            assert [item.version for item in deltas] == sorted(item.version for item in deltas)
        case HoldPoll():
            actual = "nothing"
    assert actual == result, actual


@then("its responses carry {lease}")
def step_check_lease(context, lease):
    assert has_catalogue_lease(context.view, NOW) == (lease == "a lease")


@then("with {count:d} seeds, polls to replicas with different lag never lower a version")
def step_check_versions(context, count):
    catalogues = [Catalogue()]
    for version in range(1, 60):
        catalogues.append(apply_change(catalogues[-1], make_change(version)))
    for seed in range(count):
        rng = random.Random(seed)
        replicas = [[0, Delivery()] for _ in range(3)]
        current = catalogues[0]
        for _ in range(150):
            replica = rng.choice(replicas)
            for _ in range(rng.randint(0, 3)):
                if replica[0] < 59:
                    replica[0] += 1
                    if rng.random() < 0.9:  # The other changes arrived in a snapshot.
                        record_change(replica[1], replica[0], make_change(replica[0]))
            asked = Poll("sofia-a-1", max(current.version - rng.choice((0, 0, 0, 2)), 0))
            before = current.version
            match decide_poll(replica[1], replica[0], LEADER, asked, NOW):
                case SendFullCatalogue():
                    if replica[0] > current.version:
                        current = catalogues[replica[0]]
                case SendDeltas(deltas=deltas):
                    current = apply_deltas(current, decode_deltas(encode_deltas(deltas)))
                    assert current.version >= replica[0]
            assert current.version >= max(before, min(replica[0], 59)), seed
            assert current == catalogues[current.version], seed


@then("replicas are chosen by distance, recent failures and the named leader")
def step_check_choice(context):
    address = Address("127.0.0.1", 1)
    places = {
        "varna-1": ("varna-a", "varna"),
        "sofia-b-1": ("sofia-b", "sofia"),
        "sofia-a-2": ("sofia-a", "sofia"),
        "sofia-a-1": ("sofia-a", "sofia"),
    }
    vms = {vm: VmRecord(vm, *place, address, address) for vm, place in places.items()}
    replicas = tuple(ReplicaSettings(vm, address, address) for vm in ("else", *places))
    choice = ReplicaChoice(order_replicas(replicas, FleetView("sofia-a-1", vms)))
    names = [item.vm for item in choice.replicas]
    assert names == ["sofia-a-1", "sofia-a-2", "sofia-b-1", "varna-1", "else"], names
    assert choose_replica(choice, NOW).vm == "sofia-a-1"
    choice.avoided_until = {"sofia-a-1": NOW + timedelta(seconds=1), "sofia-a-2": NOW}
    assert choose_replica(choice, NOW).vm == "sofia-a-2"
    choice.avoided_until = {vm: NOW + timedelta(seconds=9 - len(vm)) for vm in names}
    assert choose_replica(choice, NOW).vm == "sofia-a-1"
    choice.leader = "varna-1"
    assert choose_replica(choice, NOW).vm == "varna-1"
    assert choose_replica(choice, NOW).vm == "sofia-a-1"


@then(
    "of {vms:d} VMs at most {most:d} poll the same one of {count:d} equally distant replicas first"
)
def step_check_spread(context, vms, most, count):
    address = Address("127.0.0.1", 1)
    replicas = tuple(ReplicaSettings(f"far-{number}", address, address) for number in range(count))
    far = {item.vm: VmRecord(item.vm, "far-a", "far", address, address) for item in replicas}
    polled = Counter()
    for number in range(vms):
        own = VmRecord(f"near-{number}", "near-a", "near", address, address)
        fleet = FleetView(own.vm, {**far, own.vm: own})
        polled[order_replicas(replicas, fleet)[0].vm] += 1
    assert max(polled.values()) <= most, polled


def find_entry(context, vm):
    return next(item for item in context.fleet.entries if item.state.settings.place.vm == vm)


@when("{vm} is cut off from the control process")
def step_cut_off(context, vm):
    context.cut_off = find_entry(context, vm).state
    control = context.fleet.plan.replicas()[0].peers.host
    context.network.cut({context.cut_off.settings.peers.host}, {control})


@when("the network partition ends")
def step_end_partition(context):
    context.network.heal()


@then("its catalogue lease is running")
def step_check_running(context):
    assert context.cut_off.catalogue_lease_end > context.clock.monotonic()


def count_events(context, event):
    log = context.fleet.logs[context.cut_off.settings.place.vm].getvalue()
    return log.count(f'"number": {event.value},')


@then("its catalogue lease has ended, which was logged {count:d} time")
def step_check_ended(context, count):
    assert context.cut_off.catalogue_lease_end <= context.clock.monotonic()
    assert count_events(context, Event.CATALOGUE_LEASE_ENDED) == count


@then("it uses version {version:d} and the return of the lease was logged")
def step_check_returned(context, version):
    assert context.cut_off.catalogue.version == version
    assert count_events(context, Event.CATALOGUE_LEASE_RETURNED) == 1


@when("a delayed response with version {version:d} arrives")
def step_receive_old_version(context, version):
    state = context.cut_off
    old = encode(attrs.evolve(state.catalogue, version=version))
    apply_poll_response(state, ReplicaChoice(()), {"lease": True, "catalogue": old}, timedelta(0))


@then("{vm} is listed as {state}")
def step_check_listed(context, vm, state):
    address = context.fleet.plan.replicas()[0].operators
    response = run(context, context.fleet.link.call(address, "GET", "/v1/acknowledgements"))
    found = {item["vm"]: item for item in response.value["acknowledgements"]}
    assert found[vm]["state"] == state, found


def shift_amounts(context, service):
    key = ShareKey(ShareKind.SHIFT_CAP, "", service)
    now = context.clock.monotonic()
    return [item.state.held_shares.amount(key, now) for item in context.fleet.entries]


@then('the entry VMs hold the shift cap of "{service}" together')
def step_check_together(context, service):
    amounts = shift_amounts(context, service)
    assert sum(amounts) == 20, amounts
    assert min(amounts) > 0, amounts


@when("{vm} drains until it has ended")
def step_drain(context, vm):
    watch = find_entry(context, vm).drain_watch
    handle_sigterm(watch)
    assert run(context, asyncio.wait_for(asyncio.shield(watch.ended), 30)) == 0


@then('the other entry VMs hold the shift cap of "{service}" together')
def step_check_others_together(context, service):
    amounts = shift_amounts(context, service)
    assert amounts[0] == 0, amounts
    assert sum(amounts) == 20, amounts


@given("the operator limits sofia with its 2 VMs to {limit:d} requests in flight")
def step_limit_region(context, limit):
    zones = (
        AvailabilityZoneEntry("sofia-a", ("sofia-a-1",)),
        AvailabilityZoneEntry("sofia-b", ("sofia-b-1",)),
    )
    change = PutRegion(RegionEntry("sofia", "water", limit, zones))
    value = encode(ChangeRequest("limit-sofia", 0, "operator", change))
    address = context.fleet.plan.replicas()[0].operators
    response = run(
        context, context.fleet.link.call(address, "POST", "/v1/catalogue/changes", value)
    )
    assert response.status == 200, response


@then(
    "admission on the VMs of sofia allows {total:d} requests together"
    " and {alone:d} each without a lease"
)
def step_check_admission(context, total, alone):
    now = context.clock.monotonic()
    states = [find_entry(context, vm).state for vm in ("sofia-a-1", "sofia-b-1")]
    shares = [compute_limits(state, now).region_share for state in states]
    assert sum(shares) == total, shares
    later = now + timedelta(seconds=3)
    assert [compute_limits(state, later).region_share for state in states] == [alone, alone]
