"""Steps for admission under scarce capacity."""

from behave import then, when

from features.fixtures.golden import compare_with_golden
from features.fixtures.recorded_decisions import digest_region, digest_vm

SEEDS = (11, 12)


@when("seeded runs of one VM and of a region get more requests than they have capacity for")
def step_seeded_runs(context):
    context.digests = [
        *(f"vm, one priority, seed {seed}: {digest_vm((1,), seed)}" for seed in SEEDS),
        *(f"vm, three priorities, seed {seed}: {digest_vm((1, 0, 2), seed)}" for seed in SEEDS),
        *(f"region, one priority, seed {seed}: {digest_region(seed)}" for seed in SEEDS),
    ]


@then("their decisions are the recorded ones")
def step_recorded(context):
    compare_with_golden("placement_decisions.txt", "\n".join(context.digests) + "\n")
