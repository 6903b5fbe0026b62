"""Measured latency and failures of endpoints, and how they are ranked."""

from datetime import timedelta

import attrs

from camphorspread.process.endpoints import Endpoint, report_weight

__all__ = [
    "EndpointHealth",
    "SlotTable",
    "count_free_slots",
    "find_health",
    "forget_endpoint",
    "rank_endpoint",
    "record_result",
    "service_time",
]

LATENCY_WEIGHT = 0.2
# An old measurement must not refuse requests for ever, as only admitted ones give a new one.
MEASUREMENT_LIFE = timedelta(seconds=5)
FAILURE_HALF_LIFE = timedelta(seconds=2)
# Smaller differences are noise; following them would send a quiet service to one endpoint only.
NOISE_FACTOR = 1.5
MAX_LATENCY_FACTOR = 4.0


@attrs.define(eq=False)
class EndpointHealth:
    """What the owner measured at one endpoint.

    Attributes:
        latency_s: Moving average of the time of a request in seconds, None before the first.
        measured: Instant of the last measurement.
        failures: Failures, halved every `FAILURE_HALF_LIFE`.
        failed: Instant of the last failure.
    """

    latency_s: float | None = None
    measured: timedelta = timedelta(0)
    failures: float = 0.0
    failed: timedelta = timedelta(0)


@attrs.define(eq=False)
class SlotTable:
    """Health of endpoints by service and name."""

    services: dict[str, dict[str, EndpointHealth]] = attrs.field(factory=dict)


def find_health(table: SlotTable, endpoint: Endpoint) -> EndpointHealth:
    """Return the health of an endpoint, new if nothing was measured yet."""
    announcement = endpoint.announcement
    endpoints = table.services.setdefault(announcement.service, {})
    health = endpoints.get(announcement.endpoint)
    if health is None:
        health = endpoints[announcement.endpoint] = EndpointHealth()
    return health


def forget_endpoint(table: SlotTable, service: str, endpoint: str) -> None:
    """Drop the measurements of an endpoint that has gone."""
    table.services.get(service, {}).pop(endpoint, None)


def count_free_slots(endpoint: Endpoint, now: timedelta) -> int:
    """Return the slots that may be taken now, never more than were announced."""
    allowed = min(endpoint.admitted_slots(now), endpoint.announcement.slots)
    return max(allowed - endpoint.in_use, 0)


def record_result(
    table: SlotTable, endpoint: Endpoint, elapsed: timedelta, is_failure: bool, now: timedelta
) -> None:
    """Take the end of a request into the measurements of its endpoint."""
    health = find_health(table, endpoint)
    if is_failure:
        health.failures = recent_failures(health, now) + 1
        health.failed = now
        return
    seconds = elapsed.total_seconds()
    if health.latency_s is None or now - health.measured > MEASUREMENT_LIFE:
        health.latency_s = seconds
    else:
        health.latency_s += LATENCY_WEIGHT * (seconds - health.latency_s)
    health.measured = now


def recent_failures(health: EndpointHealth, now: timedelta) -> float:
    """Return the failures, weighted by their age."""
    return health.failures * 0.5 ** ((now - health.failed) / FAILURE_HALF_LIFE)


def service_time(table: SlotTable, service: str, now: timedelta) -> timedelta:
    """Return the mean time of a request, zero if nothing was measured lately."""
    recent = [
        health.latency_s
        for health in table.services.get(service, {}).values()
        if health.latency_s is not None and now - health.measured <= MEASUREMENT_LIFE
    ]
    return timedelta(seconds=sum(recent) / len(recent)) if recent else timedelta(0)


def fastest_latency(table: SlotTable, service: str, now: timedelta) -> float:
    """Return the smallest mean time of a request at an endpoint in seconds, 0 without one.

    The mean of all endpoints would hide a slow one among few, because it is part of it.
    """
    return min(
        (
            health.latency_s
            for health in table.services.get(service, {}).values()
            if health.latency_s is not None and now - health.measured <= MEASUREMENT_LIFE
        ),
        default=0.0,
    )


def rank_endpoint(table: SlotTable, endpoint: Endpoint, now: timedelta) -> float:
    """Return the rank of an endpoint; the lowest is used first.

    The share of slots in use counts, multiplied by the latency relative to the fastest endpoint
    of the service, plus recent failures. A load report can only make the rank worse.
    """
    health = find_health(table, endpoint)
    slots = max(min(endpoint.admitted_slots(now), endpoint.announcement.slots), 1)
    share = (endpoint.in_use + 1) / slots
    failures = recent_failures(health, now)
    share = max(share, reported_share(endpoint, now))
    fastest_s = fastest_latency(table, endpoint.announcement.service, now)
    factor = 1.0
    if fastest_s and health.latency_s is not None and now - health.measured <= MEASUREMENT_LIFE:
        factor = min(max(health.latency_s / fastest_s / NOISE_FACTOR, 1.0), MAX_LATENCY_FACTOR)
    return share * factor + failures


def reported_share(endpoint: Endpoint, now: timedelta) -> float:
    """Return the share of slots that the newest load report calls busy, by its weight."""
    weight = report_weight(endpoint.reports, endpoint.last_error, now)
    return weight * endpoint.reports.report.busy_slots / endpoint.announcement.slots
