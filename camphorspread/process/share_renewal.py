"""Renews the limit shares of an entry process at the control leader."""

import asyncio
from collections import Counter
from datetime import timedelta

from camphorspread.connection.link import LinkError
from camphorspread.process.catalogue_poll import order_replicas
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.region_share import compute_limits
from camphorspread.process.share_demand import KeyDemand, pop_demand
from camphorspread.request.admission import find_shortage
from camphorspread.version.share_allocator import RenewalRequest
from camphorspread.version.share_codec import decode_amounts, encode_renewal
from camphorspread.version.shares import (
    Renewal,
    RenewalDemand,
    ShareKey,
    ShareKind,
    apply_grants,
    list_region_keys,
)

__all__ = ["renew_periodically", "return_shares"]

RENEWAL_INTERVAL = timedelta(milliseconds=500)
RENEWAL_TIMEOUT = timedelta(milliseconds=450)


async def renew_periodically(state: EntryState) -> None:
    """Renew the shares every 0.5 s until cancelled."""
    replicas = order_replicas(state.settings.replicas, state.fleet)
    state.renewal.replicas = tuple(replica.vm for replica in replicas)
    while not state.renewal.is_returned:
        start = state.clock.monotonic()
        if state.catalogue is not None:
            await renew_once(state)
        remaining = start + RENEWAL_INTERVAL - state.clock.monotonic()
        await asyncio.sleep(max(remaining.total_seconds(), 0))


async def renew_once(state: EntryState) -> None:
    """Request shares; try a second replica if the first one isn't the leader."""
    demand = collect_demand(state)
    for _ in range(2):
        renewal = state.renewal
        renewal.number += 1
        place = state.settings.place
        request = RenewalRequest(
            place.vm, state.incarnation, renewal.number, renewal.holds, demand, renewal.is_returned
        )
        name = renewal.replicas[renewal.position % len(renewal.replicas)]
        replica = next(item for item in state.settings.replicas if item.vm == name)
        sent = state.clock.monotonic()
        try:
            response = await state.link.call(
                replica.peers, "POST", "/v1/shares/renew", encode_renewal(request), RENEWAL_TIMEOUT
            )
        except LinkError as exc:
            state.log.write(Event.SHARE_RENEWAL_FAILED, replica=replica.vm, cause=str(exc))
            renewal.position += 1
            return
        match response.value:
            case {"number": number, "grants": dict(grants)} if number == request.number:
                amounts = decode_amounts(grants)
                apply_grants(state.held_shares, renewal, number, amounts, sent)
                return
            case {"number": _}:
                return
            case {"leader": leader}:
                follow_leader(renewal, leader)
            case _:
                renewal.position += 1
                return


def collect_demand(state: EntryState) -> dict[ShareKey, RenewalDemand]:
    """Return the demand of the past interval, with the requests in flight under region limits."""
    recorded = pop_demand(state.share_demand)
    region = state.settings.place.region
    keys = {*recorded, *list_region_keys(state.catalogue, region)} if state.catalogue else set()
    waiting = count_waiting(state)
    demand = {}
    for key in sorted(keys, key=lambda item: (item.kind.value, item.region, item.service)):
        running = count_running(state, key)
        item = recorded.get(key, KeyDemand())
        refused = max(item.refused, waiting[key])
        if item.used or refused or running:
            demand[key] = RenewalDemand(max(item.used, running), refused, running)
    return demand


def count_waiting(state: EntryState) -> Counter[ShareKey]:
    """Return the number of requests that wait because a share is exhausted, by share.

    `ShareDemand` counts a waiting request only once, in the interval in which it began to wait.
    """
    limits = compute_limits(state, state.clock.monotonic())
    shortages = (
        find_shortage(state.admission, limits, req.service) for req in state.admission.waiting
    )
    return Counter(key for key in shortages if key is not None)


def count_running(state: EntryState, key: ShareKey) -> int:
    """Return the number of requests in flight under a region limit, 0 for a shift cap."""
    match key.kind:
        case ShareKind.REGION_LIMIT:
            return state.admission.in_flight.total()
        case ShareKind.SERVICE_REGION_LIMIT:
            return state.admission.in_flight[key.service]
        case ShareKind.SHIFT_CAP:
            return 0


def follow_leader(renewal: Renewal, leader: str | None) -> None:
    """Select the named leader for the next call, or the next replica if none is named."""
    names = renewal.replicas
    renewal.position = names.index(leader) if leader in names else renewal.position + 1


async def return_shares(state: EntryState) -> None:
    """Give up all grants and notify the leader, as part of a drain.

    If the leader can't be reached, the shares return to it when their lease ends.
    """
    state.renewal.is_returned = True
    state.held_shares.grants = {}
    state.renewal.holds = 0
    await renew_once(state)
