"""Division of the limits of organisations among the entry VMs, by the leader of the control VMs.

For each VM and organisation the leader keeps a reservation: the largest number of requests that
the VM may send in any window, whichever of its messages and responses are lost. It grants only what
the reservations of all VMs leave free, so that their sum is a bound at all times. How the limit
should be divided is a separate question, whose answer may be out of date.
"""

import math
from collections.abc import Mapping
from datetime import timedelta

import attrs

from camphorspread.process.quota_holder import Holder
from camphorspread.process.quota_levels import (
    DEMAND_MARGIN,
    SPARE_DIVISOR,
    Pool,
    approach_target,
    find_target,
    set_demand,
)
from camphorspread.process.quota_shares import (
    GRANT_LEASE,
    KEPT_DIVISOR,
    KEPT_TIME,
    Pressure,
    QuotaGrant,
    QuotaNeed,
    QuotaRequest,
)
from camphorspread.process.quota_unreported import (
    UnreportedVms,
    expire_unreported,
    find_reserve,
    has_unreported,
    list_unreported,
    remove_unreported,
)
from camphorspread.version.organisations import OrganisationTable
from camphorspread.version.quota_total import QuotaRules, compute_usable_total

__all__ = ["QuotaAllocator", "begin_term", "observe_limits", "record_stop", "renew_quotas"]

# A new leader increases no share before this time has passed or every VM has reported.
REPORT_TIME = timedelta(seconds=1)
# A VM that hasn't renewed for this long has no demand in the division; the longest interval of
# renewals is half of it.
SILENCE_LIMIT = timedelta(seconds=6)
SWEEP_INTERVAL = timedelta(seconds=1)
# Of a usable total below this, what a former process used is counted whole for a window. A few
# requests often come together just before its end: with a limit of 2 a second, a burst and a
# restart sent 34 in a window, 3 more than the bound. Of a larger total it isn't: after a restart of
# all VMs, the shares, most of them unused, would be missing for a window.
SMALL_TOTAL = 100


@attrs.define(eq=False)
class QuotaAllocator:
    """State of the division on one control VM.

    Attributes:
        rules: Rules of counting.
        revision: Revision of the routes that the limits are from.
        limits: Usable total by organisation, for limited ones.
        unlimited: Names of the other organisations.
        term: Term in which this control VM leads and has received a renewal.
        began_at: When the first renewal of that term arrived.
        earlier: Usable total by organisation at that time; earlier leaders granted nothing of
            limits that were added since.
        ready_at: From when shares are increased; None before that is known.
        unreported: VMs that may hold shares of earlier terms and haven't renewed in this one.
        unknown_end: Until when processes that this leader doesn't know, and that have ended, may
            have sent something in the last window.
        holders: Entry VMs by name.
        pools: State of the division by organisation.
        swept_at: When silent VMs were last looked for.
    """

    rules: QuotaRules
    revision: int = 0
    limits: dict[str, int] = attrs.field(factory=dict)
    unlimited: frozenset[str] = frozenset()
    term: int | None = None
    began_at: timedelta = timedelta(0)
    earlier: dict[str, int] = attrs.field(factory=dict)
    ready_at: timedelta | None = None
    unreported: UnreportedVms = attrs.field(init=False)
    unknown_end: timedelta = timedelta(0)
    holders: dict[str, Holder] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    swept_at: timedelta = timedelta(0)

    def __attrs_post_init__(self) -> None:
        """Begin without entry VMs."""
        self.unreported = UnreportedVms(self.rules.window)


def observe_limits(allocator: QuotaAllocator, table: OrganisationTable, revision: int) -> None:
    """Use the limits of the newest configuration from now on."""
    rules = allocator.rules
    allocator.revision = revision
    allocator.limits = {
        item.name: compute_usable_total(item, rules)
        for item in table.organisations
        if item.is_limited
    }
    allocator.unlimited = frozenset(
        item.name for item in table.organisations if not item.is_limited
    )


def begin_term(
    allocator: QuotaAllocator, term: int, heard: Mapping[str, timedelta], now: timedelta
) -> None:
    """Forget what is known when this control VM has become the leader.

    Args:
        allocator: State of the division.
        term: Term in which it leads.
        heard: When each entry VM last polled it.
        now: Current instant.
    """
    allocator.term, allocator.began_at, allocator.ready_at = term, now, None
    allocator.earlier = allocator.limits
    allocator.unreported = list_unreported(heard, allocator.rules.window, now)
    allocator.unknown_end = timedelta(0)
    allocator.holders, allocator.pools = {}, {}


def record_stop(allocator: QuotaAllocator, vm: str, now: timedelta) -> None:
    """Record that a VM has stopped as planned; it may have sent something in the last window."""
    if has_unreported(allocator.unreported, vm):
        remove_unreported(allocator.unreported, vm)
        allocator.unknown_end = max(allocator.unknown_end, now + allocator.rules.window)


