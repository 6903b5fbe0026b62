"""Chooses the other entry VMs with which an entry VM exchanges summaries.

It is designed for regions with dozens of VMs, where exchanges between all pairs of the fleet would
use much of the processor time and of a slow link. VMs of one region share their servers and need
each other's lists. Of another region a few VMs are enough: each of them reports its part of the
capacity of its region, and all VMs of a region send requests about an object to the same server.
"""

from collections import Counter, defaultdict
from collections.abc import Mapping, Set

from camphorspread.request.rendezvous import order_by_rendezvous

__all__ = ["ALL_PAIRS_LIMIT", "OBSERVERS_PER_REGION", "choose_partners", "is_large_region"]

# Between regions that have no more VMs, all pairs exchange summaries.
ALL_PAIRS_LIMIT = 12
# Several partners in each other region, so that the loss of one doesn't hide the region.
PARTNERS_PER_REGION = 3
# About as many VMs of another region choose this one as it chooses there.
OBSERVERS_PER_REGION = 2 * PARTNERS_PER_REGION


def is_large_region(regions: Mapping[str, str], region: str) -> bool:
    """Return True if a region has too many VMs for exchanges between all pairs.

    Args:
        regions: Region of each known entry VM, also of those that are down, so that the result
            doesn't change while VMs restart.
        region: The region.
    """
    return sum(other == region for other in regions.values()) > ALL_PAIRS_LIMIT


def choose_partners(own: str, regions: Mapping[str, str], alive: Set[str]) -> frozenset[str]:
    """Return the VMs with which a VM begins exchanges; others begin exchanges with it.

    Args:
        own: Name of the VM.
        regions: Region of each known entry VM, this one included.
        alive: Names of the other VMs that are alive.
    """
    here = regions[own]
    sizes = Counter(regions.values())
    partners = set()
    far: dict[str, list[str]] = defaultdict(list)
    for name in alive:
        region = regions[name]
        if region == here or max(sizes[region], sizes[here]) <= ALL_PAIRS_LIMIT:
            if own < name:
                partners.add(name)
        else:
            far[region].append(name)
    for members in far.values():
        order = order_by_rendezvous(own, dict.fromkeys(members, 1.0))
        partners.update(order[:PARTNERS_PER_REGION])
    return frozenset(partners)
