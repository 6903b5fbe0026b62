"""Decides whether a request that would wait long after the loss of a VM goes to another region.

The shift controller moves callers in steps of a tenth, each after a lookup time-to-live. After the
loss of an entry VM, its region may lack half of its slots until the quarantine ends, so that the
queues would fill before the moves take effect. While no VM of the region is lost, requests wait,
which leaves the caches of other regions to their own callers. A request that overflows counts
against the shift cap like any other that is served outside its home region.
"""

from collections import deque
from datetime import timedelta

import attrs

from camphorspread.process.fleet import FleetView, VmRecord, VmState
from camphorspread.request.reachability import ConnectFailures, is_reachable
from camphorspread.version.catalogue import Catalogue, DrainKind

__all__ = ["OverflowLog", "choose_overflow", "has_lost_vm", "record_overflow"]

# Older reports of load say too little about free slots.
STALE_AFTER = timedelta(seconds=3)
# A load report is at most this old when it is received: delegates exchange summaries once a second.
REPORT_AGE = timedelta(seconds=1)


@attrs.define(eq=False)
class OverflowLog:
    """Instants at which this VM sent requests to other regions, by VM and service, oldest first."""

    sent: dict[tuple[str, str], deque[timedelta]] = attrs.field(factory=dict)


def record_overflow(log: OverflowLog, vm: str, service: str, now: timedelta) -> None:
    """Record a request that is sent to a VM of another region, and remove old ones."""
    instants = log.sent.setdefault((vm, service), deque())
    while instants and now - instants[0] > STALE_AFTER + REPORT_AGE:
        instants.popleft()
    instants.append(now)


def choose_overflow(
    catalogue: Catalogue,
    fleet: FleetView,
    failures: ConnectFailures,
    log: OverflowLog,
    service: str,
    wait: timedelta,
    now: timedelta,
) -> VmRecord | None:
    """Return the VM of another region that should serve a request now, None to let it wait.

    Args:
        catalogue: The newest catalogue.
        fleet: Known entry VMs.
        failures: Failed connections to entry VMs.
        log: Requests that this VM sent to other regions.
        service: Name of the service.
        wait: Expected wait for a slot of this VM.
        now: Current instant.

    Returns:
        The nearest VM that has a free slot left after the requests that its report can't include,
        if the wait exceeds the promised time of the service and the round trip to that VM.
    """
    entry = catalogue.find_service(service)
    region = catalogue.find_region(fleet.own.region)
    if entry is None or region is None or wait <= timedelta(milliseconds=entry.promised_ms):
        return None
    best: tuple[float, int, str] | None = None
    for record in fleet.vms.values():
        delay_ms = region.delays_ms.get(record.region)
        if delay_ms is None or wait <= timedelta(milliseconds=2 * delay_ms):
            continue
        if not may_overflow_to(catalogue, failures, record, now):
            continue
        free = record.free_slots.get(service, 0) - count_unreported(log, record, service)
        rank = (delay_ms, -free, record.vm)
        if free > 0 and (best is None or rank < best):
            best = rank
    return fleet.vms[best[2]] if best is not None else None


def has_lost_vm(fleet: FleetView, failures: ConnectFailures) -> bool:
    """Return True if another entry VM of this VM's region is suspected, lost or unreachable."""
    return any(
        record.region == fleet.own.region
        and record.vm != fleet.own_vm
        and (
            record.state in (VmState.SUSPECTED, VmState.LOST) or not is_reachable(failures, record)
        )
        for record in fleet.vms.values()
    )


def may_overflow_to(
    catalogue: Catalogue, failures: ConnectFailures, record: VmRecord, now: timedelta
) -> bool:
    """Return True if a VM is reachable, has reported its load recently and isn't drained."""
    if record.state is not VmState.ALIVE or not is_reachable(failures, record):
        return False
    if record.measured is None or now - record.measured > STALE_AFTER:
        return False
    return not (
        catalogue.is_drained(DrainKind.VM, record.vm)
        or catalogue.is_drained(DrainKind.AVAILABILITY_ZONE, record.availability_zone)
        or catalogue.is_drained(DrainKind.REGION, record.region)
    )


def count_unreported(log: OverflowLog, record: VmRecord, service: str) -> int:
    """Return the number of requests sent to a VM that its last load report can't include."""
    start = record.measured - REPORT_AGE
    return sum(1 for sent in log.sent.get((record.vm, service), ()) if sent >= start)
