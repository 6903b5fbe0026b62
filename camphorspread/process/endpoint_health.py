"""Measures latency and failures of endpoints and ranks the endpoints."""

from datetime import timedelta

import attrs

from camphorspread.process.endpoints import Endpoint, weigh_report

__all__ = [
    "EndpointHealth",
    "EndpointHealthTable",
    "count_free_slots",
    "get_health",
    "rank_endpoint",
    "record_result",
    "remove_endpoint_health",
    "service_time",
]

LATENCY_SMOOTHING = 0.2
# Measurements expire: otherwise a bad one would refuse requests forever, since only admitted
# requests give a new one.
MEASUREMENT_TTL = timedelta(seconds=5)
FAILURE_HALF_LIFE = timedelta(seconds=2)
# Smaller ratios are noise; following them would send a service with low load to one endpoint only.
NOISE_FACTOR = 1.5
MAX_LATENCY_FACTOR = 4.0


@attrs.define(eq=False)
class EndpointHealth:
    """Latency and failures of one endpoint, as measured by its owner.

    Attributes:
        latency_s: Exponential moving average of request times in seconds, None before the first.
        measured: Instant of the last measurement.
        failures: Number of failures, decayed by half every `FAILURE_HALF_LIFE`.
        failed: Instant of the last failure.
    """

    latency_s: float | None = None
    measured: timedelta = timedelta(0)
    failures: float = 0.0
    failed: timedelta = timedelta(0)


@attrs.define(eq=False)
class EndpointHealthTable:
    """Health of endpoints by service and name."""

    services: dict[str, dict[str, EndpointHealth]] = attrs.field(factory=dict)


def get_health(table: EndpointHealthTable, endpoint: Endpoint) -> EndpointHealth:
    """Return the health of an endpoint, and create it before the first measurement."""
    announcement = endpoint.announcement
    endpoints = table.services.setdefault(announcement.service, {})
    health = endpoints.get(announcement.endpoint)
    if health is None:
        health = endpoints[announcement.endpoint] = EndpointHealth()
    return health


def remove_endpoint_health(table: EndpointHealthTable, service: str, endpoint: str) -> None:
    """Remove the measurements of an endpoint that no longer exists."""
    table.services.get(service, {}).pop(endpoint, None)


def count_free_slots(endpoint: Endpoint, now: timedelta) -> int:
    """Return the number of slots that are free now, at most as many as were announced."""
    allowed = min(endpoint.admitted_slots(now), endpoint.announcement.slots)
    return max(allowed - endpoint.in_use, 0)


def record_result(
    table: EndpointHealthTable,
    endpoint: Endpoint,
    elapsed: timedelta,
    is_failure: bool,
    now: timedelta,
) -> None:
    """Record the result of a request in the measurements of its endpoint."""
    health = get_health(table, endpoint)
    if is_failure:
        health.failures = recent_failures(health, now) + 1
        health.failed = now
        return
    seconds = elapsed.total_seconds()
    if health.latency_s is None or now - health.measured > MEASUREMENT_TTL:
        health.latency_s = seconds
    else:
        health.latency_s += LATENCY_SMOOTHING * (seconds - health.latency_s)
    health.measured = now


def recent_failures(health: EndpointHealth, now: timedelta) -> float:
    """Return the number of failures, weighted by their age."""
    return health.failures * 0.5 ** ((now - health.failed) / FAILURE_HALF_LIFE)


def service_time(table: EndpointHealthTable, service: str, now: timedelta) -> timedelta:
    """Return the mean time of a request, zero without a recent measurement."""
    recent = [
        health.latency_s
        for health in table.services.get(service, {}).values()
        if health.latency_s is not None and now - health.measured <= MEASUREMENT_TTL
    ]
    return timedelta(seconds=sum(recent) / len(recent)) if recent else timedelta(0)


def fastest_latency(table: EndpointHealthTable, service: str, now: timedelta) -> float:
    """Return the latency of the fastest endpoint in seconds, 0 without a recent measurement.

    A mean over all endpoints would hide a slow one among few, because it contributes to the mean.
    """
    return min(
        (
            health.latency_s
            for health in table.services.get(service, {}).values()
            if health.latency_s is not None and now - health.measured <= MEASUREMENT_TTL
        ),
        default=0.0,
    )


def rank_endpoint(table: EndpointHealthTable, endpoint: Endpoint, now: timedelta) -> float:
    """Return the rank of an endpoint; the lowest is chosen first.

    The rank is the fraction of slots in use, multiplied by the latency relative to the fastest
    endpoint of the service, plus recent failures. A load report can only make the rank worse.
    """
    health = get_health(table, endpoint)
    slots = max(min(endpoint.admitted_slots(now), endpoint.announcement.slots), 1)
    share = (endpoint.in_use + 1) / slots
    failures = recent_failures(health, now)
    share = max(share, reported_share(endpoint, now))
    fastest_s = fastest_latency(table, endpoint.announcement.service, now)
    factor = 1.0
    if fastest_s and health.latency_s is not None and now - health.measured <= MEASUREMENT_TTL:
        factor = min(max(health.latency_s / fastest_s / NOISE_FACTOR, 1.0), MAX_LATENCY_FACTOR)
    return share * factor + failures


def reported_share(endpoint: Endpoint, now: timedelta) -> float:
    """Return the fraction of slots that the newest load report states as busy, times its weight."""
    weight = weigh_report(endpoint.reports, endpoint.last_error, now)
    return weight * endpoint.reports.report.busy_slots / endpoint.announcement.slots
