"""Renews an entry VM's shares of the limits of organisations at the leader of the control VMs."""

import asyncio
import contextlib
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.connection.network import Address
from camphorspread.process.events import Event
from camphorspread.process.quota_codec import (
    QUOTA_PATH,
    Granted,
    decode_quota_response,
    encode_quota_request,
)
from camphorspread.process.quota_shares import QuotaNeed, QuotaRequest
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.organisation_quota import count_used
from camphorspread.request.quota import (
    apply_grants,
    apply_limits,
    expire_shares,
    list_needs,
)

__all__ = [
    "find_interval",
    "renew_quotas_periodically",
    "return_quotas",
    "update_limits",
]

RENEWAL_INTERVAL = timedelta(milliseconds=500)
# From 125 entry VMs on the interval grows, so that the leader gets about 250 renewals a second.
INTERVAL_STEP = timedelta(milliseconds=4)
# Half of the time after which the leader ignores the demand of a silent VM.
MAX_INTERVAL = timedelta(seconds=3)
# Longer than a round trip between regions that loses a packet.
RENEWAL_TIMEOUT = timedelta(milliseconds=450)
RETURN_TIMEOUT = timedelta(milliseconds=300)
# However many requests wait for one, there are at most this many renewals in an interval on
# average; as many may follow each other with the least distance.
URGENT_RENEWALS = 5
MIN_DISTANCE = timedelta(milliseconds=50)
# Control VMs that are asked in one renewal: one that names the leader, the leader, and another one
# if the former leader is gone.
MAX_CALLS = 3


def update_limits(state: SteeringState) -> None:
    """Apply the limits of the routes in force, if they are new."""
    table = state.table
    if table is None or table.organisations is state.quotas.table:
        return
    apply_limits(state.quotas, table.organisations, table.revision)
    if state.quotas.has_limits:
        state.quota_contact.has_limits.set()
    else:
        state.quota_contact.has_limits.clear()


async def renew_quotas_periodically(state: SteeringState) -> None:
    """Renew the shares periodically, and when a request waits for it, until cancelled."""
    contact = state.quota_contact
    budget_at = timedelta(0)
    while True:
        await contact.has_limits.wait()
        contact.is_urgent.clear()
        started = state.clock.monotonic()
        peers = state.board.peers.values()
        interval = find_interval(1 + sum(started < peer.alive_until for peer in peers))
        await renew_quotas(state)
        contact.notify_ended()
        budget_at = max(budget_at, started - interval) + interval / URGENT_RENEWALS
        next_at = max(budget_at, started + MIN_DISTANCE)
        await asyncio.sleep(max(next_at - state.clock.monotonic(), timedelta(0)).total_seconds())
        rest = started + interval - state.clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(rest, timedelta(0)).total_seconds()):
                await contact.is_urgent.wait()


def find_interval(vms: int) -> timedelta:
    """Return the time between two renewals of an entry VM.

    Args:
        vms: Number of entry VMs.
    """
    return min(max(RENEWAL_INTERVAL, INTERVAL_STEP * vms), MAX_INTERVAL)


async def renew_quotas(state: SteeringState) -> None:
    """Renew the shares once; a control VM that isn't the leader names it."""
    contact = state.quota_contact
    for loss in expire_shares(state.quotas, state.clock.monotonic()):
        state.log.write(
            Event.QUOTA_SHARE_LOST,
            organisation=loss.organisation,
            share=loss.share,
            kept=loss.kept,
        )
    for _ in range(MAX_CALLS):
        # A renewal after the return would record demand of a VM that stops.
        if contact.is_returned:
            return
        address = contact.leader or pick_control(state)
        if address is None:
            break
        if await call_control(state, address):
            contact.failures = 0
            return
    contact.failures += 1


def pick_control(state: SteeringState) -> Address | None:
    """Return the next control VM to ask for the leader."""
    addresses = sorted(state.controls, key=str)
    if not addresses:
        return None
    contact = state.quota_contact
    contact.position += 1
    return addresses[contact.position % len(addresses)]


async def call_control(state: SteeringState, address: Address) -> bool:
    """Send a renewal to a control VM; return True if it was the leader and responded."""
    contact = state.quota_contact
    sent_at = state.clock.monotonic()
    needs = list_needs(state.quotas, sent_at, contact.failures == 0)
    request = make_request(state, needs, sent_at)
    try:
        response = await state.link.call(
            address,
            "POST",
            QUOTA_PATH,
            encode_quota_request(request, state.quotas.revision),
            RENEWAL_TIMEOUT,
        )
    except LinkError as exc:
        contact.leader = None
        if not contact.failures:
            state.log.write(Event.QUOTA_RENEWAL_FAILED, control=str(address), cause=str(exc))
        return False
    match decode_quota_response(response.value, request.number):
        case Granted(revision=revision, grants=grants):
            contact.leader = address
            apply_grants(state.quotas, needs, grants, revision, sent_at)
            return True
        case leader:
            contact.leader = None if leader == address else leader
            return False


def make_request(
    state: SteeringState,
    needs: dict[str, QuotaNeed],
    now: timedelta,
    is_returning: bool = False,
) -> QuotaRequest:
    """Return the next renewal."""
    contact = state.quota_contact
    contact.number += 1
    return QuotaRequest(
        state.settings.place.vm,
        state.incarnation,
        contact.number,
        now - contact.started_at,
        needs,
        is_returning,
    )


async def return_quotas(state: SteeringState) -> None:
    """Return all shares before this VM stops; it may send no more requests.

    If the leader can't be reached, they return to it when their lease ends.
    """
    state.quota_contact.is_returned = True
    address = state.quota_contact.leader
    if address is None or not state.quotas.has_limits:
        return
    now = state.clock.monotonic()
    needs = {
        name: QuotaNeed(0, 0, used, 0)
        for name, quota in state.quotas.quotas.items()
        if (used := count_used(quota, now))
    }
    request = make_request(state, needs, now, is_returning=True)
    value = encode_quota_request(request, state.quotas.revision)
    with contextlib.suppress(LinkError):
        await state.link.call(address, "POST", QUOTA_PATH, value, RETURN_TIMEOUT)
