"""Which entry VMs a caller is told to connect to.

The load pattern that this answers: availability zones with many callers and few entry VMs beside
zones of the same region whose VMs have room. Callers of a zone use its own VMs, which is cheapest;
a part of them uses all VMs of the region, and grows while the own ones get more than the mean.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm

__all__ = ["CallerSpread", "choose_entry_vms", "update_parts"]

# Part of a zone's callers that moves in a second for each unit by which its VMs are over the mean.
# Callers follow within some seconds, so a larger gain would overshoot.
GAIN_PER_S = 0.4
# Smaller differences come from chance.
DEAD_BAND = 0.03
# Requests a second of a VM below which nothing needs to be shared.
LOW_RATE = 10.0


@attrs.define(eq=False)
class CallerSpread:
    """Part of the callers of each zone that is sent to all VMs of the region."""

    parts: dict[str, float] = attrs.field(factory=dict)


def update_parts(spread: CallerSpread, accepting: Iterable[EntryVm], elapsed: timedelta) -> None:
    """Follow the rates that the entry VMs report.

    Args:
        spread: Parts of the zones, which are updated.
        accepting: Entry VMs that take callers.
        elapsed: Time since the last update.
    """
    known = list(accepting)
    for zone, region in {(vm.availability_zone, vm.region) for vm in known}:
        own = mean_rate([vm for vm in known if vm.availability_zone == zone])
        mean = mean_rate([vm for vm in known if vm.region == region])
        excess = own / mean - 1.0 if mean > LOW_RATE else -1.0
        if abs(excess) < DEAD_BAND:
            continue
        part = spread.parts.get(zone, 0.0) + GAIN_PER_S * excess * elapsed.total_seconds()
        spread.parts[zone] = min(max(part, 0.0), 1.0)


def choose_entry_vms(
    spread: CallerSpread,
    accepting: Iterable[EntryVm],
    availability_zone: str,
    region: str,
    draw: float,
) -> list[Address]:
    """Return where a caller should connect.

    Args:
        spread: Parts of the zones.
        accepting: Entry VMs that take callers.
        availability_zone: Zone of the caller.
        region: Region of the caller.
        draw: Random number from 0 to 1.
    """
    known = list(accepting)
    same_region = [vm for vm in known if vm.region == region]
    same_zone = [vm for vm in known if vm.availability_zone == availability_zone]
    if same_zone and draw >= spread.parts.get(availability_zone, 0.0):
        chosen = same_zone
    else:
        chosen = same_region or known
    return sorted(vm.callers for vm in chosen)


def mean_rate(vms: list[EntryVm]) -> float:
    """Return the mean of the requests a second that VMs get from callers."""
    return sum(vm.caller_rate for vm in vms) / len(vms) if vms else 0.0
