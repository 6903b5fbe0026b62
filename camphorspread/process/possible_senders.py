"""Lists the entry VMs that may send to a backend server and must learn that it leaves.

VMs of its own region usually own the server. VMs of other regions own it while its region has no VM
that can, and keep it for up to one lease after that.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

__all__ = ["SenderVm", "list_possible_senders"]

# A VM of the region that has been alive for this many leases has received the announcements of the
# servers that VMs of other regions owned, and their leases have ended.
SETTLED_LEASES = 2


@attrs.frozen
class SenderVm:
    """An entry VM that may send to a backend server.

    Attributes:
        vm: Name of the VM.
        region: Its region.
        is_leaving: True if it is stopping and hands its servers over.
        alive_since: Since when it has been alive without interruption, None if it isn't.
    """

    vm: str
    region: str
    is_leaving: bool
    alive_since: timedelta | None


def list_possible_senders(
    vms: Collection[SenderVm], region: str | None, lease: timedelta, now: timedelta
) -> frozenset[str]:
    """Return the names of the VMs that may send to a backend server.

    Args:
        vms: Known entry VMs.
        region: Region of the backend server, None if unknown.
        lease: Time for which an announcement is valid.
        now: Current monotonic time.
    """
    is_settled = any(
        vm.region == region
        and not vm.is_leaving
        and vm.alive_since is not None
        and now - vm.alive_since >= SETTLED_LEASES * lease
        for vm in vms
    )
    if region is None or not is_settled:
        return frozenset(vm.vm for vm in vms)
    return frozenset(vm.vm for vm in vms if vm.region == region)
