"""Steps for the division of the fleet's retry budget among entry VMs."""

import bisect
import random
from datetime import timedelta
from types import SimpleNamespace

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.live_vms import find_retry_share, hold_live_vms, record_listed_vms
from camphorspread.process.poll_times import poll_hold
from camphorspread.process.steering_state import ControlVm
from camphorspread.process.vm_poll import RETRY_INTERVAL
from camphorspread.request.fleet_retry_budget import (
    FleetRetryBudget,
    record_first_send,
    try_fleet_retry,
)

STEP_MS = 50
STEP = timedelta(milliseconds=STEP_MS)
WINDOW = timedelta(seconds=10)
RATIO, SLACK = 0.2, 156
# Enough for repeats within the ratio, so that the slack is used as well.
REQUESTS_PER_STEP = 1
RATE = REQUESTS_PER_STEP / STEP.total_seconds()
NOWHERE = Address("0.0.0.0", 1)
# A control VM drops an entry VM from its list once it has been silent for this long.
DEAD_AFTER = timedelta(seconds=3)
SERVICE = "s"


@attrs.define(eq=False)
class SimulatedVm:
    """An entry VM that polls the control VMs and repeats as often as it may.

    Attributes:
        state: The part of the VM's state on which the budget depends.
        polls_at: When it next polls each control VM.
        is_cut: True if it reaches no control VM.
    """

    state: SimpleNamespace
    polls_at: dict[int, timedelta]
    is_cut: bool = False


@attrs.define(eq=False)
class SimulatedFleet:
    """Entry VMs and control VMs.

    Attributes:
        vms: Live entry VMs by name.
        lists: For each live control VM, when each entry VM last polled it.
        away: Control VMs that don't respond.
        repeats: When the fleet sent each repeat, in seconds.
        requests: When callers sent each request, in seconds.
    """

    vms: dict[str, SimulatedVm]
    lists: dict[int, dict[str, timedelta]]
    rng: random.Random
    now: timedelta = timedelta(0)
    away: bool = False
    is_repeating: bool = False
    repeats: list = attrs.field(factory=list)
    requests: list = attrs.field(factory=list)

    def start(self, name: str) -> None:
        """Start an entry VM, or start it anew."""
        budget = FleetRetryBudget(RATIO, WINDOW, SLACK)
        state = SimpleNamespace(
            board=SimpleNamespace(peers={}),
            retry_budget=budget,
            first_listed_at=None,
            last_report_at=None,
            held_vms=frozenset(),
        )
        polls = {number: self.now + self.pick_delay() for number in self.lists}
        self.vms[name] = SimulatedVm(state, polls)

    def pick_delay(self) -> timedelta:
        """Return the random delay of a poll."""
        return timedelta(seconds=self.rng.uniform(0.05, 0.25))

    def poll(self, name: str, vm: SimulatedVm, number: int) -> None:
        """Let an entry VM poll a control VM, which lists those that polled it recently."""
        if self.away or vm.is_cut:
            vm.polls_at[number] = self.now + RETRY_INTERVAL
            return
        known = self.lists[number]
        known[name] = self.now
        listed = [other for other, at in known.items() if self.now - at < DEAD_AFTER]
        control = ControlVm(NOWHERE, listed_vms=frozenset(listed) - {name})
        control.fleet_list_version = "1"
        for other in control.listed_vms:
            vm.state.board.peers.setdefault(other, EntryVm(other, 1, "a", "r", NOWHERE, NOWHERE))
        record_listed_vms(vm.state, control, self.now)
        # A changed list is reported at once, any other response after the time of the poll.
        is_new = len(listed) < len(self.vms)
        delay = timedelta(0) if is_new else poll_hold(len(self.lists))
        vm.polls_at[number] = self.now + delay + self.pick_delay()

    def step(self) -> None:
        """Let one step pass."""
        self.now += STEP
        for name, vm in self.vms.items():
            for number, at in vm.polls_at.items():
                if self.now >= at:
                    self.poll(name, vm, number)
            hold_live_vms(vm.state, poll_hold(len(self.lists)), self.now)
            budget = vm.state.retry_budget
            for _ in range(REQUESTS_PER_STEP):
                record_first_send(budget, SERVICE, self.now)
                self.requests.append(self.now.total_seconds())
            while self.is_repeating and try_fleet_retry(
                budget, SERVICE, find_retry_share(vm.state, self.now), self.now
            ):
                self.repeats.append(self.now.total_seconds())

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP.total_seconds())):
            self.step()


