"""Computes the admission limits of this VM from its permanent parts and its leased shares."""

from datetime import timedelta

from camphorspread.process.entry_state import EntryState
from camphorspread.request.admission import AdmissionLimits
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.shares import ShareKey, ShareKind, permanent_part

__all__ = ["compute_limits"]


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
    )
