"""Decaying distributions of run times in logarithmic buckets.

A few requests take several times as long as others that look alike. The mean of all runs says
little about a run that has already lasted for some time, so the distribution is kept.
"""

import math

import attrs

__all__ = [
    "RunDistribution",
    "expect_remaining_s",
    "find_percentile_s",
    "record_run",
]

# Each bucket is longer by this factor, so that a value is known to about 15 percent.
BUCKET_RATIO = 1.15
SHORTEST_S = 0.001
# The longest bucket begins at about ten minutes.
BUCKETS = 97
LOG_RATIO = math.log(BUCKET_RATIO)
MIDDLES_S = tuple(SHORTEST_S * BUCKET_RATIO ** (number - 0.5) for number in range(BUCKETS))
ENDS_S = tuple(SHORTEST_S * BUCKET_RATIO**number for number in range(BUCKETS))
# Weight of the newest run in proportion to all: the 3 percent of very long runs need some hundred
# observations.
DECAY = 1.0 / 600.0
MAX_WEIGHT = 1e12
# The sums over the buckets are computed again after this number of runs.
RUNS_PER_SUM = 32
# Ages that fewer runs than this have reached, in weights of the newest run, are beyond the
# distribution. The expected rest is then in proportion to the age, as for a heavy tail.
MIN_SURVIVORS = 0.5
BEYOND_FRACTION = 0.5


@attrs.define(eq=False)
class RunDistribution:
    """Run times of one kind of runs.

    Older runs lose weight with each newer one: the weight of the next run grows instead, which
    needs no pass over the buckets.

    Attributes:
        weights: Weight of the runs in each bucket.
        next_weight: Weight of the next run.
        runs: Number of recorded runs.
        sums_due: Number of runs at which the following sums are to be computed again.
        counts_from: Weight of the runs in each bucket and all longer ones.
        times_from: Weighted sum of their times, in seconds.
        mean_s: Mean run time in seconds, 0 without runs.
    """

    weights: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    next_weight: float = 1.0
    runs: int = 0
    sums_due: int = 0
    counts_from: list[float] = attrs.field(factory=lambda: [0.0] * (BUCKETS + 1))
    times_from: list[float] = attrs.field(factory=lambda: [0.0] * (BUCKETS + 1))
    mean_s: float = 0.0


def find_bucket(run_s: float) -> int:
    """Return the bucket of a time in seconds."""
    if run_s <= SHORTEST_S:
        return 0
    return min(math.ceil(math.log(run_s / SHORTEST_S) / LOG_RATIO), BUCKETS - 1)


def record_run(distribution: RunDistribution, run_s: float) -> None:
    """Record the time of a run in seconds."""
    distribution.weights[find_bucket(run_s)] += distribution.next_weight
    distribution.runs += 1
    distribution.next_weight *= 1.0 + DECAY
    if distribution.next_weight > MAX_WEIGHT:
        distribution.weights = [item / MAX_WEIGHT for item in distribution.weights]
        distribution.next_weight /= MAX_WEIGHT
        distribution.sums_due = 0
    if distribution.runs >= distribution.sums_due:
        update_sums(distribution)


def update_sums(distribution: RunDistribution) -> None:
    """Compute the sums over the buckets again."""
    count = time = 0.0
    counts, times = [0.0] * (BUCKETS + 1), [0.0] * (BUCKETS + 1)
    for number in range(BUCKETS - 1, -1, -1):
        weight = distribution.weights[number]
        count += weight
        time += weight * MIDDLES_S[number]
        counts[number], times[number] = count, time
    distribution.counts_from, distribution.times_from = counts, times
    distribution.mean_s = time / count
    distribution.sums_due = distribution.runs + min(RUNS_PER_SUM, max(distribution.runs // 4, 1))


def expect_remaining_s(distribution: RunDistribution, age_s: float) -> float:
    """Return how much longer a run of some age is expected to take, in seconds.

    Examples:
        >>> distribution = RunDistribution()
        >>> for run_s in (0.7,) * 3 + (0.1,) * 97: record_run(distribution, run_s)
        >>> round(expect_remaining_s(distribution, 0.0), 1)
        0.1
        >>> round(expect_remaining_s(distribution, 0.3), 1)
        0.4

    Args:
        distribution: Times of runs of its kind.
        age_s: For how long it has run, in seconds.

    Returns:
        Zero if no run has been recorded.
    """
    counts = distribution.counts_from
    if not counts[0]:
        return 0.0
    bucket = find_bucket(age_s)
    # Of the runs in the bucket of the age itself, half have ended already, and the others end
    # evenly until the end of the bucket.
    partial = (counts[bucket] - counts[bucket + 1]) / 2
    count = counts[bucket + 1] + partial
    if count < MIN_SURVIVORS * distribution.next_weight:
        return max(distribution.mean_s, age_s * BEYOND_FRACTION)
    rest_s = distribution.times_from[bucket + 1] - counts[bucket + 1] * age_s
    return (rest_s + partial * max(ENDS_S[bucket] - age_s, 0.0) / 2) / count


def find_percentile_s(distribution: RunDistribution, fraction: float) -> float:
    """Return the time in seconds within which a fraction of the runs ended, zero without runs."""
    counts = distribution.counts_from
    longer = counts[0] * (1.0 - fraction)
    for number in range(BUCKETS):
        if counts[number + 1] <= longer:
            return ENDS_S[number] if counts[0] else 0.0
    return ENDS_S[-1]
