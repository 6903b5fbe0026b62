"""Ways to choose among the endpoints with a free slot: the one in use and two baselines."""

from datetime import timedelta

import attrs

from camphorspread.process.endpoints import Endpoint
from camphorspread.process.slots import SlotTable, rank_endpoint

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
    """Slots in use, latency and failures that this owner measured; reports are hints only."""


@attrs.frozen
class RoundRobin:
    """Each endpoint in turn, a baseline for measurements."""


@attrs.frozen
class LeastReportedLoad:
    """The endpoint that reports the smallest share of busy slots, a baseline for measurements."""


EndpointPolicy = MeasuredLoad | RoundRobin | LeastReportedLoad

DEFAULT_POLICY = MeasuredLoad()


def pick_endpoint(
    policy: EndpointPolicy, table: SlotTable, free: list[Endpoint], now: timedelta
) -> Endpoint:
    """Return one of the endpoints with a free slot.

    Args:
        policy: How to choose.
        table: Measurements at the endpoints.
        free: At least one endpoint.
        now: Current instant.
    """
    match policy:
        case MeasuredLoad():
            return min(free, key=lambda endpoint: rank_endpoint(table, endpoint, now))
        case RoundRobin():
            return min(free, key=lambda endpoint: endpoint.sent)
        case LeastReportedLoad():
            return min(free, key=reported_share)


def reported_share(endpoint: Endpoint) -> float:
    """Return the share of slots that the newest load report calls busy."""
    return endpoint.announcement.report.busy_slots / endpoint.announcement.slots
