"""Chooses the entry VMs that a lookup returns to a caller.

Balances availability zones with many callers and few entry VMs against zones of the same region
whose VMs have spare capacity. Callers use the VMs of their own zone, which costs least, except for
a fraction that is spread over all VMs of the region. The fraction grows while the zone's own VMs
get more requests than the mean of the region.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm

__all__ = ["CallerSpread", "choose_entry_vms", "update_fractions"]

# Change of the fraction per second, for each unit of relative excess over the region's mean rate.
# Callers follow within some seconds, so a larger gain would overshoot.
GAIN_PER_S = 0.4
# Smaller relative differences are random fluctuation.
DEAD_BAND = 0.03
# Below this mean rate of the VMs of a region, callers needn't be spread.
LOW_RATE_PER_S = 10.0


@attrs.define(eq=False)
class CallerSpread:
    """Controller state of the spread.

    Attributes:
        fractions: Fraction of each zone's callers that is spread over all VMs of the region.
    """

    fractions: dict[str, float] = attrs.field(factory=dict)


def update_fractions(
    spread: CallerSpread, accepting: Iterable[EntryVm], elapsed: timedelta
) -> None:
    """Adjust the fractions to the request rates that the entry VMs report.

    Args:
        spread: Fractions of the zones; updated in place.
        accepting: Entry VMs that accept callers.
        elapsed: Time since the last update.
    """
    candidates = list(accepting)
    for zone, region in {(vm.availability_zone, vm.region) for vm in candidates}:
        zone_rate = mean_rate([vm for vm in candidates if vm.availability_zone == zone])
        region_rate = mean_rate([vm for vm in candidates if vm.region == region])
        excess = zone_rate / region_rate - 1.0 if region_rate > LOW_RATE_PER_S else -1.0
        if abs(excess) < DEAD_BAND:
            continue
        fraction = spread.fractions.get(zone, 0.0) + GAIN_PER_S * excess * elapsed.total_seconds()
        spread.fractions[zone] = min(max(fraction, 0.0), 1.0)


def choose_entry_vms(
    spread: CallerSpread,
    accepting: Iterable[EntryVm],
    availability_zone: str,
    region: str,
    draw: float,
) -> list[Address]:
    """Return the addresses that a caller may connect to.

    Args:
        spread: Fractions of the zones.
        accepting: Entry VMs that accept callers.
        availability_zone: Zone of the caller.
        region: Region of the caller.
        draw: Random number from 0 to 1.
    """
    candidates = list(accepting)
    same_region = [vm for vm in candidates if vm.region == region]
    same_zone = [vm for vm in candidates if vm.availability_zone == availability_zone]
    if same_zone and draw >= spread.fractions.get(availability_zone, 0.0):
        chosen = same_zone
    else:
        chosen = same_region or candidates
    return sorted(vm.callers for vm in chosen)


def mean_rate(vms: list[EntryVm]) -> float:
    """Return the mean rate of requests from callers over some VMs, per second."""
    return sum(vm.caller_rate for vm in vms) / len(vms) if vms else 0.0
