"""Steps of the fault soak."""

import asyncio
import tempfile
from pathlib import Path

import attrs
from behave import given, then, when

from soak.faults import FAULTS
from soak.guarantees import CallerResponse, ConfigurationRead, Observations, find_violations
from soak.run import run_seed

# Only ends a run that hangs; the recovery time is measured by hand on an idle machine.
HANG_LIMIT_S = 180
# Drains are left out, because a busy machine can miss their time limit.
KINDS_WITHOUT_TIME_LIMIT = tuple(kind for kind in FAULTS if kind != "drain")


@when("a soak with seed {seed:d} injects faults for {seconds:g} s")
def step_soak(context, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        work = run_seed(seed, seconds, Path(folder), HANG_LIMIT_S, KINDS_WITHOUT_TIME_LIMIT)
        context.violations = asyncio.run(work)


@then("no guarantee was violated")
def step_no_violation(context):
    assert not context.violations, context.violations


def make_valid_observations():
    """Return observations of a run that violates no guarantee."""
    return Observations(
        responses=[CallerResponse("q1", False, 200, b"s-1 /file/x 4", 1.0)],
        runs=[("q1", "s-1", 0.9)],
        complete_bodies={("q1", "s-1"): b"s-1 /file/x 4"},
        accepted_at={1: 0.0, 3: 5.0},
        sent={1: {"version": "r1"}, 3: {"version": "r3"}},
        reads=[ConfigurationRead(4.0, 1), ConfigurationRead(9.0, 3)],
        final_configuration={"version": "r3"},
    )


@given("a soak that observed {what}")
def step_observed(context, what):
    seen = context.seen = make_valid_observations()
    match what:
        case "a request that may run once and ran twice":
            seen.runs.append(("q1", "s-2", 1.0))
        case "a read that ran twice":
            seen.responses[0] = attrs.evolve(seen.responses[0], is_idempotent=True)
            seen.runs.append(("q1", "s-2", 1.0))
        case "a refused request that ran":
            seen.responses[0] = attrs.evolve(seen.responses[0], status=503)
        case "half a body":
            seen.responses[0] = attrs.evolve(seen.responses[0], body=b"s-1 /fi")
        case "a request at a server that left 3 s before":
            seen.left_at["s-1"] = 0.9 - 3
        case "a request at a server that left 2 s before":
            seen.left_at["s-1"] = 0.9 - 2
        case "an accepted revision that is lost at the end":
            seen.final_configuration = {"version": "r1"}
        case "a revision in force with other content":
            seen.final_configuration = {"version": "r3", "routes": []}
        case "a read of an older revision":
            seen.reads.append(ConfigurationRead(9.0, 1))


@then("it reports {count:d} violated guarantees")
def step_reports(context, count):
    assert len(find_violations(context.seen)) == count, find_violations(context.seen)
