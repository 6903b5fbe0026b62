"""How a limit should be divided among the entry VMs, by max-min fairness of their demand.

The result is a target. It may be out of date, since grants are bounded by the reservations; so the
level is computed again only after a time that grows with the number of VMs.
"""

import math
import zlib
from datetime import timedelta

import attrs

from camphorspread.request.quota import MAX_SPARE_FACTOR

__all__ = ["DEMAND_MARGIN", "Pool", "Target", "find_level", "find_target", "set_demand"]

# A share is this multiple of a VM's demand, less if the limit is nearly used up. The margin covers
# the fluctuation of the demand until the next renewal.
DEMAND_MARGIN = 1.3
# While it is a larger multiple, a quarter of the limit stays free for VMs whose demand grows; of a
# small limit a larger part, since each of them wants a whole request.
SPARE_DIVISOR = 4
MIN_SPARE = 8
# Fraction that stays free also if more is wanted, for VMs that have nothing yet.
RESERVE_DIVISOR = 64
# How long a level is used, for each VM that wants a share.
LEVEL_TIME_STEP = timedelta(milliseconds=2)
MIN_LEVEL_TIME = timedelta(milliseconds=100)
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
        level: Largest share of a VM, if the demand exceeds the limit.
        level_until: When it is to be computed again.
    """

    unaccounted: int = 0
    reserved: int = 0
    silent: int = 0
    demand: dict[str, int] = attrs.field(factory=dict)
    demand_sum: int = 0
    level: float = 0.0
    level_until: timedelta = timedelta(0)


@attrs.frozen
class Target:
    """The share that a VM should get.

    Attributes:
        share: The share.
        is_saturated: True if the demand exceeds the limit, so that no VM gets more by asking again.
    """

    share: int
    is_saturated: bool = False


def set_demand(pool: Pool, vm: str, demand: int) -> None:
    """Change the demand of a VM."""
    pool.demand_sum += demand - pool.demand.get(vm, 0)
    if demand:
        pool.demand[vm] = demand
    else:
        pool.demand.pop(vm, None)


def find_target(pool: Pool, vm: str, name: str, usable: int, now: timedelta) -> Target:
    """Return the share that a VM should get, whatever is free.

    Args:
        pool: State of the division.
        vm: Name of the VM.
        name: Name of the organisation.
        usable: Total to divide, without what processes that don't renew may have.
        now: Current instant.
    """
    demand = pool.demand.get(vm, 0)
    available = max(usable - pool.silent, 0)
    limit = available - usable // RESERVE_DIVISOR
    if not demand:
        return Target(0, pool.demand_sum >= limit)
    fraction = pick_fraction(vm, name, now)
    if pool.demand_sum <= limit:
        factor = min(DEMAND_MARGIN, limit / pool.demand_sum)
        spare = max(available // SPARE_DIVISOR, min(available // 2, MIN_SPARE))
        factor = max(factor, (available - spare) / pool.demand_sum)
        return Target(int(demand * min(factor, MAX_SPARE_FACTOR) + fraction))
    if now >= pool.level_until:
        wanted = sorted(math.ceil(item * DEMAND_MARGIN) for item in pool.demand.values())
        pool.level = find_level(wanted, max(limit, 0))
        pool.level_until = now + max(LEVEL_TIME_STEP * len(pool.demand), MIN_LEVEL_TIME)
    share = min(math.ceil(demand * DEMAND_MARGIN), int(pool.level + fraction))
    return Target(share, True)


def find_level(wanted: list[int], available: int) -> float:
    """Return the largest share for which all shares together are what is available.

    Args:
        wanted: What each VM wants, in ascending order.
        available: Less than their sum.

    Examples:
        >>> find_level([2, 9, 9], 10)
        4.0
    """
    left = available
    for position, amount in enumerate(wanted):
        part = left / (len(wanted) - position)
        if amount >= part:
            return part
        left -= amount
    return float(max(wanted, default=0))


def pick_fraction(vm: str, name: str, now: timedelta) -> float:
    """Return a number from 0 to 1 for a VM, by which fractions are rounded up or down."""
    turn = now // ROTATION_TIME
    return zlib.crc32(f"{turn}/{name}/{vm}".encode()) / 2**32
