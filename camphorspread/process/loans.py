"""Backend servers that an entry VM lends to the others of its region.

The load pattern that this answers: several entry VMs, on thin links or short of processor time,
before many backend servers. A pass costs the work and the bytes of two VMs, a send to a lent server
those of one. Besides, all VMs of a region choose among the same servers, so that an object keeps
its server when the owners change.

The owner lists what it lends. A loan holds for a short time from the newest instant at which the
owner is known to have had contact, so that a departure that the owner confirms binds all borrowers
soon, even those that it can't reach. Cold servers aren't lent: their bound holds for the whole
fleet and is kept by their owner alone.
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
    is_usable,
    owned_instances,
    yield_address,
)

__all__ = [
    "LentList",
    "extend_loans",
    "list_lent",
    "loan_time",
    "slot_share",
    "take_loans",
]

# Summaries within a region come four times a second, so one or two may be lost.
LOAN_TIME = timedelta(seconds=1.2)
# Part of the time in which a leaving server must get nothing more.
DRAIN_PART = 0.5
# Together the VMs may have this many times the slots under way, so that one of them can use those
# that the others leave. A request then waits for one run at the server at most.
SHARE_FACTOR = 2


def loan_time(drain_limit: timedelta) -> timedelta:
    """Return for how long a loan holds.

    Args:
        drain_limit: Time after a confirmed departure from which on the server must get nothing.
    """
    return min(LOAN_TIME, drain_limit * DRAIN_PART)


def slot_share(slots: int, sharers: int) -> int:
    """Return how many requests one VM may have at a server that several VMs send to.

    Many VMs that each fill the slots of the server would pile up a queue there before any of them
    hears of the others.

    Args:
        slots: Requests that the server works on at a time.
        sharers: VMs that send to it.
    """
    return min(slots, math.ceil(SHARE_FACTOR * slots / max(sharers, 1)))


@attrs.define(eq=False)
class LentList:
    """What this VM lends.

    Attributes:
        number: Grows with each change of the list.
        starts: Identifier and start of each server in it.
        reports: Their announcements.
    """

    number: int = 0
    starts: tuple[tuple[str, int], ...] = ()
    reports: tuple[InstanceReport, ...] = ()


def list_lent(
    lent: LentList,
    registry: InstanceRegistry,
    evacuated_zones: frozenset[str],
    now: timedelta,
) -> None:
    """Bring the list of lent servers up to date."""
    reports = tuple(
        item.report
        for item in owned_instances(registry)
        if is_usable(item, evacuated_zones, now) and not item.is_cold(now)
    )
    starts = tuple((report.instance, report.started_ms) for report in reports)
    if starts != lent.starts:
        lent.number += 1
        lent.starts = starts
    lent.reports = reports


def take_loans(
    registry: InstanceRegistry,
    lender: str,
    reports: list[InstanceReport],
    until: timedelta,
    now: timedelta,
) -> None:
    """Replace the servers that another VM lends.

    Args:
        registry: Known backend servers.
        lender: The other VM.
        reports: All servers that it lends.
        until: Until when the loans hold.
        now: The present instant.
    """
    for report in reports:
        take_loan(registry, lender, report, until, now)
    listed = {report.instance for report in reports}
    for item in list(registry.instances.values()):
        if item.lender == lender and item.name not in listed:
            drop_instance(registry, item.name)


def take_loan(
    registry: InstanceRegistry,
    lender: str,
    report: InstanceReport,
    until: timedelta,
    now: timedelta,
) -> None:
    """Take one server that another VM lends, unless this VM knows better."""
    tombstone = registry.tombstones.get(report.instance)
    if tombstone is not None and report.order <= tombstone.order:
        return
    known = registry.instances.get(report.instance)
    if known is not None:
        is_own = not known.lender and now < known.usable_until
        if is_own or report.started_ms < known.report.started_ms:
            return
        if known.lender and report.started_ms == known.report.started_ms:
            known.lender = lender
            known.usable_until = max(known.usable_until, until)
            return
    if not yield_address(registry, report, now):
        return
    drop_instance(registry, report.instance)
    add_instance(registry, Instance(report, until, now, now, lender=lender))


def extend_loans(registry: InstanceRegistry, lender: str, until: timedelta) -> int:
    """Let all loans of another VM, whose list hasn't changed, hold longer; return their number."""
    lent = [item for item in registry.instances.values() if item.lender == lender]
    for item in lent:
        item.usable_until = max(item.usable_until, until)
    return len(lent)
