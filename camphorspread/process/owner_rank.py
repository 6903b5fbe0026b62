"""Ranks entry VMs as owners of a backend server: same zone, then same region, then any."""

from collections.abc import Mapping

from camphorspread.request.rendezvous import unit_hash

__all__ = ["rank_owners"]


def rank_owners(
    instance: str, availability_zone: str, region: str, candidates: Mapping[str, tuple[str, str]]
) -> list[str]:
    """Return the candidate owners of a backend server, the preferred one first.

    Args:
        instance: Identifier of the backend server.
        availability_zone: Its availability zone.
        region: Its region.
        candidates: Availability zone and region of each entry VM that may own it.

    Examples:
        >>> rank_owners("i-1", "a-1", "a", {"x": ("b-1", "b"), "y": ("a-1", "a")})
        ['y', 'x']
    """

    def order(vm: str) -> tuple[bool, bool, float]:
        vm_zone, vm_region = candidates[vm]
        return vm_zone != availability_zone, vm_region != region, unit_hash(instance, vm)

    return sorted(candidates, key=order)
