"""Steps for the decisions on held memory."""

import itertools
from datetime import timedelta

from behave import given, then, when
from behave import step as any_step

from camphorspread.process.held_memory import (
    Accept,
    HeldKind,
    HeldMemory,
    Holding,
    ReadOn,
    Refuse,
    StopReading,
    expect_response,
    hold,
    judge_reading,
    judge_request,
    learn_response,
    note_refusal,
    release,
    take_pressure_change,
)


@given("a bound of {bound} bytes")
def step_bound(context, bound):
    context.memory = HeldMemory(None if bound == "no" else int(bound))


@any_step("{size:d} bytes are held for a request of rank {rank:d}")
def step_hold(context, size, rank):
    context.holding = Holding((0, rank))
    hold(context.memory, context.holding, HeldKind.BODY, size // 2)
    hold(context.memory, context.holding, HeldKind.UNSENT, size - size // 2)


@when("it holds {size:d} bytes instead")
def step_change(context, size):
    hold(context.memory, context.holding, HeldKind.BODY, 0)
    hold(context.memory, context.holding, HeldKind.UNSENT, size)


@when("it is released twice")
def step_release(context):
    release(context.memory, context.holding)
    release(context.memory, context.holding)


@then("a body of rank {rank:d} is {result}")
def step_reading(context, rank, result):
    expected = {"read on": ReadOn(), "not read": StopReading()}[result]
    assert judge_reading(context.memory, (0, rank)) == expected, context.memory


@then("a new request of rank {rank:d} is {result}")
def step_request(context, rank, result):
    expected = {"accepted": Accept(), "refused": Refuse()}[result]
    assert judge_request(context.memory, (0, rank)) == expected, context.memory


@then(
    "the retry times of {count:d} refusals are between {low:g} and {high:g} s and at least "
    "{distance:d} ms apart"
)
def step_retry_times(context, count, low, high, distance):
    times = sorted(note_refusal(context.memory) for _ in range(count))
    assert timedelta(seconds=low) <= times[0] <= times[-1] <= timedelta(seconds=high), times
    steps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(steps) >= timedelta(milliseconds=distance), steps


@then("{size:d} bytes are held")
def step_held(context, size):
    memory = context.memory
    sums = (memory.total, sum(memory.by_kind.values()), sum(memory.by_urgency.values()))
    assert sums == (size, size, size), memory
    assert len(memory.by_urgency) == (1 if size else 0), memory


@then('the reported pressures are "{expected}"')
def step_pressures(context, expected):
    reported = [take_pressure_change(context.memory) for _ in expected.split(", ")]
    found = ", ".join("-" if item is None else item.value for item in reported)
    assert found == expected, found


@when("{count:d} response of {size:d} bytes was received")
@when("{count:d} responses of {size:d} bytes were received")
def step_learn(context, count, size):
    for _ in range(count):
        learn_response(context.memory, size)


def measure_sent(memory):
    """Return what is counted for a request that is sent."""
    holding = Holding((0, 0))
    expect_response(memory, holding)
    size = memory.total
    release(memory, holding)
    return size


@then("a request that is sent counts {size:d} bytes")
def step_expected(context, size):
    assert measure_sent(context.memory) == size, measure_sent(context.memory)


@then("a request that is sent counts {low:d} to {high:d} bytes")
def step_expected_range(context, low, high):
    assert low <= measure_sent(context.memory) <= high, measure_sent(context.memory)
