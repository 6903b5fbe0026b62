"""How a limit should be divided among the entry VMs, in proportion to their demand.

The result is a target. It may be out of date, since grants are bounded by the reservations.
"""

import math
import zlib
from datetime import timedelta

import attrs

from camphorspread.process.quota_shares import MAX_SPARE_FACTOR, Pressure

__all__ = ["DEMAND_MARGIN", "Pool", "Target", "approach_target", "find_target", "set_demand"]

# A share is this multiple of a VM's demand, less if the limit is nearly used up. The margin covers
# the fluctuation of the demand until the next renewal.
DEMAND_MARGIN = 1.3
# While it is a larger multiple, a quarter of the limit stays free for VMs whose demand grows; while
# VMs have shares for their usual demand, an eighth. Of a small limit more stays free, since each VM
# needs a whole request.
SPARE_DIVISOR = 8
USUAL_SPARE_DIVISOR = 8
MIN_SPARE = 8
# Fraction that stays free also if more is wanted, for VMs that have nothing yet.
RESERVE_DIVISOR = 64
# Fraction of the way to its target that a share moves in one renewal while the limit is used up.
# The demand of a VM fluctuates: what a share loses is in use until the window has passed, and what
# it gains isn't free before.
TARGET_WEIGHT = 0.3
# The fractional part of a level is given to changing VMs, each for this time.
ROTATION_TIME = timedelta(seconds=10)


@attrs.define(eq=False)
class Pool:
    """Division of one organisation's limit.

    Attributes:
        unaccounted: What nobody had reported when the leader's term began.
        reserved: Sum of the reservations of all VMs.
        silent: Part of it of VMs that don't renew.
        demand: Demand in a window by VM, for VMs that have any.
        demand_sum: Sum of it.
        usual: Average demand in a window by VM, at least the present demand.
        usual_sum: Sum of it.
    """

    unaccounted: int = 0
    reserved: int = 0
    silent: int = 0
    demand: dict[str, int] = attrs.field(factory=dict)
    demand_sum: int = 0
    usual: dict[str, int] = attrs.field(factory=dict)
    usual_sum: int = 0


@attrs.frozen
class Target:
    """The share that a VM should get, and how much of the limit is in demand."""

    share: int
    pressure: Pressure


def set_demand(pool: Pool, vm: str, demand: int, usual: int) -> None:
    """Change the demand of a VM."""
    pool.demand_sum += demand - pool.demand.get(vm, 0)
    pool.usual_sum += usual - pool.usual.get(vm, 0)
    if usual:
        pool.demand[vm], pool.usual[vm] = demand, usual
    else:
        pool.demand.pop(vm, None)
        pool.usual.pop(vm, None)


def find_target(pool: Pool, vm: str, name: str, usable: int, now: timedelta) -> Target:
    """Return the share that a VM should get, whatever is free.

    Args:
        pool: State of the division.
        vm: Name of the VM.
        name: Name of the organisation.
        usable: Total to divide, without what processes that don't renew may have.
        now: Current instant.
    """
    demand, usual = pool.demand.get(vm, 0), pool.usual.get(vm, 0)
    available = max(usable - pool.silent, 0)
    limit = available - usable // RESERVE_DIVISOR
    fraction = pick_fraction(vm, name, now)
    if pool.demand_sum > limit:
        # Each VM's callers are served with the same probability. With one level for all VMs
        # instead, those below it keep room for growth that others could use.
        share = int(demand * max(limit, 0) / pool.demand_sum + fraction)
        return Target(share, Pressure.SATURATED)
    # The present demand goes first; what is left covers a part of the usual demand.
    spare = max(available // SPARE_DIVISOR, min(available // 2, MIN_SPARE))
    rest = available - spare - pool.demand_sum
    part = min(max(rest / max(pool.usual_sum - pool.demand_sum, 1), 0.0), 1.0)
    total = pool.demand_sum + part * (pool.usual_sum - pool.demand_sum)
    # Of what is left, one request for each VM is for those whose demand grows, at most half; of a
    # small limit all.
    rest = limit - total
    growth = max(min(rest / 2, len(pool.usual)), min(rest, MIN_SPARE))
    factor = min(DEMAND_MARGIN, (limit - growth) / max(total, 1))
    factor = min(max(factor, (available - spare) / max(total, 1)), MAX_SPARE_FACTOR)
    share = int((demand + part * (usual - demand)) * factor + fraction) if usual else 0
    return Target(share, Pressure.HIGH if part < 1 else Pressure.LOW)


def approach_target(held: int, target: int, vm: str, name: str, now: timedelta) -> int:
    """Return a share that moves towards its target by `TARGET_WEIGHT` of the difference.

    Args:
        held: The VM's present share.
        target: Its target.
        vm: Name of the VM.
        name: Name of the organisation.
        now: Current instant.
    """
    return held + math.floor((target - held) * TARGET_WEIGHT + pick_fraction(vm, name, now))


def pick_fraction(vm: str, name: str, now: timedelta) -> float:
    """Return a number from 0 to 1 for a VM, by which fractions are rounded up or down."""
    turn = now // ROTATION_TIME
    return zlib.crc32(f"{turn}/{name}/{vm}".encode()) / 2**32