@given("{vms:d} entry VMs and {controls:d} control VMs that have run for {seconds:d} s")
def step_fleet(context, vms, controls, seconds):
    fleet = SimulatedFleet({}, {number: {} for number in range(controls)}, random.Random(7))
    for number in range(vms):
        fleet.start(f"vm-{number}")
    fleet.run(seconds)
    context.sim = fleet


@when("each VM repeats as often as it may, and nothing else happens")
def step_nothing(context):
    context.sim.is_repeating = True
    context.sim.run(30)


@when("each VM repeats as often as it may, and all control VMs are away for {seconds:g} s")
def step_away(context, seconds):
    fleet = context.sim
    fleet.is_repeating = True
    fleet.run(12)
    fleet.away = True
    fleet.run(seconds)
    fleet.away = False
    for known in fleet.lists.values():
        known.clear()
    fleet.run(25)


@when("each VM repeats as often as it may, and all entry VMs are started anew")
def step_restarted(context):
    restart_all(context, False)


@when("each VM repeats as often as it may, and all entry VMs are started anew, and all control VMs")
def step_all_restarted(context):
    restart_all(context, True)


def restart_all(context, with_controls):
    """Start all entry VMs anew, and the control VMs with empty lists."""
    fleet = context.sim
    fleet.is_repeating = True
    fleet.run(12)
    if with_controls:
        for known in fleet.lists.values():
            known.clear()
    for name in fleet.vms:
        fleet.start(name)
    fleet.run(25)


@when("each VM repeats as often as it may, and half of the entry VMs are killed")
def step_half_killed(context):
    fleet = context.sim
    fleet.is_repeating = True
    fleet.run(12)
    kill(fleet, len(fleet.vms) // 2)
    fleet.run(25)


def kill(fleet, count):
    """Kill some entry VMs, which the control VMs notice at once."""
    for name in list(fleet.vms)[:count]:
        del fleet.vms[name]
        for known in fleet.lists.values():
            known.pop(name, None)


@when(
    "each VM repeats as often as it may, and one entry VM can't reach the control VMs for "
    "{seconds:g} s"
)
def step_one_cut(context, seconds):
    fleet = context.sim
    fleet.is_repeating = True
    fleet.run(12)
    fleet.vms["vm-0"].is_cut = True
    fleet.run(seconds)
    fleet.vms["vm-0"].is_cut = False
    fleet.run(15)


def count_between(times, start, end):
    """Return how many of the sorted times are in an interval."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)


@then("in no {seconds:d} s the fleet repeats more than the budget allows")
def step_within_budget(context, seconds):
    fleet = context.sim
    assert fleet.repeats
    for end in sorted(set(fleet.repeats)):
        start = end - seconds
        repeats = count_between(fleet.repeats, start, end)
        requests = count_between(fleet.requests, start, end)
        assert repeats <= RATIO * requests + SLACK, (end, repeats, requests)


@then("in the first {seconds:d} s the fleet uses at least half of the slack")
def step_slack_used(context, seconds):
    fleet = context.sim
    first = fleet.repeats[0]
    repeats = count_between(fleet.repeats, first - STEP.total_seconds(), first + seconds)
    requests = count_between(fleet.requests, first - seconds, first)
    assert repeats >= 0.5 * (RATIO * requests + SLACK), (repeats, requests)


@when("{count:d} of the entry VMs are killed")
def step_killed(context, count):
    kill(context.sim, count)


@then(
    "the others divide the slack by {before:d} for {kept:d} s, and by {after:d} after {later:d} s"
)
def step_parts(context, before, kept, after, later):
    fleet = context.sim
    fleet.run(kept)
    assert count_parts(fleet) == {before}
    fleet.run(later - kept)
    assert count_parts(fleet) == {after}


def count_parts(fleet):
    """Return into how many parts the VMs divide the slack."""
    return {find_retry_share(vm.state, fleet.now).vms for vm in fleet.vms.values()}
