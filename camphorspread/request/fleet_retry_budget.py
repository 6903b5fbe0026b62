"""Retry budget of route steering, bounded over the whole fleet without coordination.

It guards against retry storms: when many backend servers fail or reject simultaneously, retries
would multiply the load on the remaining ones.
"""

from datetime import timedelta

import attrs

from camphorspread.request.window import SlidingWindow, count_recent, record_event

__all__ = [
    "FleetRetryBudget",
    "RetryShare",
    "allowed_repeats",
    "record_first_send",
    "try_fleet_retry",
]

WINDOW_BUCKETS = 20
# Safety factor: callers may count requests over windows that differ from those of this VM.
SAFETY_FACTOR = 0.7


@attrs.frozen
class RetryShare:
    """This VM's part of the budget.

    Attributes:
        vms: Number of entry VMs that share the slack, None if it isn't known yet.
        is_new: True in the first window of this process, in which it uses only what a former
            process of this VM has certainly left over.
    """

    vms: int | None
    is_new: bool = False


@attrs.define(eq=False)
class ServiceCounts:
    """Requests and retries of one service in the last window."""

    requests: SlidingWindow
    repeats: SlidingWindow


@attrs.define(eq=False)
class FleetRetryBudget:
    """This VM's share of the fleet's retry budget.

    Attributes:
        ratio: Retries allowed per request.
        window: Time over which requests and retries are counted.
        slack: Retries that the whole fleet is allowed in addition to the ratio.
        services: Counts by service.
    """

    ratio: float
    window: timedelta
    slack: int
    services: dict[str, ServiceCounts] = attrs.field(factory=dict)

    def get_counts(self, service: str) -> ServiceCounts:
        """Return the counts of a service, created on first use."""
        counts = self.services.get(service)
        if counts is None:
            width = self.window / WINDOW_BUCKETS
            counts = ServiceCounts(
                SlidingWindow(width, WINDOW_BUCKETS), SlidingWindow(width, WINDOW_BUCKETS)
            )
            self.services[service] = counts
        return counts


def record_first_send(budget: FleetRetryBudget, service: str, now: timedelta) -> None:
    """Count the first send of a caller's request."""
    record_event(budget.get_counts(service).requests, now)


def allowed_repeats(
    budget: FleetRetryBudget, service: str, share: RetryShare, now: timedelta
) -> int:
    """Return how many retries this VM may send in a window.

    Args:
        budget: This VM's share of the budget.
        service: Name of the service.
        share: This VM's part of it.
        now: Current monotonic time.
    """
    requests = count_recent(budget.get_counts(service).requests, now)
    slack = 0.0 if share.vms is None else budget.slack / max(share.vms, 1)
    factor = 1 - SAFETY_FACTOR if share.is_new else SAFETY_FACTOR
    return int(factor * (budget.ratio * requests + slack))


def try_fleet_retry(
    budget: FleetRetryBudget, service: str, share: RetryShare, now: timedelta
) -> bool:
    """Count a retry if the budget allows it; the arguments are as for `allowed_repeats`."""
    counts = budget.get_counts(service)
    if count_recent(counts.repeats, now) >= allowed_repeats(budget, service, share, now):
        return False
    record_event(counts.repeats, now)
    return True
