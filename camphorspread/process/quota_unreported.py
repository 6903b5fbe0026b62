"""What entry VMs that haven't renewed in the present leader's term may still send.

A new leader knows no grants of earlier ones. VMs that were in contact until its term began may hold
all that the others don't report, and a quarter of it once their leases have ended. VMs that had
been silent for longer than a lease by then hold at most a quarter of the whole.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from camphorspread.process.quota_shares import GRANT_LEASE, KEPT_DIVISOR, KEPT_TIME

__all__ = [
    "UnreportedVms",
    "expire_unreported",
    "find_reserve",
    "has_unreported",
    "list_unreported",
    "remove_unreported",
]

# The last poll of a VM may be this much older than its last renewal: the longest hold of a poll,
# its time-out and a retransmission.
POLL_DISTANCE = timedelta(seconds=5)


@attrs.define(eq=False)
class UnreportedVms:
    """Entry VMs that may hold shares of earlier terms.

    Attributes:
        window: Window of the quotas.
        began_at: When the term began.
        known: Number of VMs that were in contact then.
        recent: Those of them that haven't renewed since.
        silent: When each of the others was last heard, while it may still hold a part of a share.
    """

    window: timedelta
    began_at: timedelta = timedelta(0)
    known: int = 1
    recent: set[str] = attrs.field(factory=set)
    silent: dict[str, timedelta] = attrs.field(factory=dict)

    @property
    def lapse(self) -> timedelta:
        """Time after the last renewal until sends under the whole share have left the window."""
        return GRANT_LEASE + self.window

    @property
    def end(self) -> timedelta:
        """Time after the last renewal until all sends have left the window."""
        return self.lapse + KEPT_TIME + self.window


def list_unreported(
    heard: Mapping[str, timedelta], window: timedelta, now: timedelta
) -> UnreportedVms:
    """Return the entry VMs that may hold shares when a term begins.

    Args:
        heard: When each entry VM last polled.
        window: Window of the quotas.
        now: Current instant.
    """
    unreported = UnreportedVms(window, now)
    for vm, heard_at in heard.items():
        silence = now - heard_at - POLL_DISTANCE
        if silence < unreported.lapse:
            unreported.recent.add(vm)
        elif silence < unreported.end:
            unreported.silent[vm] = heard_at
    unreported.known = max(len(unreported.recent), 1)
    return unreported


def has_unreported(unreported: UnreportedVms, vm: str) -> bool:
    """Return True if a VM may hold a share and hasn't renewed in this term."""
    return vm in unreported.recent or vm in unreported.silent


def remove_unreported(unreported: UnreportedVms, vm: str) -> None:
    """Record that a VM has renewed, or has stopped as planned."""
    unreported.recent.discard(vm)
    unreported.silent.pop(vm, None)


def expire_unreported(unreported: UnreportedVms, now: timedelta) -> None:
    """Remove the VMs whose shares have ended."""
    if now - unreported.began_at >= unreported.end:
        unreported.recent.clear()
    last = now - unreported.end - POLL_DISTANCE
    for vm in [vm for vm, heard_at in unreported.silent.items() if heard_at <= last]:
        del unreported.silent[vm]


def find_reserve(unreported: UnreportedVms, usable: int, unaccounted: int, now: timedelta) -> int:
    """Return what these VMs together may send in a window.

    An equal part for each VM in place of all that is unaccounted for exceeded the bound by 30 to 60
    percent where most of the demand was at VMs that were lost together with the leader.

    Args:
        unreported: The VMs.
        usable: Usable total of the limit.
        unaccounted: Part of it that no other VM reported.
        now: Current instant.
    """
    if unreported.recent and now - unreported.began_at < unreported.lapse:
        equal_parts = -(-usable * len(unreported.recent) // unreported.known)
        return max(equal_parts, unaccounted)
    kept = min(unaccounted, usable // KEPT_DIVISOR) if unreported.silent else 0
    lapsed = (unaccounted - kept) // KEPT_DIVISOR if unreported.recent else 0
    return kept + lapsed
