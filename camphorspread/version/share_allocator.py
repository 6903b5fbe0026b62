"""Division of limits and caps between entry VMs by the leader.

The leader counts for each holder every grant that the holder may still use. It gives out only what
is left, so that lost, late and repeated messages can't make the sum exceed a cap.
"""

from collections.abc import Mapping
from datetime import timedelta

import attrs

from camphorspread.version.catalogue import Catalogue
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.shares import (
    CHANGE_SPREAD,
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
    "divide",
    "observe_catalogue",
    "observe_leadership",
    "renew_shares",
]

# A request that was abandoned can't arrive later than this, so a returned holder may be forgotten.
FORGET_AFTER = timedelta(seconds=30)


@attrs.frozen
class RenewalRequest:
    """What an entry VM sends to renew its shares.

    Attributes:
        vm: Name of the VM.
        incarnation: Incarnation of its process.
        number: Number of the request, growing within the incarnation.
        holds: Number of the request whose grants it uses, 0 if it uses none. It will use no grant
            of any other request before this one.
        demand: Demand by key; keys without demand are left out.
        is_returning: True if it uses no grant any more and wants none.
    """

    vm: str
    incarnation: str
    number: int
    holds: int
    demand: dict[ShareKey, RenewalDemand]
    is_returning: bool = False


@attrs.frozen
class SentGrants:
    """The grants of one response and until when the holder may use them."""

    amounts: dict[ShareKey, int]
    lease_end: timedelta


@attrs.define(eq=False)
class Holder:
    """An entry VM in one incarnation.

    Attributes:
        vm: Name of the VM.
        last_number: Number of its newest request.
        heard: When that request arrived.
        is_returned: True once it has returned everything.
        demand: Demand in that request.
        grants: Grants that it may still use, by number of the request.
    """

    vm: str
    last_number: int = 0
    heard: timedelta = timedelta(0)
    is_returned: bool = False
    demand: dict[ShareKey, RenewalDemand] = attrs.field(factory=dict)
    grants: dict[int, SentGrants] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Allocator:
    """State of the allocation on one replica.

    Attributes:
        term: Term in which this replica last led, None while it doesn't lead.
        ready: From when it may grant.
        holders: Known holders by incarnation.
        catalogues: The newest catalogue and those it replaced within `CHANGE_SPREAD`, oldest
            first, each with the instant at which it was replaced.
    """

    term: int | None = None
    ready: timedelta = timedelta(0)
    holders: dict[str, Holder] = attrs.field(factory=dict)
    replaced: list[tuple[timedelta, Catalogue]] = attrs.field(factory=list)
    newest: Catalogue = attrs.field(factory=Catalogue)


def observe_catalogue(allocator: Allocator, catalogue: Catalogue, now: timedelta) -> None:
    """Note a new catalogue; replicas that don't lead do so too, as they may lead next."""
    if catalogue.version <= allocator.newest.version:
        return
    allocator.replaced.append((now, allocator.newest))
    allocator.newest = catalogue
    start = now - CHANGE_SPREAD
    allocator.replaced = [item for item in allocator.replaced if item[0] > start]


def observe_leadership(allocator: Allocator, view: ReplicaView, now: timedelta) -> None:
    """Start anew when this replica begins to lead in a term.

    The grants of the former leader are unknown; all of them end within one lease.
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
        now: Current instant, not later than the sending of the response.

    Returns:
        Amounts by key, or None if the holder keeps what it has: this leader may not grant yet, or
        the request is older than one that came before it.
    """
    holder = allocator.holders.setdefault(request.incarnation, Holder(request.vm))
    if request.number <= holder.last_number or holder.is_returned:
        return None
    holder.last_number, holder.heard = request.number, now
    holder.demand = request.demand
    holder.is_returned = request.is_returning
    holder.grants = {} if request.is_returning else keep_held(holder.grants, request.holds)
    forget_old(allocator, now)
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


def keep_held(grants: dict[int, SentGrants], number: int) -> dict[int, SentGrants]:
    """Return only the grants that the holder says it uses."""
    return {number: grants[number]} if number in grants else {}


def forget_old(allocator: Allocator, now: timedelta) -> None:
    """Remove ended grants and holders that were not heard for long."""
    for incarnation, holder in list(allocator.holders.items()):
        holder.grants = {
            number: sent for number, sent in holder.grants.items() if sent.lease_end > now
        }
        if now - holder.heard >= FORGET_AFTER:
            del allocator.holders[incarnation]


