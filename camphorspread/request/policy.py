"""Load-balancing policies for endpoints with a free slot: the default and two baselines."""

from datetime import timedelta

import attrs

from camphorspread.process.endpoint_health import EndpointHealthTable, rank_endpoint
from camphorspread.process.endpoints import Endpoint

__all__ = [
    "DEFAULT_POLICY",
    "EndpointPolicy",
    "LeastReportedLoad",
    "MeasuredLoad",
    "RoundRobin",
    "pick_endpoint",
]


@attrs.frozen
class MeasuredLoad:
    """Slots in use, latency and failures measured by this owner; load reports are only hints."""


@attrs.frozen
class RoundRobin:
    """Each endpoint in turn, a baseline for benchmarks."""


@attrs.frozen
class LeastReportedLoad:
    """The endpoint that reports the smallest share of busy slots, a baseline for benchmarks."""


EndpointPolicy = MeasuredLoad | RoundRobin | LeastReportedLoad

DEFAULT_POLICY = MeasuredLoad()


def pick_endpoint(
    policy: EndpointPolicy, table: EndpointHealthTable, free: list[Endpoint], now: timedelta
) -> Endpoint:
    """Return one of the endpoints with a free slot.

    Args:
        policy: Load-balancing policy.
        table: Measured latency and failures of the endpoints.
        free: Endpoints with a free slot, at least one.
        now: Current monotonic time.
    """
    match policy:
        case MeasuredLoad():
            return min(free, key=lambda endpoint: rank_endpoint(table, endpoint, now))
        case RoundRobin():
            return min(free, key=lambda endpoint: endpoint.sent)
        case LeastReportedLoad():
            return min(free, key=reported_share)


def reported_share(endpoint: Endpoint) -> float:
    """Return the share of busy slots in the newest load report."""
    return endpoint.announcement.report.busy_slots / endpoint.announcement.slots
