"""Allocation of limits and caps to entry VMs by the leader.

For each holder the leader counts every grant that the holder may still use. It grants only the
remainder, so that lost, late and repeated messages can't make the sum exceed a cap.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.shares import (
    CHANGE_PROPAGATION_TIME,
    SHARE_LEASE,
    RenewalDemand,
    ShareKey,
    ShareKind,
    limit_of,
    list_region_keys,
    permanent_part,
)

__all__ = [
    "Allocator",
    "RenewalRequest",
    "divide_fairly",
    "observe_catalogue",
    "observe_leadership",
    "renew_shares",
]

# An abandoned request can't arrive later than this, so a holder that has returned its shares may be
# removed.
HOLDER_TTL = timedelta(seconds=30)


@attrs.frozen
class RenewalRequest:
    """Request of an entry VM to renew its shares.

    Attributes:
        vm: Name of the VM.
        incarnation: Incarnation of its process.
        number: Number of the request, growing within the incarnation.
        holds: Number of the request whose grants the VM uses, 0 if it uses none. It won't use
            the grants of any other request before this one.
        demand: Demand by key; keys without demand are omitted.
        is_returning: True if the VM returns all its grants and requests none.
    """

    vm: str
    incarnation: str
    number: int
    holds: int
    demand: dict[ShareKey, RenewalDemand]
    is_returning: bool = False


@attrs.frozen
class SentGrants:
    """The grants in one response and the end of their lease."""

    amounts: dict[ShareKey, int]
    lease_end: timedelta


@attrs.define(eq=False)
class Holder:
    """An entry VM in one incarnation.

    Attributes:
        vm: Name of the VM.
        last_number: Number of the newest request.
        last_request_at: When that request arrived.
        is_returned: True once it has returned all its grants.
        demand: Demand in that request.
        grants: Grants that it may still use, by number of the request.
    """

    vm: str
    last_number: int = 0
    last_request_at: timedelta = timedelta(0)
    is_returned: bool = False
    demand: dict[ShareKey, RenewalDemand] = attrs.field(factory=dict)
    grants: dict[int, SentGrants] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Allocator:
    """State of the allocation on one replica.

    Attributes:
        term: Term in which this replica leads, None while it doesn't lead.
        ready: Instant from which it may grant shares.
        holders: Known holders by incarnation.
        replaced: Catalogues that were replaced within `CHANGE_PROPAGATION_TIME`, oldest first, each
            with the instant at which it was replaced.
        newest: The newest catalogue.
    """

    term: int | None = None
    ready: timedelta = timedelta(0)
    holders: dict[str, Holder] = attrs.field(factory=dict)
    replaced: list[tuple[timedelta, Catalogue]] = attrs.field(factory=list)
    newest: Catalogue = attrs.field(factory=Catalogue)


def observe_catalogue(allocator: Allocator, catalogue: Catalogue, now: timedelta) -> None:
    """Record a new catalogue, also on replicas that don't lead, because they may lead next."""
    if catalogue.version <= allocator.newest.version:
        return
    allocator.replaced.append((now, allocator.newest))
    allocator.newest = catalogue
    start = now - CHANGE_PROPAGATION_TIME
    allocator.replaced = [item for item in allocator.replaced if item[0] > start]


def observe_leadership(allocator: Allocator, view: ReplicaView, now: timedelta) -> None:
    """Reset the allocator when this replica becomes the leader in a new term.

    The grants of the former leader are unknown, but all of them end within one lease.
    """
    if not view.is_leader:
        allocator.term = None
    elif allocator.term != view.term:
        allocator.term = view.term
        allocator.ready = now + SHARE_LEASE
        allocator.holders.clear()


def renew_shares(
    allocator: Allocator, request: RenewalRequest, now: timedelta
) -> dict[ShareKey, int] | None:
    """Record a request and return its grants.

    Args:
        allocator: State of the leader, whose leader lease is valid.
        request: The request.
        now: Current instant, not later than the response is sent.

    Returns:
        Amounts by key, or None if the holder keeps its current grants: this leader may not grant
        yet, or a newer request arrived before this one.
    """
    holder = allocator.holders.setdefault(request.incarnation, Holder(request.vm))
    if request.number <= holder.last_number or holder.is_returned:
        return None
    holder.last_number, holder.last_request_at = request.number, now
    holder.demand = request.demand
    holder.is_returned = request.is_returning
    holder.grants = {} if request.is_returning else select_used_grants(holder.grants, request.holds)
    remove_expired(allocator, now)
    if request.is_returning:
        return {}
    if now < allocator.ready:
        return None
    amounts: dict[ShareKey, int] = {}
    for key in list_keys(allocator.newest, request.vm):
        amount = decide_grant(allocator, key, request.incarnation, now)
        if amount:
            amounts[key] = amount
    holder.grants[request.number] = SentGrants(amounts, now + SHARE_LEASE)
    return amounts


def select_used_grants(grants: dict[int, SentGrants], number: int) -> dict[int, SentGrants]:
    """Return only the grants that the holder reports to use."""
    return {number: grants[number]} if number in grants else {}


