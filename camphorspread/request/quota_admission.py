"""Admission of a caller's request under the limit of its organisation."""

import asyncio
import contextlib
from datetime import timedelta

from camphorspread.process.events import Event
from camphorspread.process.quota_renewal import update_limits
from camphorspread.process.quota_shares import Pressure
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.quota import (
    OrganisationQuota,
    Ticket,
    is_renewal_useful,
    record_arrival,
    settle_ticket,
)
from camphorspread.request.quota_decision import (
    Admitted,
    Over,
    Undecided,
    WaitForRenewal,
    WaitForTurn,
    decide_charge,
)
from camphorspread.version.organisations import Organisation

__all__ = ["Admitted", "Over", "Undecided", "admit_quota", "can_renew", "settle_quota"]

# After this number of renewals without a response a request doesn't wait for the next one.
MAX_FAILURES = 2


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
    quota = state.quotas.quotas[name]
    arrived = state.clock.monotonic()
    record_arrival(quota, arrived)
    while True:
        now = state.clock.monotonic()
        decision = decide_charge(state.quotas, name, arrived, can_renew(state), now)
        match decision:
            case Admitted():
                return decision
            case WaitForTurn(until=until):
                await wait_for_turn(quota, until - now)
                continue
            case Over() | Undecided():
                if is_renewal_useful(quota):
                    contact.is_urgent.set()
                return decision
            case WaitForRenewal(until=until):
                contact.is_urgent.set()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout((until - now).total_seconds()):
                        await contact.ended.wait()
        if state.quotas.quotas.get(name) is not quota or quota.usable is None:
            # A configuration without this limit came into force meanwhile.
            return Admitted()


def can_renew(state: SteeringState) -> bool:
    """Return True if a request may wait for the response of the leader."""
    return state.quota_contact.failures < MAX_FAILURES and bool(state.controls)


async def wait_for_turn(quota: OrganisationQuota, time: timedelta) -> None:
    """Wait until an earlier send has left the window."""
    quota.waiting += 1
    try:
        await asyncio.sleep(time.total_seconds())
    finally:
        quota.waiting -= 1


def settle_quota(
    state: SteeringState,
    ticket: Ticket | None,
    has_run: bool,
    sent_at: timedelta | None = None,
    sends: int = 1,
) -> None:
    """End the charge of a request.

    Args:
        state: State of the entry VM that charged it.
        ticket: The charge; None without one.
        has_run: False if no backend server can have run the request, so that it is refunded.
        sent_at: When it was first sent; now if None.
        sends: Number of backend servers that it was sent to.
    """
    if ticket is None:
        return
    if not has_run:
        state.metrics.quota_requests[(ticket.organisation, "refunded")] += 1
        settle_ticket(state.quotas, ticket, None)
        return
    settle_ticket(state.quotas, ticket, sent_at or state.clock.monotonic(), sends)


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
