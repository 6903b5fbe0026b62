"""Admission of a caller's request under the limit of its organisation."""

import asyncio
import contextlib
from collections.abc import Sequence
from datetime import timedelta

import attrs

from camphorspread.process.events import Event
from camphorspread.process.quota_renewal import update_limits
from camphorspread.process.quota_shares import Pressure
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.organisation_quota import OrganisationQuota
from camphorspread.request.quota import (
    Charged,
    Exceeded,
    Ticket,
    charge_request,
    is_renewal_useful,
    record_arrival,
    settle_ticket,
)
from camphorspread.request.quota_pacing import find_free_time
from camphorspread.version.organisations import Organisation

__all__ = ["Admitted", "Over", "Undecided", "admit_quota", "settle_quota"]

# Longest time for which a request waits for the leader: a round trip between regions, and the
# retransmission of a lost packet.
WAIT_LIMIT = timedelta(milliseconds=300)
# Longest time for which a request waits until an earlier send has left the window. A VM with a
# share of 12 requests in 5 s may send one every 0.4 s.
TURN_LIMIT = timedelta(milliseconds=400)
# After this number of renewals without a response a request doesn't wait for the next one.
MAX_FAILURES = 2
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


async def admit_quota(
    state: SteeringState, organisation: Organisation | None
) -> Admitted | Over | Undecided:
    """Charge a request to its organisation's quota.

    Args:
        state: State of the entry VM that the request arrived at.
        organisation: The organisation in the routes in force, None if the request has none.
    """
    if organisation is None:
        return Admitted()
    result = Admitted()
    if organisation.is_limited:
        update_limits(state)
        result = await charge_limited(state, organisation.name)
    kind = type(result).__name__.lower()
    state.metrics.quota_requests[(organisation.name, kind)] += 1
    if isinstance(result, Over):
        log_over(state, organisation)
    return result


async def charge_limited(state: SteeringState, name: str) -> Admitted | Over | Undecided:
    """Charge a request; wait for a renewal that may grant what it needs, or for its turn.

    A VM has a small part of the limit. Without a short wait for the next send to leave the window,
    random arrivals leave about an eighth of each part unused.
    """
    contact = state.quota_contact
    arrived = state.clock.monotonic()
    until = arrived + WAIT_LIMIT
    counted = None
    while True:
        # While the request waits, a configuration may remove the limit, or replace its quota.
        quota = state.quotas.quotas.get(name)
        if quota is None or quota.usable is None:
            return Admitted()
        if quota is not counted:
            record_arrival(quota, arrived)
            counted = quota
        now = state.clock.monotonic()
        match charge_request(state.quotas, name, now):
            case Charged(ticket=ticket):
                return Admitted(ticket)
            case Exceeded(retry_after=retry_after):
                pass
        if not is_renewal_useful(quota):
            free_at = find_free_time(quota, now)
            if free_at is None or free_at > arrived + TURN_LIMIT:
                return Over(retry_after)
            await wait_for_turn(quota, free_at - now)
            continue
        if now >= until or contact.failures >= MAX_FAILURES or not state.controls:
            contact.is_urgent.set()
            # Without a share, nobody has said that the limit is reached.
            has_share = quota.is_leased and quota.share
            return Over(retry_after) if has_share else Undecided(UNDECIDED_RETRY_DELAY)
        contact.is_urgent.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((until - now).total_seconds()):
                await contact.ended.wait()


async def wait_for_turn(quota: OrganisationQuota, time: timedelta) -> None:
    """Wait until an earlier send has left the window."""
    quota.waiting += 1
    try:
        await asyncio.sleep(time.total_seconds())
    finally:
        quota.waiting -= 1


def settle_quota(state: SteeringState, ticket: Ticket | None, sent: Sequence[timedelta]) -> None:
    """End the charge of a request.

    Args:
        state: State of the entry VM that charged it.
        ticket: The charge; None without one.
        sent: When it was sent, for each send that may have run; it is refunded without any.
    """
    if ticket is None:
        return
    if not sent:
        state.metrics.quota_requests[(ticket.organisation, "refunded")] += 1
    settle_ticket(state.quotas, ticket, sent)


def log_over(state: SteeringState, organisation: Organisation) -> None:
    """Log a refusal over the quota."""
    quota = state.quotas.quotas.get(organisation.name)
    if quota is None:
        return
    now = state.clock.monotonic()
    state.log.write(
        Event.QUOTA_EXCEEDED,
        organisation=organisation.name,
        rate=organisation.rate,
        burst=organisation.burst,
        share=quota.share,
        demand=quota.asked,
        saturated=quota.pressure is Pressure.SATURATED,
        age_ms=(now - quota.granted_at) // timedelta(milliseconds=1),
        leased=quota.is_leased,
    )
