"""An entry VM's decisions on requests of organisations with a limited rate.

A VM holds a share of each organisation's limit: the maximum number of requests that it sends in any
window. A token bucket spreads them over the window, so that a refused caller can be told when a
retry is likely to be served.
"""

import math
from collections.abc import Mapping, Sequence
from datetime import timedelta

import attrs

from camphorspread.process.quota_shares import (
    GRANT_LEASE,
    KEPT_DIVISOR,
    KEPT_TIME,
    MAX_SPARE_FACTOR,
    Pressure,
    QuotaGrant,
    QuotaNeed,
)
from camphorspread.request.organisation_quota import Charge, OrganisationQuota, count_used
from camphorspread.request.quota_pacing import fill_tokens, find_retry_delay
from camphorspread.request.quota_window import QuotaWindow, count_latest, count_window, record_at
from camphorspread.version.organisations import OrganisationTable
from camphorspread.version.quota_total import QuotaRules, compute_usable_total

__all__ = [
    "Charged",
    "Exceeded",
    "QuotaBook",
    "ShareLoss",
    "Ticket",
    "apply_grants",
    "apply_limits",
    "charge_request",
    "expire_shares",
    "find_demand",
    "is_renewal_useful",
    "list_needs",
    "observe_sends",
    "record_arrival",
    "settle_ticket",
]

# Growth is extrapolated from the last half second, less the fluctuation of a random arrival
# process, so that a few requests don't claim many times their number.
GROWTH_TIME = timedelta(milliseconds=500)
GROWTH_DEVIATIONS = 1.5
MIN_GROWTH = 1.5
# A higher demand than this multiple of the limit changes no VM's part of it.
MAX_DEMAND_FACTOR = 2
# Time constant of the average demand; averages of less than this are none.
MEAN_TIME = timedelta(seconds=15)
MIN_MEAN = 0.05


@attrs.frozen
class Ticket:
    """A charge to a quota, to be settled at the end of the request."""

    organisation: str
    number: int


@attrs.frozen
class Charged:
    """The request may be sent."""

    ticket: Ticket


@attrs.frozen
class Exceeded:
    """This VM's share is used up.

    Attributes:
        retry_after: Time after which a retry is likely to be served.
    """

    retry_after: timedelta


@attrs.frozen
class ShareLoss:
    """A share was reduced because its lease has ended."""

    organisation: str
    share: int
    kept: int


@attrs.define(eq=False)
class QuotaBook:
    """Quotas of this VM.

    Attributes:
        rules: Rules of counting.
        table: Organisations whose limits are in force here; None before the first ones.
        revision: Revision of the routes that they are part of.
        quotas: Quotas by name of the organisation; organisations that were never limited while
            this process ran have none.
        next_number: Number of the next ticket.
        has_limits: True if the configuration limits an organisation.
    """

    rules: QuotaRules
    table: OrganisationTable | None = None
    revision: int = 0
    quotas: dict[str, OrganisationQuota] = attrs.field(factory=dict)
    next_number: int = 0
    has_limits: bool = False


def apply_limits(book: QuotaBook, table: OrganisationTable, revision: int) -> None:
    """Apply a configuration: shares are reduced with their limits, and never increased."""
    limited = {item.name: item for item in table.organisations if item.is_limited}
    for name in book.quotas.keys() - limited.keys():
        quota = book.quotas[name]
        quota.usable = None
        if not quota.charges:
            del book.quotas[name]
    for name, item in limited.items():
        quota = book.quotas.get(name)
        if quota is None:
            quota = book.quotas[name] = OrganisationQuota(
                None, 0.0, QuotaWindow(book.rules.window), QuotaWindow(book.rules.window)
            )
        if quota.usable is None:
            # What it held before the limit was removed may have been granted to others since.
            quota.share, quota.asked, quota.is_leased = 0, None, False
        limit = item.rate * book.rules.window.total_seconds() + item.burst
        quota.burst_fraction = item.burst / limit
        quota.usable = compute_usable_total(item, book.rules)
        scale_share(quota)
    book.table, book.revision = table, revision
    book.has_limits = bool(limited)


def scale_share(quota: OrganisationQuota) -> None:
    """Reduce a share that was granted under a higher limit than the one in force here."""
    if quota.usable is not None and quota.usable < quota.usable_at_grant:
        quota.share = quota.share * quota.usable // quota.usable_at_grant
        quota.usable_at_grant = quota.usable
        quota.tokens = min(quota.tokens, quota.token_limit)


def record_arrival(quota: OrganisationQuota, now: timedelta) -> None:
    """Count a request, once, for the demand."""
    record_at(quota.arrivals, now)


def charge_request(book: QuotaBook, name: str, now: timedelta) -> Charged | Exceeded:
    """Charge a request to this VM's share, or return when a retry is likely to be served.

    Args:
        book: Quotas of this VM.
        name: Name of an organisation with a quota.
        now: Current instant.
    """
    quota = book.quotas[name]
    expire_share(quota, now)
    fill_tokens(quota, book.rules.window, now)
    is_paced = quota.pressure is Pressure.SATURATED and quota.tokens < 1
    if count_used(quota, now) < quota.share and not is_paced:
        quota.tokens = max(quota.tokens - 1, 0)
        book.next_number += 1
        quota.charges[book.next_number] = Charge(now)
        return Charged(Ticket(name, book.next_number))
    return Exceeded(find_retry_delay(quota, book.rules.window, now))


