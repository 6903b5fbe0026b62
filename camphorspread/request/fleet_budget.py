"""Repeated sends to backend servers, bounded over the whole fleet without messages.

The load pattern that this answers: many backend servers fail or reject at once, and repeated sends
would multiply the load on those that are left.
"""

from datetime import timedelta

import attrs

from camphorspread.request.window import SlidingWindow, count_recent, record_event

__all__ = ["FleetBudget", "allowed_repeats", "record_first_send", "try_repeat"]

BUCKETS = 20
# Callers may count requests in other windows than this VM does.
KEPT_PART = 0.7


@attrs.define(eq=False)
class ServiceCounts:
    """Requests and repeated sends of one service in the last window."""

    requests: SlidingWindow
    repeats: SlidingWindow


@attrs.define(eq=False)
class FleetBudget:
    """The part of the fleet's budget that this VM may use.

    Attributes:
        ratio: Repeated sends for each request.
        window: Time over which both are counted.
        slack: Repeated sends of the whole fleet allowed beside the ratio.
        services: Counts by service.
    """

    ratio: float
    window: timedelta
    slack: int
    services: dict[str, ServiceCounts] = attrs.field(factory=dict)

    def find(self, service: str) -> ServiceCounts:
        """Return the counts of a service."""
        counts = self.services.get(service)
        if counts is None:
            width = self.window / BUCKETS
            counts = ServiceCounts(SlidingWindow(width, BUCKETS), SlidingWindow(width, BUCKETS))
            self.services[service] = counts
        return counts


def record_first_send(budget: FleetBudget, service: str, now: timedelta) -> None:
    """Count a request of a caller."""
    record_event(budget.find(service).requests, now)


def allowed_repeats(budget: FleetBudget, service: str, vms: int, now: timedelta) -> int:
    """Return how many repeated sends this VM may make in a window.

    Args:
        budget: Its part of the budget.
        service: Name of the service.
        vms: Entry VMs that share the slack.
        now: The present instant.
    """
    requests = count_recent(budget.find(service).requests, now)
    return int(KEPT_PART * (budget.ratio * requests + budget.slack / max(vms, 1)))


def try_repeat(budget: FleetBudget, service: str, vms: int, now: timedelta) -> bool:
    """Count a repeated send if the budget allows it."""
    counts = budget.find(service)
    if count_recent(counts.repeats, now) >= allowed_repeats(budget, service, vms, now):
        return False
    record_event(counts.repeats, now)
    return True