def list_keys(catalogue: Catalogue, vm: str) -> list[ShareKey]:
    """Return the keys of which a VM may hold a share."""
    keys = [ShareKey(ShareKind.SHIFT_CAP, "", service) for service in sorted(catalogue.services)]
    for region in sorted(catalogue.regions):
        if vm in catalogue.regions[region].entry.vms:
            keys += list_region_keys(catalogue, region)
    return keys


def decide_grant(allocator: Allocator, key: ShareKey, incarnation: str, now: timedelta) -> int:
    """Return how much of a key one holder gets now."""
    pool = leased_pool(allocator, key, now)
    entry = allocator.newest.find_region(key.region)
    members = {
        name: holder
        for name, holder in allocator.holders.items()
        if not holder.is_returned
        and now - holder.heard < SHARE_LEASE
        and (entry is None or holder.vm in entry.vms)
    }
    wanted = {name: wanted_amount(allocator, key, holder) for name, holder in members.items()}
    others = sum(
        outstanding(allocator, key, holder, now)
        for name, holder in allocator.holders.items()
        if name != incarnation
    )
    return max(min(divide(pool, wanted)[incarnation], pool - others), 0)


def wanted_amount(allocator: Allocator, key: ShareKey, holder: Holder) -> int:
    """Return what a holder needs of the leased part for its demand."""
    demand = holder.demand.get(key)
    if demand is None:
        return 0
    return max(demand.used + demand.refused - own_part(allocator.newest, key, holder.vm), 0)


def outstanding(allocator: Allocator, key: ShareKey, holder: Holder, now: timedelta) -> int:
    """Return the most that a holder may use now of the leased part.

    Requests in flight beyond a lowered grant still load the region, so they count.
    """
    granted = max(
        (sent.amounts.get(key, 0) for sent in holder.grants.values() if sent.lease_end > now),
        default=0,
    )
    if now - holder.heard >= SHARE_LEASE:
        return granted
    demand = holder.demand.get(key)
    if demand is None:
        return granted
    return max(granted, demand.running - own_part(allocator.newest, key, holder.vm))


def own_part(catalogue: Catalogue, key: ShareKey, vm: str) -> int:
    """Return the permanent part of a VM, 0 for shift caps."""
    entry = catalogue.find_region(key.region)
    return permanent_part(limit_of(catalogue, key), entry.vms, vm) if entry else 0


def leased_pool(allocator: Allocator, key: ShareKey, now: timedelta) -> int:
    """Return how much of a key is granted under leases.

    Within `CHANGE_SPREAD` of a change some VMs hold the old permanent part and some the new one:
    the smallest of the limits counts, less the larger part of each VM.
    """
    start = now - CHANGE_SPREAD
    recent = [item for replaced, item in allocator.replaced if replaced > start]
    # A key that a catalogue doesn't have yet has neither a limit nor permanent parts there.
    catalogues = [*(item for item in recent if has_key(item, key)), allocator.newest]
    if key.kind is ShareKind.SHIFT_CAP:
        return limit_of(allocator.newest, key)
    largest: dict[str, int] = {}
    for item in catalogues:
        entry = item.find_region(key.region)
        if entry is None or not entry.vms:
            continue
        # All VMs of an entry have the same part.
        part = own_part(item, key, entry.vms[0])
        for vm in entry.vms:
            largest[vm] = max(largest.get(vm, 0), part)
    return max(min(limit_of(item, key) for item in catalogues) - sum(largest.values()), 0)


def has_key(catalogue: Catalogue, key: ShareKey) -> bool:
    """Return True if the entries that a key is about exist."""
    has_region = not key.region or catalogue.find_region(key.region) is not None
    return has_region and (not key.service or catalogue.find_service(key.service) is not None)


def divide(pool: int, wanted: Mapping[str, int]) -> dict[str, int]:
    """Divide an amount fairly by demand, and evenly what is then left.

    No holder gets more than it wants while another one that wants more has less.

    Args:
        pool: Amount to divide.
        wanted: Demand by holder.

    Returns:
        Amount by holder; they add up to `pool` if there is a holder.

    Examples:
        >>> divide(10, {"a": 2, "b": 9, "c": 9})
        {'a': 2, 'b': 4, 'c': 4}
        >>> divide(9, {"a": 1, "b": 0})
        {'a': 5, 'b': 4}
    """
    result: dict[str, int] = {}
    left = pool
    names = sorted(wanted, key=lambda name: (wanted[name], name))
    for position, name in enumerate(names):
        result[name] = min(wanted[name], left // (len(names) - position))
        left -= result[name]
    for position, name in enumerate(sorted(names)):
        extra = -(-left // (len(names) - position))
        result[name] += extra
        left -= extra
    return result
