"""Shares of limits and caps that the leader grants and entry VMs hold under leases."""

import enum
from datetime import timedelta

import attrs

__all__ = ["Grant", "HeldShares", "ShareKey", "ShareKind"]


class ShareKind(enum.Enum):
    """What a share is a part of."""

    REGION_LIMIT = "region_limit"
    SERVICE_REGION_LIMIT = "service_region_limit"
    SHIFT_CAP = "shift_cap"


@attrs.frozen
class ShareKey:
    """The limit or cap that is shared.

    Attributes:
        kind: What is shared.
        region: The region for the two region limits, empty for a shift cap.
        service: The service for a service's limit or cap, empty for a region's own limit.
    """

    kind: ShareKind
    region: str = ""
    service: str = ""


@attrs.frozen
class Grant:
    """An amount that may be used until the lease ends."""

    amount: int
    lease_end: timedelta


@attrs.define(eq=False)
class HeldShares:
    """Grants that an entry VM holds."""

    grants: dict[ShareKey, Grant] = attrs.field(factory=dict)

    def amount(self, key: ShareKey, now: timedelta) -> int:
        """Return the amount held under a lease that hasn't ended."""
        grant = self.grants.get(key)
        return grant.amount if grant and grant.lease_end > now else 0