def renew_quotas(
    allocator: QuotaAllocator, request: QuotaRequest, now: timedelta
) -> dict[str, QuotaGrant] | None:
    """Record a renewal and return its grants, None if it is out of date.

    It is if a newer one has arrived before, or if its process has returned its shares.

    Args:
        allocator: State of the leader, whose leader lease is valid.
        request: The renewal.
        now: Current instant, not later than the response is sent.
    """
    sweep_holders(allocator, now)
    holder = find_holder(allocator, request, now)
    if holder is None:
        return None
    holder.number, holder.heard_at, holder.is_lapsed = request.number, now, False
    mark_heard(allocator, holder)
    if has_unreported(allocator.unreported, request.vm):
        remove_unreported(allocator.unreported, request.vm)
        account_for(allocator, request.needs)
    if request.is_returning:
        return_shares(allocator, request, holder, now)
        return {}
    for name in request.needs.keys() | holder.reserved.keys() | holder.demanded:
        need = request.needs.get(name, QuotaNeed(0, 0, 0, 0))
        # Earlier grants that the VM doesn't hold are void: it ignores their responses.
        amount = max(need.held, need.used) + find_former(allocator, holder, name, now)
        set_reserved(allocator, holder, name, amount)
        record_demand(allocator, request.vm, holder, name, need.demand, need.usual)
    update_ready(allocator, now)
    return {
        name: grant_share(allocator, request.vm, holder, name, need, now)
        for name, need in request.needs.items()
    }


def find_holder(allocator: QuotaAllocator, request: QuotaRequest, now: timedelta) -> Holder | None:
    """Return the holder that a renewal is from, None if the renewal is out of date."""
    started_at = now - request.age
    known = allocator.holders.get(request.vm)
    if known is not None and known.incarnation == request.incarnation:
        is_newer = request.number > known.number
        return known if is_newer and not known.is_returned else None
    if known is not None and started_at < known.started_at:
        return None
    holder = Holder(request.incarnation, started_at)
    if known is not None:
        # Its process was replaced by this one, which ended all its grants.
        mark_heard(allocator, known)
        holder.reserved, holder.demanded = known.reserved, known.demanded
        holder.former, holder.former_at = dict(known.reserved), started_at
    elif (
        allocator.ready_at is None
        or started_at < allocator.ready_at
        or has_unreported(allocator.unreported, request.vm)
    ):
        # A former process may have had any part of what nobody else reports.
        end = started_at + allocator.rules.window
        allocator.unknown_end = max(allocator.unknown_end, end)
    allocator.holders[request.vm] = holder
    return holder


def find_former(allocator: QuotaAllocator, holder: Holder, name: str, now: timedelta) -> int:
    """Return what processes of a VM that have ended may have sent in the last window."""
    if name not in holder.former:
        return 0
    left = find_left(allocator, name, holder.former[name], holder.former_at, now)
    if not left:
        holder.former.clear()
    return left


def find_left(
    allocator: QuotaAllocator, name: str, sent: int, ended_at: timedelta, now: timedelta
) -> int:
    """Return how much of what a process sent in its last window may be in the present window.

    It is that of requests whose rate grew evenly: after a restart, or as demand arrives, more are
    sent at the end of a window than at its beginning, and a linear decrease exceeded the bound.
    The few requests of a small total may all come at the end.
    """
    age = max((now - ended_at) / allocator.rules.window, 0.0)
    if age >= 1:
        return 0
    is_small = allocator.limits.get(name, 0) < SMALL_TOTAL
    return sent if is_small else math.ceil(sent * (1 - age * age))


def return_shares(
    allocator: QuotaAllocator, request: QuotaRequest, holder: Holder, now: timedelta
) -> None:
    """Release the shares of a VM that stops, except what it has used in the last window."""
    for name in list(holder.reserved):
        used = request.needs[name].used if name in request.needs else 0
        used += find_former(allocator, holder, name, now)
        set_reserved(allocator, holder, name, used)
    clear_demand(allocator, request.vm, holder)
    holder.former, holder.former_at = dict(holder.reserved), now
    holder.is_returned = True


def mark_heard(allocator: QuotaAllocator, holder: Holder) -> None:
    """Record that a holder isn't silent any more."""
    if not holder.is_silent:
        return
    holder.is_silent = False
    for name, amount in holder.reserved.items():
        allocator.pools[name].silent -= amount


def get_pool(allocator: QuotaAllocator, name: str) -> Pool:
    """Return the state of an organisation, created on first use."""
    pool = allocator.pools.get(name)
    if pool is None:
        pool = allocator.pools[name] = Pool(unaccounted=find_earlier(allocator, name))
    return pool


def find_earlier(allocator: QuotaAllocator, name: str) -> int:
    """Return what earlier leaders may have granted of the limit in force."""
    return min(allocator.earlier.get(name, 0), allocator.limits.get(name, 0))


def set_reserved(allocator: QuotaAllocator, holder: Holder, name: str, amount: int) -> None:
    """Change a reservation and the sum of its organisation."""
    pool = get_pool(allocator, name)
    pool.reserved += amount - holder.reserved.get(name, 0)
    if holder.is_silent:
        pool.silent += amount - holder.reserved.get(name, 0)
    if amount:
        holder.reserved[name] = amount
    else:
        holder.reserved.pop(name, None)