def remove_expired(allocator: Allocator, now: timedelta) -> None:
    """Remove expired grants, and holders whose last request is old."""
    for incarnation, holder in list(allocator.holders.items()):
        holder.grants = {
            number: sent for number, sent in holder.grants.items() if sent.lease_end > now
        }
        if now - holder.last_request_at >= HOLDER_TTL:
            del allocator.holders[incarnation]


def list_keys(catalogue: Catalogue, vm: str) -> list[ShareKey]:
    """Return the keys for which a VM may hold a share."""
    keys = [ShareKey(ShareKind.SHIFT_CAP, "", service) for service in sorted(catalogue.services)]
    for region in sorted(catalogue.regions):
        if vm in catalogue.regions[region].entry.vms:
            keys += list_region_keys(catalogue, region)
    return keys


def decide_grant(allocator: Allocator, key: ShareKey, incarnation: str, now: timedelta) -> int:
    """Return the amount of a key to grant to one holder now."""
    pool = leasable_amount(allocator, key, now)
    entry = allocator.newest.find_region(key.region)
    members = {
        name: holder
        for name, holder in allocator.holders.items()
        if not holder.is_returned
        and now - holder.last_request_at < SHARE_LEASE
        and (entry is None or holder.vm in entry.vms)
    }
    demands = {name: demanded_amount(allocator, key, holder) for name, holder in members.items()}
    others = sum(
        outstanding_amount(allocator, key, holder, now)
        for name, holder in allocator.holders.items()
        if name != incarnation
    )
    return max(min(divide_fairly(pool, demands)[incarnation], pool - others), 0)


def demanded_amount(allocator: Allocator, key: ShareKey, holder: Holder) -> int:
    """Return the leased amount that a holder needs for its demand."""
    demand = holder.demand.get(key)
    if demand is None:
        return 0
    return max(demand.used + demand.refused - permanent_amount(allocator.newest, key, holder.vm), 0)


def outstanding_amount(allocator: Allocator, key: ShareKey, holder: Holder, now: timedelta) -> int:
    """Return the largest leased amount that a holder may be using now.

    Requests in flight above a lowered grant still load the region, so they count.
    """
    granted = max(
        (sent.amounts.get(key, 0) for sent in holder.grants.values() if sent.lease_end > now),
        default=0,
    )
    if now - holder.last_request_at >= SHARE_LEASE:
        return granted
    demand = holder.demand.get(key)
    if demand is None:
        return granted
    return max(granted, demand.running - permanent_amount(allocator.newest, key, holder.vm))


def permanent_amount(catalogue: Catalogue, key: ShareKey, vm: str) -> int:
    """Return the permanent share of a VM, 0 for shift caps."""
    entry = catalogue.find_region(key.region)
    return permanent_part(limit_of(catalogue, key), entry.vms, vm) if entry else 0


def leasable_amount(allocator: Allocator, key: ShareKey, now: timedelta) -> int:
    """Return the amount of a key that is available for grants under leases.

    Within `CHANGE_PROPAGATION_TIME` of a change, some VMs have the old permanent share and some the
    new one. The amount is the smallest limit in that time, minus the largest permanent share of
    each VM.
    """
    start = now - CHANGE_PROPAGATION_TIME
    recent = [item for replaced, item in allocator.replaced if replaced > start]
    # A catalogue without the key's entries has neither a limit nor permanent shares for it.
    catalogues = [*(item for item in recent if has_key(item, key)), allocator.newest]
    if key.kind is ShareKind.SHIFT_CAP:
        return limit_of(allocator.newest, key)
    largest: dict[str, int] = {}
    for item in catalogues:
        entry = item.find_region(key.region)
        if entry is None or not entry.vms:
            continue
        # All VMs of a region have the same permanent share.
        part = permanent_amount(item, key, entry.vms[0])
        for vm in entry.vms:
            largest[vm] = max(largest.get(vm, 0), part)
    return max(min(limit_of(item, key) for item in catalogues) - sum(largest.values()), 0)


def has_key(catalogue: Catalogue, key: ShareKey) -> bool:
    """Return True if the region and service of a key exist in the catalogue."""
    has_region = not key.region or catalogue.find_region(key.region) is not None
    return has_region and (not key.service or catalogue.find_service(key.service) is not None)


def divide_fairly(pool: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide an amount by max-min fairness, and the remainder evenly.

    No holder gets more than its demand while the demand of another one isn't met.

    Args:
        pool: Amount to divide.
        demands: Demand by holder.

    Returns:
        Amount by holder; the sum is `pool` if there is a holder.

    Examples:
        >>> divide_fairly(10, {"a": 2, "b": 9, "c": 9})
        {'a': 2, 'b': 4, 'c': 4}
        >>> divide_fairly(9, {"a": 1, "b": 0})
        {'a': 5, 'b': 4}
    """
    result: dict[str, int] = {}
    remainder = pool
    names = sorted(demands, key=lambda name: (demands[name], name))
    for position, name in enumerate(names):
        result[name] = min(demands[name], remainder // (len(names) - position))
        remainder -= result[name]
    for position, name in enumerate(sorted(names)):
        extra = -(-remainder // (len(names) - position))
        result[name] += extra
        remainder -= extra
    return result
