"""Which objects a region that is short of servers keeps for itself.

It is designed for a region with far fewer servers than its callers need, beside regions with more:
whatever part of its requests leaves, the rest should be about the same objects all the time, so
that its servers stay warm for them. Without that, each server runs requests about all objects, and
most runs are cold, in the region that has the least capacity for cold runs.

The region keeps a share of the objects, chosen by a hash that is equal on all VMs; requests about
the others prefer another region, where they meet servers that are warm for them. The share follows
from the slots of the region and the request rate of its callers. It changes slowly, since each
change moves requests between regions and makes servers cold.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.process.entry_vms import ServiceLoad
from camphorspread.request.rendezvous import unit_hash
from camphorspread.request.window import SlidingWindow, count_recent, record_event

__all__ = [
    "HomeShare",
    "find_share_target",
    "is_kept",
    "is_update_due",
    "record_arrival",
    "update_share",
]

# Part of the slots that the kept requests may use on average; the rest is for waves of the load.
TARGET_USE = 0.6
# Mean use of the slots of all regions from which none of them can take more than its part. Below
# it, the others have room for the waves of a small region, whose callers are late if it keeps more.
SHORT_USE = 0.7
# Part of the kept requests that is assumed to run cold.
COLD_PART = 0.2
# Change of the share per second at most.
SHARE_STEP = 0.04
UPDATE_INTERVAL = timedelta(milliseconds=250)
RATE_BUCKET = timedelta(milliseconds=500)
RATE_BUCKETS = 12


@attrs.define(eq=False)
class HomeShare:
    """Share of a service's objects that this region keeps.

    Attributes:
        share: The share, from 0 to 1.
        arrivals: Requests of this VM's callers.
        started: When the first of them arrived, None before it.
        updated: When the share was last updated.
    """

    share: float = 1.0
    arrivals: SlidingWindow = attrs.field(factory=lambda: SlidingWindow(RATE_BUCKET, RATE_BUCKETS))
    started: timedelta | None = None
    updated: timedelta = timedelta(0)


def is_kept(share: HomeShare, region: str, service: str, key: str) -> bool:
    """Return True if the region keeps an object; equal shares give equal results on all VMs."""
    return share.share >= 1.0 or unit_hash("home", region, service, key) < share.share


def record_arrival(share: HomeShare, now: timedelta) -> None:
    """Count a request of this VM's callers."""
    if share.started is None:
        share.started = now
    record_event(share.arrivals, now)


def is_update_due(share: HomeShare, now: timedelta) -> bool:
    """Return True if the share should be updated."""
    return now - share.updated >= UPDATE_INTERVAL


def find_share_target(
    slots: float, others: Iterable[ServiceLoad], rate: float, warm_s: float, cold_s: float
) -> float:
    """Return the share of the objects whose requests the region has slots for.

    Where all regions are short of servers, each keeps what uses its servers as much as the mean of
    all regions: without this, each of them sent requests to others that had no more capacity.

    Args:
        slots: Usable slots of the region's servers.
        others: Loads of the service in the other regions that can be reached.
        rate: Requests per second of the region's callers.
        warm_s: Mean time of a warm run in seconds.
        cold_s: Mean time of a cold run in seconds.
    """
    needed = rate * (warm_s + COLD_PART * (cold_s - warm_s))
    if needed <= 0:
        return 1.0
    total_slots, total_needed = slots, needed
    for load in others:
        total_slots += load.slots
        # Without a free slot, the queue is all that tells how much more is needed.
        total_needed += load.slots - load.free + (0 if load.free else load.queued)
    mean_use = total_needed / max(total_slots, 1)
    target_use = mean_use if mean_use >= SHORT_USE else TARGET_USE
    return min(target_use * slots / needed, 1.0)


def find_first_share(slots: float, regions: Iterable[float]) -> float:
    """Return the share before the request rate is known: callers are assumed to be spread evenly.

    Args:
        slots: Slots of this region.
        regions: Slots of the other regions.
    """
    others = list(regions)
    mean = (slots + sum(others)) / (1 + len(others))
    return min(slots / mean, 1.0) if mean else 1.0


def update_share(
    share: HomeShare,
    slots: float,
    other_loads: Iterable[ServiceLoad],
    sharers: int,
    warm_s: float,
    cold_s: float,
    now: timedelta,
) -> None:
    """Move the share towards its target.

    Args:
        share: Share of the service; updated in place.
        slots: Usable slots of the region's servers.
        other_loads: Load of the service in each other region that can be reached.
        sharers: Number of VMs of the region, over which its callers are spread.
        warm_s: Mean time of a warm run in seconds.
        cold_s: Mean time of a cold run in seconds.
        now: Current monotonic time.
    """
    elapsed_s = (now - share.updated).total_seconds()
    is_first = not share.updated
    share.updated = now
    others = [load for load in other_loads if load.slots]
    if not others or share.started is None:
        share.share = 1.0
        share.updated = timedelta(0)
        return
    window = RATE_BUCKET * RATE_BUCKETS
    known_s = min(now - share.started, window).total_seconds()
    first = find_first_share(slots, [load.slots for load in others])
    if is_first:
        share.share = first
        return
    rate = count_recent(share.arrivals, now) / max(known_s, 1.0) * sharers
    target = find_share_target(slots, others, rate, warm_s, cold_s)
    # The estimated rate is uncertain until the window is full.
    weight = known_s / window.total_seconds()
    target = weight * target + (1 - weight) * first
    step = SHARE_STEP * min(elapsed_s, 1.0)
    share.share = min(max(target, share.share - step), share.share + step)
