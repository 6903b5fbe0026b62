"""Remembers entry VMs that couldn't be connected to, until they report again.

A VM in another availability zone is suspected up to 3 s after its death. Until then its last report
names free slots, which would send requests there in vain that could wait or go elsewhere.
"""

from datetime import timedelta

import attrs

from camphorspread.process.fleet import VmRecord

__all__ = ["ConnectFailures", "is_reachable", "record_connect_failure"]

# A report that arrives this soon after the failure may be from before it, as delegates relay
# summaries.
REPORT_LAG = timedelta(seconds=2)


@attrs.define(eq=False)
class ConnectFailures:
    """When a connection to an entry VM last failed, by VM."""

    instants: dict[str, timedelta] = attrs.field(factory=dict)


def record_connect_failure(failures: ConnectFailures, vm: str, now: timedelta) -> None:
    """Record that a connection to an entry VM failed."""
    failures.instants[vm] = now


def is_reachable(failures: ConnectFailures, record: VmRecord) -> bool:
    """Return True unless the last connection to a VM failed and it hasn't reported since then."""
    failed = failures.instants.get(record.vm)
    if failed is None:
        return True
    return record.measured is not None and record.measured > failed + REPORT_LAG
