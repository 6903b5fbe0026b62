"""Speeds of their machines that backend servers report.

A machine may be slow for a fraction of a second. A report can only make its server less attractive,
and its weight decreases with its age, so that VMs don't all move to the same servers.
"""

from datetime import timedelta

from camphorspread.process.instances import Instance
from camphorspread.process.server_statements import ServerStatements
from camphorspread.request.placement_board import PlacementBoard, ServiceWork

__all__ = ["find_slow_factor", "is_slow_now", "record_speed"]

# A report has no weight from this age on. Slow phases last about 0.6 s, and a report comes from
# any moment of them.
SPEED_TTL_S = 0.6
SPEED_TTL = timedelta(seconds=SPEED_TTL_S)
# A new report counts with this weight. With the full weight, reports that were a second old made
# 0.5 percent fewer requests be on time than no reports; true ones gained hardly more.
SPEED_WEIGHT = 0.5
# A higher reported factor counts as this one.
MAX_SLOW_FACTOR = 5.0
# Runs that end while the server reports a higher factor are left out of the learned run times.
LEARNING_LIMIT = 1.2
# Step of the typical speed with each report. It follows the median of the reports, so that servers
# that always report the same aren't taken for slow.
TYPICAL_STEP = 0.01
MAX_TYPICAL_SPEED = 100.0


def record_speed(
    board: PlacementBoard, instance: Instance, speed: float | None, now: timedelta
) -> None:
    """Record the speed that a server reports, which enables the use of speeds for its service.

    Args:
        board: State of servers and VMs.
        instance: The server.
        speed: How long work takes there, 1.0 for as long as usual; None if it reports none.
        now: Current monotonic time.
    """
    stated = instance.stated
    if speed is None:
        stated.slow_factor = 1.0
        return
    work = board.work.get(instance.report.service)
    if work is None:
        work = board.work[instance.report.service] = ServiceWork()
    work.speed_reports += 1
    work.speed_reported_at = now
    step = TYPICAL_STEP if speed > work.typical_speed else -TYPICAL_STEP
    work.typical_speed = min(max(work.typical_speed * (1.0 + step), 1.0), MAX_TYPICAL_SPEED)
    # A tolerance of one step keeps a server of typical speed from counting as slow.
    factor = speed / (work.typical_speed * (1.0 + 2 * TYPICAL_STEP))
    stated.slow_factor = min(max(factor, 1.0), MAX_SLOW_FACTOR)
    stated.speed_at = now


def find_slow_factor(stated: ServerStatements, now: timedelta) -> float:
    """Return the factor by which runs are expected to take longer at a server, at least 1."""
    if stated.slow_factor == 1.0:
        return 1.0
    age = now - stated.speed_at
    if age >= SPEED_TTL:
        return 1.0
    weight = SPEED_WEIGHT * (1.0 - age.total_seconds() / SPEED_TTL_S)
    return 1.0 + (stated.slow_factor - 1.0) * weight


def is_slow_now(stated: ServerStatements, now: timedelta) -> bool:
    """Return True if a run that ends now says little about the usual run times."""
    return now == stated.speed_at and stated.slow_factor > LEARNING_LIMIT