def record_demand(
    allocator: QuotaAllocator, vm: str, holder: Holder, name: str, demand: int, usual: int
) -> None:
    """Record the demand for an organisation at a VM."""
    set_demand(get_pool(allocator, name), vm, demand, usual)
    if usual:
        holder.demanded.add(name)
    else:
        holder.demanded.discard(name)


def clear_demand(allocator: QuotaAllocator, vm: str, holder: Holder) -> None:
    """Record that a VM has no demand any more."""
    for name in list(holder.demanded):
        record_demand(allocator, vm, holder, name, 0, 0)


def update_ready(allocator: QuotaAllocator, now: timedelta) -> None:
    """Allow increases once all VMs have renewed in this term, or `REPORT_TIME` has passed."""
    if allocator.ready_at is not None:
        return
    if allocator.unreported.recent and now - allocator.began_at < REPORT_TIME:
        return
    allocator.ready_at = now
    for name, pool in allocator.pools.items():
        pool.unaccounted = max(find_earlier(allocator, name) - pool.reserved, 0)


def account_for(allocator: QuotaAllocator, needs: Mapping[str, QuotaNeed]) -> None:
    """Subtract what a VM reports later than the others from what nobody had reported."""
    if allocator.ready_at is None:
        return
    for name, need in needs.items():
        pool = get_pool(allocator, name)
        pool.unaccounted = max(pool.unaccounted - max(need.held, need.used), 0)


def find_unreported(allocator: QuotaAllocator, name: str, now: timedelta) -> int:
    """Return what VMs that haven't renewed in this term may send or have sent.

    That includes a process that ended before this term.
    """
    if name not in allocator.earlier:
        return 0
    usable = allocator.limits[name]
    unaccounted = min(allocator.pools[name].unaccounted, usable)
    reserve = find_reserve(allocator.unreported, usable, unaccounted, now)
    if now >= allocator.unknown_end:
        return reserve
    ended_at = allocator.unknown_end - allocator.rules.window
    return max(reserve, find_left(allocator, name, unaccounted, ended_at, now))


def grant_share(
    allocator: QuotaAllocator,
    vm: str,
    holder: Holder,
    name: str,
    need: QuotaNeed,
    now: timedelta,
) -> QuotaGrant:
    """Return a VM's new share and reserve it."""
    pool = get_pool(allocator, name)
    usable = allocator.limits.get(name)
    reserved = holder.reserved.get(name, 0)
    former = find_former(allocator, holder, name, now)
    pressure = Pressure.LOW
    if usable is None:
        # The VM has an older configuration, in which the organisation is limited.
        wanted = math.ceil(need.demand * DEMAND_MARGIN)
        share = wanted if name in allocator.unlimited else min(wanted, need.held)
    elif allocator.ready_at is None:
        share = need.held
    else:
        unreported = find_unreported(allocator, name, now)
        free = usable - pool.reserved - unreported
        target = find_target(pool, vm, name, usable - unreported, now)
        share = target.share
        # Shares are reduced at once after a limit was lowered, and grow at once while much is free.
        is_crowded = pool.reserved <= usable and free < usable // SPARE_DIVISOR
        if target.pressure is Pressure.SATURATED and need.held and is_crowded:
            share = approach_target(need.held, share, vm, name, now)
        share = min(share, reserved - former + max(free, 0))
        pressure = target.pressure
    set_reserved(allocator, holder, name, max(reserved, share + former))
    return QuotaGrant(share, max(usable or 0, share), pressure)


def sweep_holders(allocator: QuotaAllocator, now: timedelta) -> None:
    """Reduce the reservations of VMs that have been silent, about once a second."""
    if now - allocator.swept_at < SWEEP_INTERVAL:
        return
    allocator.swept_at = now
    expire_unreported(allocator.unreported, now)
    for vm, holder in list(allocator.holders.items()):
        silence = now - holder.heard_at
        if holder.is_returned:
            for name in list(holder.reserved):
                set_reserved(allocator, holder, name, find_former(allocator, holder, name, now))
        elif silence >= SILENCE_LIMIT:
            reduce_silent(allocator, vm, holder, silence)
        if not holder.reserved and silence >= SILENCE_LIMIT:
            clear_demand(allocator, vm, holder)
            del allocator.holders[vm]


def reduce_silent(allocator: QuotaAllocator, vm: str, holder: Holder, silence: timedelta) -> None:
    """Reduce the reservations of a silent VM: its demand is gone, its grants end with the lease."""
    if not holder.is_silent:
        holder.is_silent = True
        for name, amount in holder.reserved.items():
            allocator.pools[name].silent += amount
        clear_demand(allocator, vm, holder)
    lapse = GRANT_LEASE + allocator.rules.window
    if silence >= lapse and not holder.is_lapsed:
        holder.is_lapsed = True
        holder.former.clear()
        for name, amount in list(holder.reserved.items()):
            set_reserved(allocator, holder, name, amount // KEPT_DIVISOR)
    if silence >= lapse + KEPT_TIME + allocator.rules.window:
        for name in list(holder.reserved):
            set_reserved(allocator, holder, name, 0)
