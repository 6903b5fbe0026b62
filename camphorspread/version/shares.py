"""Shares of limits and caps that the leader grants and entry VMs hold under leases."""

import enum
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue

__all__ = [
    "CHANGE_PROPAGATION_TIME",
    "SHARE_LEASE",
    "Grant",
    "HeldShares",
    "PermanentPart",
    "Renewal",
    "RenewalDemand",
    "ShareKey",
    "ShareKind",
    "apply_grants",
    "limit_of",
    "list_region_keys",
    "permanent_part",
    "record_permanent_parts",
]

SHARE_LEASE = timedelta(seconds=2)
# Time after which a catalogue change is in effect everywhere.
CHANGE_PROPAGATION_TIME = timedelta(seconds=3)


class ShareKind(enum.Enum):
    """Kind of limit or cap that is shared."""

    REGION_LIMIT = "region_limit"
    SERVICE_REGION_LIMIT = "service_region_limit"
    SHIFT_CAP = "shift_cap"


# The leader looks up each key for each holder, so the hash is cached.
@attrs.frozen(cache_hash=True)
class ShareKey:
    """A limit or cap that is shared between entry VMs.

    Attributes:
        kind: Kind of limit or cap.
        region: The region for the two region limits, empty for a shift cap.
        service: The service for a service's limit or cap, empty for a region's own limit.
    """

    kind: ShareKind
    region: str = ""
    service: str = ""


@attrs.define(eq=False)
class RenewalDemand:
    """Demand of one VM for a share, as measured in its request path.

    Attributes:
        used: Requests admitted in the last interval; for a region limit, the peak in flight.
        refused: Requests refused in the last interval for lack of a share.
        running: Requests now in flight under a region limit; 0 for a shift cap.
    """

    used: int = 0
    refused: int = 0
    running: int = 0


@attrs.frozen
class Grant:
    """An amount that may be used until its lease ends."""

    amount: int
    lease_end: timedelta


@attrs.define(eq=False)
class PermanentPart:
    """The permanent share of a VM in a region limit, which needs no lease.

    Attributes:
        amounts: Amounts from recent catalogues with the start of each, oldest first.
    """

    amounts: list[tuple[timedelta, int]] = attrs.field(factory=list)

    def record(self, amount: int, now: timedelta) -> None:
        """Record the amount that the catalogue assigns from now on."""
        if not self.amounts or self.amounts[-1][1] != amount:
            self.amounts.append((now, amount))
        while len(self.amounts) > 1 and self.amounts[1][0] <= now - CHANGE_PROPAGATION_TIME:
            del self.amounts[0]

    def amount(self, now: timedelta) -> int:
        """Return the smallest amount in force within the last `CHANGE_PROPAGATION_TIME`.

        So a decrease takes effect at once, and an increase once all VMs have the catalogue.
        """
        start = now - CHANGE_PROPAGATION_TIME
        ends = [since for since, _ in self.amounts[1:]]
        current = [self.amounts[-1][1]] if self.amounts else [0]
        pairs = zip(self.amounts, ends, strict=False)
        return min(current + [amount for (_, amount), end in pairs if end > start])


@attrs.define(eq=False)
class HeldShares:
    """Shares of limits and caps that an entry VM holds.

    Attributes:
        grants: Shares under a lease.
        permanent: Permanent shares, which need no lease.
    """

    grants: dict[ShareKey, Grant] = attrs.field(factory=dict)
    permanent: dict[ShareKey, PermanentPart] = attrs.field(factory=dict)

    def amount(self, key: ShareKey, now: timedelta) -> int:
        """Return the amount under a lease that hasn't ended."""
        grant = self.grants.get(key)
        return grant.amount if grant and grant.lease_end > now else 0

    def permanent_amount(self, key: ShareKey, now: timedelta) -> int:
        """Return the amount that this VM may use without a lease."""
        part = self.permanent.get(key)
        return part.amount(now) if part else 0

    def time_since_lapse(self, key: ShareKey, now: timedelta) -> timedelta | None:
        """Return the time since the lease of a grant ended unrenewed, None if none has."""
        grant = self.grants.get(key)
        return now - grant.lease_end if grant and grant.lease_end <= now else None

    def total(self, key: ShareKey, now: timedelta) -> int:
        """Return the total amount that this VM may use now."""
        return self.permanent_amount(key, now) + self.amount(key, now)


@attrs.define(eq=False)
class Renewal:
    """Renewal state of one process.

    Attributes:
        replicas: Names of all replicas, nearest first.
        position: Index of the replica that is asked next.
        number: Number of the last request.
        holds: Number of the request whose grants are in use, 0 for none.
        is_returned: True once the shares were returned; there are no renewals after that.
    """

    replicas: tuple[str, ...] = ()
    position: int = 0
    number: int = 0
    holds: int = 0
    is_returned: bool = False


def permanent_part(limit: int, vms: tuple[str, ...], vm: str) -> int:
    """Return the permanent share of a VM in a region limit.

    Args:
        limit: The limit.
        vms: Names of the entry VMs in the region's entry.
        vm: Name of the VM.

    Examples:
        >>> permanent_part(11, ("sofia-a-1", "sofia-b-1"), "sofia-a-1")
        2
        >>> permanent_part(11, ("sofia-a-1", "sofia-b-1"), "varna-a-1")
        0
    """
    return limit // 2 // len(vms) if vm in vms else 0


def list_region_keys(catalogue: Catalogue, region: str) -> list[ShareKey]:
    """Return the keys of all limits of a region, empty if it has no entry VMs."""
    entry = catalogue.find_region(region)
    if entry is None or not entry.vms:
        return []
    services = [
        ShareKey(ShareKind.SERVICE_REGION_LIMIT, region, service)
        for service in sorted(catalogue.services)
    ]
    return [ShareKey(ShareKind.REGION_LIMIT, region), *services]


def limit_of(catalogue: Catalogue, key: ShareKey) -> int:
    """Return the full limit or cap of a key, 0 if its entry was removed."""
    region, service = catalogue.find_region(key.region), catalogue.find_service(key.service)
    match key.kind:
        case ShareKind.REGION_LIMIT:
            return region.limit if region else 0
        case ShareKind.SERVICE_REGION_LIMIT:
            return service.region_limit if region and service else 0
        case ShareKind.SHIFT_CAP:
            return service.shift_cap_per_second if service else 0


def record_permanent_parts(
    held: HeldShares, catalogue: Catalogue, region: str, vm: str, now: timedelta
) -> None:
    """Record the permanent shares of a VM when it applies a catalogue."""
    keys = list_region_keys(catalogue, region)
    entry = catalogue.find_region(region)
    for key in {*keys, *held.permanent}:
        amount = permanent_part(limit_of(catalogue, key), entry.vms, vm) if entry else 0
        held.permanent.setdefault(key, PermanentPart()).record(amount, now)


def apply_grants(
    held: HeldShares,
    renewal: Renewal,
    number: int,
    amounts: dict[ShareKey, int],
    sent: timedelta,
) -> None:
    """Replace the held grants by those in the response to the newest request.

    Args:
        held: Shares that the VM holds.
        renewal: Renewal state of the VM.
        number: Number of the request. Grants for any but the newest request are ignored, because
            the VM has reported to the leader that it doesn't use them.
        amounts: Granted amounts.
        sent: When the request was sent, which is the start of the lease.
    """
    if number != renewal.number or renewal.is_returned:
        return
    lease_end = sent + SHARE_LEASE
    held.grants = {key: Grant(amount, lease_end) for key, amount in amounts.items()}
    renewal.holds = number