def observe_sends(book: QuotaBook, ticket: Ticket, sent: Sequence[timedelta]) -> None:
    """Let a charge know the sends of its request, to which further ones are added."""
    quota = book.quotas.get(ticket.organisation)
    if quota is not None and ticket.number in quota.charges:
        quota.charges[ticket.number].sent = sent


def settle_ticket(book: QuotaBook, ticket: Ticket, sent: Sequence[timedelta]) -> None:
    """End a charge; a request that was sent again counts for each send.

    Args:
        book: Quotas of this VM.
        ticket: The charge.
        sent: When the request was sent, for each send that may have run; it is refunded without
            any.
    """
    quota = book.quotas.get(ticket.organisation)
    if quota is None:
        return
    quota.charges.pop(ticket.number, None)
    for sent_at in sent:
        record_at(quota.sends, sent_at)
    if not sent:
        quota.tokens = min(quota.tokens + 1, max(quota.token_limit, 1))


def find_demand(quota: OrganisationQuota, now: timedelta) -> int:
    """Return the requests to be expected in a window, 0 without any in the last one."""
    window = quota.arrivals.window
    demand = count_window(quota.arrivals, now)
    if not demand or quota.usable is None:
        return 0
    latest = count_latest(quota.arrivals, now, GROWTH_TIME)
    certain = (latest - GROWTH_DEVIATIONS * math.sqrt(latest)) * (window / GROWTH_TIME)
    expected = certain if certain > MIN_GROWTH * demand else demand
    return min(math.ceil(expected), MAX_DEMAND_FACTOR * quota.usable)


def is_renewal_useful(quota: OrganisationQuota) -> bool:
    """Return True if the leader may grant more than this VM holds.

    If the demand of all VMs exceeds the limit, it is asked again by the next periodic renewal only:
    otherwise each refused request would wait and send one.
    """
    return not quota.is_leased or quota.pressure is not Pressure.SATURATED


def expire_share(quota: OrganisationQuota, now: timedelta) -> None:
    """Reduce a share whose lease has ended."""
    before = quota.share
    if quota.is_leased and now >= quota.lease_end:
        quota.is_leased = False
        quota.share //= KEPT_DIVISOR
        quota.lease_end += KEPT_TIME
    if not quota.is_leased and now >= quota.lease_end:
        quota.share = 0
    if quota.share < before:
        quota.reduced_from = quota.reduced_from or before


def expire_shares(book: QuotaBook, now: timedelta) -> list[ShareLoss]:
    """Reduce the shares whose lease has ended; return each reduction once."""
    losses = []
    for name, quota in book.quotas.items():
        expire_share(quota, now)
        if quota.reduced_from:
            losses.append(ShareLoss(name, quota.reduced_from, quota.share))
            quota.reduced_from = 0
    return losses


def find_usual(quota: OrganisationQuota, demand: int, now: timedelta) -> int:
    """Return the requests to be expected in a window later on, from the demand of some windows."""
    weight = 1 - math.exp(-((now - quota.mean_at) / MEAN_TIME))
    quota.mean += (count_window(quota.arrivals, now) - quota.mean) * weight
    quota.mean_at = now
    return max(demand, math.ceil(quota.mean - MIN_MEAN))


def list_needs(book: QuotaBook, now: timedelta, has_contact: bool) -> dict[str, QuotaNeed]:
    """Return what is reported to the leader: organisations with demand, use or a share.

    Args:
        book: Quotas of this VM.
        now: Current instant.
        has_contact: True if the leader has responded to the last renewal.
    """
    needs = {}
    for name, quota in book.quotas.items():
        expire_share(quota, now)
        demand = find_demand(quota, now)
        usual = find_usual(quota, demand, now)
        if has_contact:
            # A share that isn't needed is given up at once; a reduction by the leader would be in
            # force only when the next renewal confirms it.
            needed = usual if quota.pressure is Pressure.LOW else demand
            quota.share = min(quota.share, math.ceil(needed * MAX_SPARE_FACTOR))
        need = QuotaNeed(demand, usual, count_used(quota, now), quota.share)
        if need.usual or need.used or need.held:
            needs[name] = need
    return needs


def apply_grants(
    book: QuotaBook,
    needs: Mapping[str, QuotaNeed],
    grants: Mapping[str, QuotaGrant],
    revision: int,
    sent_at: timedelta,
) -> None:
    """Apply the response to a renewal.

    Args:
        book: Quotas of this VM.
        needs: What the renewal reported.
        grants: Shares in the response.
        revision: Revision of the routes whose limits were divided.
        sent_at: When the renewal was sent, at which the lease begins.
    """
    for name, grant in grants.items():
        quota = book.quotas.get(name)
        if quota is None or name not in needs or quota.usable is None:
            continue
        limit = quota.token_limit
        quota.share, quota.usable_at_grant = grant.share, grant.usable
        quota.granted_at, quota.lease_end = sent_at, sent_at + GRANT_LEASE
        quota.is_leased, quota.asked = True, needs[name].demand
        quota.pressure = grant.pressure
        if revision < book.revision:
            scale_share(quota)
        # A larger share can be used at once; a smaller one has no more tokens than it allows.
        quota.tokens = min(quota.tokens + max(quota.token_limit - limit, 0), quota.token_limit)
