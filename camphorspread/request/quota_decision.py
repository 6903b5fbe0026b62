"""Decides whether a request of an organisation with a limited rate is admitted, waits or not."""

from datetime import timedelta

import attrs

from camphorspread.request.quota import (
    Charged,
    Exceeded,
    QuotaBook,
    Ticket,
    charge_request,
    is_renewal_useful,
)
from camphorspread.request.quota_pacing import find_free_time

__all__ = [
    "Admitted",
    "Over",
    "Undecided",
    "WaitForRenewal",
    "WaitForTurn",
    "decide_charge",
]

# Longest time for which a request waits for the leader: a round trip between regions, and the
# retransmission of a lost packet.
WAIT_LIMIT = timedelta(milliseconds=300)
# Longest time for which a request waits until an earlier send has left the window. A VM with a
# share of 12 requests in 5 s may send one every 0.4 s.
TURN_LIMIT = timedelta(milliseconds=400)
UNDECIDED_RETRY_DELAY = timedelta(seconds=1)


@attrs.frozen
class Admitted:
    """The request may be sent.

    Attributes:
        ticket: Its charge, to be settled at its end; None without a limit.
    """

    ticket: Ticket | None = None


@attrs.frozen
class Over:
    """The organisation's limit is reached."""

    retry_after: timedelta


@attrs.frozen
class Undecided:
    """It isn't known whether the organisation's limit is reached."""

    retry_after: timedelta


@attrs.frozen
class WaitForTurn:
    """The request waits until an earlier send has left the window."""

    until: timedelta


@attrs.frozen
class WaitForRenewal:
    """The request waits for the leader's response, which may grant what it needs."""

    until: timedelta


def decide_charge(
    book: QuotaBook, name: str, arrived: timedelta, can_renew: bool, now: timedelta
) -> Admitted | Over | Undecided | WaitForTurn | WaitForRenewal:
    """Charge a request, refuse it, or let it wait.

    Args:
        book: Quotas of this VM.
        name: Name of an organisation with a quota.
        arrived: When the request arrived.
        can_renew: False if no control VM is known or the last renewals got no response.
        now: Current instant.
    """
    match charge_request(book, name, now):
        case Charged(ticket=ticket):
            return Admitted(ticket)
        case Exceeded(retry_after=retry_after):
            pass
    quota = book.quotas[name]
    is_useful = is_renewal_useful(quota)
    if quota.share and not (is_useful and can_renew):
        # No renewal in the next moments increases the share.
        free_at = find_free_time(quota, now)
        if free_at is not None and free_at <= arrived + TURN_LIMIT:
            return WaitForTurn(free_at)
    if not is_useful:
        return Over(retry_after)
    until = arrived + WAIT_LIMIT
    if now < until and can_renew:
        return WaitForRenewal(until)
    # Without a share, nobody has said that the limit is reached.
    has_share = quota.is_leased and quota.share
    return Over(retry_after) if has_share else Undecided(UNDECIDED_RETRY_DELAY)
