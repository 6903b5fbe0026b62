"""Computes the admission limits of this VM from its permanent parts and its leased shares."""

from datetime import timedelta

from camphorspread.process.entry_state import EntryState
from camphorspread.request.admission import AdmissionLimits
from camphorspread.version.catalogue import Catalogue, RegionEntry
from camphorspread.version.shares import HeldShares, ShareKey, ShareKind, permanent_part

__all__ = ["compute_limits", "has_lapsed"]

# A new leader is elected within 1.6 s and then grants nothing for one lease (2 s); VMs renew every
# 0.5 s.
LAPSE_TIME = timedelta(seconds=4)


def compute_limits(state: EntryState, now: timedelta, service: str = "") -> AdmissionLimits:
    """Return the admission limits by the current catalogue and the currently held shares.

    Args:
        state: State of the entry process.
        now: Current instant.
        service: A service to include in addition to those with waiting requests.
    """
    catalogue = state.catalogue or Catalogue()
    region = state.fleet.own.region
    entry = catalogue.find_region(region)
    vms = entry.vms if entry else ()
    vms = vms or tuple(vm.vm for vm in state.fleet.vms.values() if vm.region == region)

    def share(kind: ShareKind, limit: int, service: str = "") -> int:
        key = ShareKey(kind, region, service)
        if key in state.held_shares.permanent:
            return state.held_shares.total(key, now)
        # The catalogue doesn't name the VMs of the region, so none of them is granted a share.
        return permanent_part(limit, vms, state.fleet.own_vm)

    names = {service, *(req.service for req in state.admission.waiting)}
    services = [item for name in sorted(names) if (item := catalogue.find_service(name))]
    return AdmissionLimits(
        region=region,
        region_share=share(ShareKind.REGION_LIMIT, entry.limit) if entry else None,
        region_queue_length=find_region_queue_length(state, region, entry, now),
        service_shares={
            item.name: share(ShareKind.SERVICE_REGION_LIMIT, item.region_limit, item.name)
            for item in services
        },
        shift_shares={
            item.name: state.held_shares.amount(
                ShareKey(ShareKind.SHIFT_CAP, service=item.name), now
            )
            for item in services
        },
        queue_lengths={item.name: item.queue_length for item in services},
        awaited_shift_shares=frozenset(
            item.name
            for item in services
            if has_lapsed(state.held_shares, ShareKey(ShareKind.SHIFT_CAP, service=item.name), now)
        ),
    )


def find_region_queue_length(
    state: EntryState, region: str, entry: RegionEntry | None, now: timedelta
) -> int | None:
    """Return how many requests may wait for the region share, None for as many as the share.

    Refusing the requests that wait beyond a share that has just lapsed would lose them although the
    share returns before their deadlines, so that up to the whole limit may wait.
    """
    key = ShareKey(ShareKind.REGION_LIMIT, region)
    return entry.limit if entry and has_lapsed(state.held_shares, key, now) else None


def has_lapsed(held: HeldShares, key: ShareKey, now: timedelta) -> bool:
    """Return True if a leased share has ended and is expected back from a new leader."""
    lapsed = held.time_since_lapse(key, now)
    return lapsed is not None and lapsed <= LAPSE_TIME
