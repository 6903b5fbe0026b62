"""Lends backend servers to the other entry VMs of the region.

This helps several entry VMs with slow links or little processor time in front of many backend
servers: forwarding a request costs the work and bandwidth of two VMs, sending it to a borrowed
server those of one. In addition, all VMs of a region choose among the same servers, so that an
object keeps its server when the owners change.

The owner sends a list of the servers that it lends. A loan is a lease that lasts for a short time
from the last proven contact with the owner. So a departure that the owner confirms takes effect at
all borrowers soon, even at those that the owner can't reach. Cold servers aren't lent: their rate
limit applies to the whole fleet and is enforced by their owner alone.
"""

import math
from datetime import timedelta

import attrs

from camphorspread.process.instances import (
    Instance,
    InstanceRegistry,
    InstanceReport,
    add_instance,
    drop_instance,
    is_in_service,
    list_owned_instances,
    set_lender,
    take_over_address,
)

__all__ = [
    "LentList",
    "extend_loans",
    "loan_duration",
    "max_requests_per_vm",
    "replace_loans",
    "update_lent_list",
]

# Summaries within a small region are sent four times a second, so one or two may be lost.
LOAN_TIME = timedelta(seconds=1.2)
# Summaries between two VMs during a loan in a large region. A VM that only responds to them learns
# of a contact one interval later.
INTERVALS_PER_LOAN = 2.2
# Time for which requests that were sent before the end of a loan may take to arrive; at most half
# of the time within which a leaving server must stop getting requests.
ARRIVAL_TIME = timedelta(milliseconds=900)
# Overcommit: together the VMs may have this many times the server's slots in flight, so that one VM
# can use the slots that others leave idle. A request then waits for at most one run at the server.
OVERCOMMIT_FACTOR = 2


def loan_duration(drain_limit: timedelta, interval: timedelta) -> timedelta:
    """Return the duration of a loan.

    Args:
        drain_limit: Time after a confirmed departure by which requests to the server must stop.
        interval: Desired time between two summaries, which is long in a region with many VMs.
    """
    longest = max(drain_limit - ARRIVAL_TIME, drain_limit / 2)
    return min(max(LOAN_TIME, INTERVALS_PER_LOAN * interval), longest)


def max_requests_per_vm(slots: int, sharers: int) -> int:
    """Return how many requests one VM may have in flight at a shared server.

    Many VMs that each fill the slots of the server would build up a queue there before any of them
    learns of the others' requests.

    Args:
        slots: Number of requests that the server processes concurrently.
        sharers: Number of VMs that send to it.
    """
    return min(slots, math.ceil(OVERCOMMIT_FACTOR * slots / max(sharers, 1)))


@attrs.define(eq=False)
class LentList:
    """List of the servers that this VM lends.

    Attributes:
        number: Version of the list, incremented with each change.
        starts: Identifier and start time of each server in it.
        reports: Their announcements.
    """

    number: int = 0
    starts: tuple[tuple[str, int], ...] = ()
    reports: tuple[InstanceReport, ...] = ()


def update_lent_list(
    lent: LentList,
    registry: InstanceRegistry,
    evacuated_zones: frozenset[str],
    now: timedelta,
) -> None:
    """Update the list of lent servers; one that asked this VM for a pause may serve the others."""
    reports = tuple(
        item.report
        for item in list_owned_instances(registry)
        if is_in_service(item, evacuated_zones, now) and not item.is_cold(now)
    )
    starts = tuple((report.instance, report.started_ms) for report in reports)
    if starts != lent.starts:
        lent.number += 1
        lent.starts = starts
    lent.reports = reports


def replace_loans(
    registry: InstanceRegistry,
    lender: str,
    reports: list[InstanceReport],
    until: timedelta,
    now: timedelta,
) -> None:
    """Replace the servers that are borrowed from another VM.

    Args:
        registry: Known backend servers.
        lender: Name of the other VM.
        reports: Announcements of all servers that it lends.
        until: End of the loans.
        now: The present instant.
    """
    for report in reports:
        borrow_instance(registry, lender, report, until, now)
    listed = {report.instance for report in reports}
    for name in [name for name in registry.by_lender.get(lender, ()) if name not in listed]:
        drop_instance(registry, name)


def borrow_instance(
    registry: InstanceRegistry,
    lender: str,
    report: InstanceReport,
    until: timedelta,
    now: timedelta,
) -> None:
    """Borrow one server, unless this VM has newer information about it or owns it."""
    tombstone = registry.tombstones.get(report.instance)
    if tombstone is not None and report.order <= tombstone.order:
        return
    known = registry.instances.get(report.instance)
    if known is not None:
        is_own = not known.lender and now < known.usable_until
        if is_own or report.started_ms < known.report.started_ms:
            return
        if known.lender and report.started_ms == known.report.started_ms:
            set_lender(registry, known, lender)
            known.usable_until = max(known.usable_until, until)
            return
    if not take_over_address(registry, report, now):
        return
    drop_instance(registry, report.instance)
    add_instance(registry, Instance(report, until, now, now, lender=lender))


def extend_loans(registry: InstanceRegistry, lender: str, until: timedelta) -> int:
    """Extend all loans of a VM whose list hasn't changed; return their number."""
    lent = registry.by_lender.get(lender, {})
    for item in lent.values():
        item.usable_until = max(item.usable_until, until)
    return len(lent)
