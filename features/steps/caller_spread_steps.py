"""Steps for the choice of entry VMs for callers."""

import random
from datetime import timedelta

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.caller_spread import CallerSpread, choose_entry_vms, update_fractions
from camphorspread.process.entry_vms import EntryVm

REGION = "londres"
# Callers use a lookup response for this long, and reported rates are means over some seconds.
STEP_S = 2.0
CALLERS_PER_ZONE = 40


def make_vm(name, zone, region=REGION):
    address = Address(name, 1)
    return EntryVm(name, 1, zone, region, address, address)


@given(
    "zones of one region with {first:d}, {second:d} and {third:d} entry VMs whose callers send "
    "{rate:g} requests a second each"
)
def step_zones(context, first, second, third, rate):
    context.rate, context.spread = rate, CallerSpread()
    context.vms = [
        make_vm(f"vm-{zone}-{number}", f"zone-{zone}")
        for zone, count in enumerate((first, second, third), start=1)
        for number in range(1, count + 1)
    ]
    context.far = make_vm("far-1", "zone-9", "paris")


def choose_vms(context, zone, draw=0.5):
    known = [*context.vms, context.far]
    return choose_entry_vms(context.spread, known, f"zone-{zone}", REGION, draw)


@when("callers repeat their lookups for {seconds:g} s")
def step_ask(context, seconds):
    rng = random.Random(5)
    context.history, context.named = [], []
    for _ in range(int(seconds / STEP_S)):
        rates = {vm.vm: 0.0 for vm in context.vms}
        for zone in (1, 2, 3):
            for _ in range(CALLERS_PER_ZONE):
                named = choose_vms(context, zone, rng.random())
                context.named.append((zone, {address.host for address in named}))
                for address in named:
                    rates[address.host] += context.rate / len(named) / CALLERS_PER_ZONE
        for vm in context.vms:
            # Half of the weight stays with the old rate: some callers still use an older response.
            vm.caller_rate += (rates[vm.vm] - vm.caller_rate) * 0.5
        update_fractions(context.spread, context.vms, timedelta(seconds=STEP_S))
        context.history.append({vm.vm: vm.caller_rate for vm in context.vms})


@then("no entry VM gets more than {factor:g} times the mean of the region after {seconds:g} s")
def step_even(context, factor, seconds):
    for rates in context.history[int(seconds / STEP_S) :]:
        mean = sum(rates.values()) / len(rates)
        assert max(rates.values()) <= factor * mean, rates


@then("without spreading one would get {factor:g} times the mean")
def step_uneven(context, factor):
    counts = [
        sum(vm.availability_zone == f"zone-{zone}" for vm in context.vms) for zone in (1, 2, 3)
    ]
    mean = 3 * context.rate / len(context.vms)
    assert context.rate / min(counts) >= (factor - 0.01) * mean


@then("every caller is sent to its own zone")
def step_own(context):
    for zone, hosts in context.named:
        assert all(host.startswith(f"vm-{zone}-") for host in hosts), (zone, hosts)


@when("the VMs of {lost} are lost")
def step_lost(context, lost):
    last = 3 if lost.startswith("zones") else 1
    context.vms = [vm for vm in context.vms if int(vm.availability_zone[-1]) > last]


@then("callers of zone 1 are sent to {names}")
def step_names(context, names):
    assert [address.host for address in choose_vms(context, 1)] == names.split()
