"""Remaining work at backend servers: expected ends of runs, and the wait for a free slot.

This VM knows the age of its own runs. Of the requests of other VMs it knows only their number, so
they count with the mean run time.
"""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.request.placement_board import ServiceWork
from camphorspread.request.run_distribution import (
    RunDistribution,
    expect_remaining_s,
    record_run,
)
from camphorspread.request.server_speed import find_slow_factor

__all__ = ["estimate_slot_wait_s", "find_distribution", "learn_run", "measure_work"]

# Kinds of runs whose times are kept for a service; those that weren't seen for longest are dropped.
MAX_KINDS = 64
# With fewer runs, the distribution isn't used.
MIN_RUNS = 20
# A long run counts as this many runs of mean length at most where servers have free slots, so that
# it breaks ties only.
MAX_RUN_WORK = 3.0
MIN_MEAN_S = 0.001


def find_distribution(work: ServiceWork, route: str, is_warm: bool) -> RunDistribution | None:
    """Return the distribution of a kind of runs, None if it has too few of them."""
    distribution = work.runs.get((route, is_warm))
    return None if distribution is None or distribution.runs < MIN_RUNS else distribution


def learn_run(work: ServiceWork, route: str, is_warm: bool, run_s: float) -> None:
    """Record the time of a run that the server didn't queue, in seconds."""
    key = (route, is_warm)
    distribution = work.runs.get(key)
    if distribution is None:
        if len(work.runs) >= MAX_KINDS:
            work.runs.popitem(last=False)
        distribution = work.runs[key] = RunDistribution()
    else:
        work.runs.move_to_end(key)
    record_run(distribution, run_s)


def list_remaining_s(
    work: ServiceWork, instance: Instance, mean_s: float, now: timedelta
) -> list[float]:
    """Return the expected remaining time of each run of this VM at a server, in seconds.

    A run counts with the mean run time until it has lasted longer than the mean of its kind.
    Waits estimated from the age of every run, rather than of the long ones, made requests leave
    the servers that know their objects.
    """
    remaining = []
    for run, started in instance.runs.items():
        distribution = find_distribution(work, run.route, run.is_warm)
        rest_s = mean_s
        if distribution is not None:
            age_s = (now - started).total_seconds()
            if age_s > distribution.mean_s:
                rest_s = max(expect_remaining_s(distribution, age_s), mean_s)
        remaining.append(rest_s)
    return remaining


def measure_work(work: ServiceWork, instance: Instance, mean_s: float, now: timedelta) -> float:
    """Return the remaining work at a server, in runs of mean length."""
    busy = instance.count_busy(now)
    if not instance.runs:
        return float(busy)
    mean_s = max(mean_s, MIN_MEAN_S)
    own = list_remaining_s(work, instance, mean_s, now)
    return max(busy - len(own), 0) + sum(min(item / mean_s, MAX_RUN_WORK) for item in own)


def estimate_slot_wait_s(
    work: ServiceWork,
    instance: Instance,
    mean_s: float,
    most: int,
    queued: int,
    now: timedelta,
) -> float:
    """Return the expected wait for a slot of a server that has no free one, in seconds.

    Slots become free at the sum of the rates at which the runs are expected to end. If this VM
    uses its share of the slots, only the ends of its own runs count.

    Args:
        work: What is known about the runs of the service.
        instance: The server.
        mean_s: Mean run time.
        most: Requests that this VM may have in flight to it.
        queued: Requests of this VM that wait for the server already.
        now: Current monotonic time.
    """
    slots = instance.report.slots
    mean_s = max(mean_s, MIN_MEAN_S)
    factor = find_slow_factor(instance.stated, now)
    if not instance.runs:
        return (queued + 1) * mean_s / slots * factor
    own = list_remaining_s(work, instance, mean_s, now)[:slots]
    rate = sum(1.0 / item for item in own)
    if instance.in_flight < most or instance.count_busy(now) >= slots:
        rate += (slots - len(own)) / mean_s
    return (queued + 1) / rate * factor
