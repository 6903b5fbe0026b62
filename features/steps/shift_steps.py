"""Steps for the shift controller, with a model of cached lookups and delayed measurements."""

import itertools
from datetime import timedelta

import attrs
from behave import given, step, then, when

from camphorspread.process.shift import TARGET_UTILISATION, RegionLoad, ShiftState, step_shift
from camphorspread.version.catalogue import ServiceClass, ServiceEntry

LAG_S = 2
TTL_S = 5
TOLERANCE = 1e-9


@attrs.define
class ShiftModel:
    """Simulates a home region, another region and their callers, second by second."""

    home_slots: int
    load: float
    other_slots: int = 0
    per_slot: float = 0.0
    cap: int = 0
    lease_runs: bool = True
    state: ShiftState = attrs.field(factory=ShiftState)
    second: int = 0
    fractions: list[float] = attrs.field(factory=list)
    arrived: list[float] = attrs.field(factory=list)
    measured_until: int | None = None
    is_lost: bool = False
    is_drained: bool = False

    def entry(self) -> ServiceEntry:
        return ServiceEntry(
            "status-svc",
            "water platform",
            ServiceClass.INTERACTIVE,
            self.cap,
            1000,
            lookup_ttl_ms=TTL_S * 1000,
        )

    def advance(self) -> None:
        """Advance one second: a fifth of the callers renew their lookup, then a step is decided."""
        recent = self.fractions[-TTL_S:]
        padded = [0.0] * (TTL_S - len(recent)) + recent
        self.arrived.append(sum(padded) / TTL_S)
        measured = self.second if self.measured_until is None else self.measured_until
        arrived = self.arrived[max(min(measured - LAG_S, len(self.arrived) - 1), 0)]
        age = timedelta(seconds=self.second - measured + 1)
        remaining = 0.0 if self.is_lost else self.load * (1 - arrived)
        home = RegionLoad(
            "sofia",
            self.home_slots,
            round(min(remaining, self.home_slots)),
            remaining * self.per_slot,
            age,
            self.is_lost,
            self.is_drained,
        )
        other = RegionLoad("varna", self.other_slots, round(self.load * arrived), 0.0, age)
        now = timedelta(seconds=self.second)
        step_shift(self.state, self.entry(), home, [other], now, self.lease_runs)
        self.fractions.append(self.state.fraction)
        self.second += 1

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.advance()


@given("a home region with {slots:d} slots and load for {load:d} slots")
def step_home(context, slots, load):
    context.shift = ShiftModel(slots, load)


@given("another region with {slots:d} slots and load for 0 slots")
def step_other(context, slots):
    context.shift.other_slots = slots


@given("a shift cap of {cap:d} requests a second at {rate:d} requests a second for each slot")
def step_cap(context, cap, rate):
    context.shift.cap = cap
    context.shift.per_slot = rate


@given("the catalogue lease has ended")
def step_lease_ended(context):
    context.shift.lease_runs = False


@when("the shift controller runs for {seconds:d} seconds")
def step_run(context, seconds):
    context.shift.run(seconds)


@step("measurements stop for {seconds:d} seconds")
@step("measurements stop for {seconds:d} more seconds")
def step_stop_measurements(context, seconds):
    shift = context.shift
    if shift.measured_until is None:
        shift.measured_until = shift.second
        context.mark = len(shift.fractions) - 1
    shift.run(seconds)


@when("the home region is lost for {seconds:d} seconds")
def step_lose(context, seconds):
    context.shift.is_lost = True
    context.shift.run(seconds)


@when("the home region returns and the shift controller runs for {seconds:d} seconds")
def step_return(context, seconds):
    context.mark = len(context.shift.fractions) - 1
    context.shift.is_lost = False
    context.shift.run(seconds)


@when("the home region is drained and the shift controller runs for {seconds:d} seconds")
def step_drain(context, seconds):
    context.shift.is_drained = True
    context.shift.run(seconds)


@then("the moved fraction never falls")
def step_never_falls(context):
    fractions = context.shift.fractions
    for earlier, later in itertools.pairwise(fractions):
        assert later >= earlier - TOLERANCE, fractions


@then("the moved fraction ends between {low:f} and {high:f}")
def step_ends_between(context, low, high):
    fraction = context.shift.fractions[-1]
    assert low - TOLERANCE <= fraction <= high + TOLERANCE, context.shift.fractions


@then("the load of the other region never exceeds its target")
def step_other_load(context):
    shift = context.shift
    most = max(shift.arrived) * shift.load
    assert most <= TARGET_UTILISATION * shift.other_slots + 1, most


@then("the shifted requests never exceed the cap")
def step_under_cap(context):
    shift = context.shift
    most = max(shift.fractions) * shift.load * shift.per_slot
    assert most <= shift.cap + TOLERANCE, most


@then("the moved fraction hasn't changed")
def step_unchanged(context):
    fractions = context.shift.fractions[context.mark :]
    assert len(set(fractions)) == 1, fractions


@then("the moved fraction is 1")
def step_all_moved(context):
    assert abs(context.shift.fractions[-1] - 1) < TOLERANCE


@then("the moved fraction fell by at most 0.1 in each step and is 0")
def step_fell(context):
    fractions = context.shift.fractions[context.mark :]
    for earlier, later in itertools.pairwise(fractions):
        assert -TOLERANCE <= earlier - later <= 0.1 + TOLERANCE, fractions
    assert fractions[0] > 0
    assert fractions[-1] == 0, fractions
