"""Counters and histograms of an entry VM that steers by routes."""

from collections import Counter
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

from camphorspread.process.metrics import (
    format_counter,
    format_gauges,
    format_summary,
    make_histogram,
    to_microseconds,
)

__all__ = ["SteeringMetrics", "format_steering_metrics", "record_result", "record_wait"]


# Organisations with a label of their own; those with the most requests.
MAX_ORGANISATIONS = 100
OTHERS = "(others)"


@attrs.define(eq=False)
class SteeringMetrics:
    """Metrics of an entry VM.

    Attributes:
        results: Requests that ended, by (service, result).
        places: Placements of requests, by (service, place).
        repeats: Repeated sends by service.
        unreadable_limits: Responses whose stated rate limit can't be read, by service.
        unreadable_departures: Responses whose statement on the server's departure can't be read, by
            service.
        key_refusals: Requests that were refused for their key, by reason.
        missing_routes: Requests for which this VM has no route, by reason.
        transfers: Transfers of catalogue updates, by result; a failed one goes on elsewhere.
        transfer_bytes: Bytes of complete transfers.
        unreadable_loads: Responses whose stated load can't be read, by service.
        pauses: Pauses that servers have asked for, by service.
        memory_refusals: Requests that were refused since too much was held, by what would have
            followed.
        quota_requests: Decisions on the quotas of organisations, by (organisation, result).
        times: Time to the response by service, in microseconds.
        time_sums: Sum of the recorded microseconds.
        waits: Time in the queue by service, in microseconds.
        wait_sums: Sum of the recorded microseconds.
    """

    results: Counter = attrs.field(factory=Counter)
    places: Counter = attrs.field(factory=Counter)
    repeats: Counter = attrs.field(factory=Counter)
    unreadable_limits: Counter = attrs.field(factory=Counter)
    unreadable_departures: Counter = attrs.field(factory=Counter)
    key_refusals: Counter = attrs.field(factory=Counter)
    missing_routes: Counter = attrs.field(factory=Counter)
    transfers: Counter = attrs.field(factory=Counter)
    transfer_bytes: Counter = attrs.field(factory=Counter)
    unreadable_loads: Counter = attrs.field(factory=Counter)
    pauses: Counter = attrs.field(factory=Counter)
    memory_refusals: Counter = attrs.field(factory=Counter)
    quota_requests: Counter = attrs.field(factory=Counter)
    times: dict[str, HdrHistogram] = attrs.field(factory=dict)
    time_sums: Counter = attrs.field(factory=Counter)
    waits: dict[str, HdrHistogram] = attrs.field(factory=dict)
    wait_sums: Counter = attrs.field(factory=Counter)


def record_result(metrics: SteeringMetrics, service: str, result: str, duration: timedelta) -> None:
    """Count a request that has ended."""
    metrics.results[(service, result)] += 1
    record_duration(metrics.times, metrics.time_sums, service, duration)


def record_wait(metrics: SteeringMetrics, service: str, duration: timedelta) -> None:
    """Record how long a request waited for its placement."""
    record_duration(metrics.waits, metrics.wait_sums, service, duration)


def record_duration(
    histograms: dict[str, HdrHistogram], sums: Counter, service: str, duration: timedelta
) -> None:
    """Record a duration in the histogram of a service."""
    histogram = histograms.get(service)
    if histogram is None:
        histogram = histograms[service] = make_histogram()
    value = to_microseconds(duration)
    histogram.record_value(value)
    sums[service] += value


COUNTERS = (
    ("results", ("service", "result"), "Requests that ended."),
    ("places", ("service", "place"), "Placements of requests."),
    ("repeats", ("service",), "Repeated sends to backend servers."),
    ("unreadable_limits", ("service",), "Responses whose stated rate limit can't be read."),
    (
        "unreadable_departures",
        ("service",),
        "Responses whose statement on the server's departure can't be read.",
    ),
    ("key_refusals", ("reason",), "Requests that were refused for their key."),
    ("missing_routes", ("reason",), "Requests for which this VM has no route."),
    ("transfers", ("result",), "Transfers of catalogue updates."),
    ("transfer_bytes", (), "Bytes of complete transfers of catalogue updates."),
    ("unreadable_loads", ("service",), "Responses whose stated load can't be read."),
    ("pauses", ("service",), "Pauses that backend servers have asked for."),
    ("memory_refusals", ("stage",), "Requests refused since this VM holds too much for others."),
)


def sum_up_rest(counts: Counter) -> Counter:
    """Return counts by (organisation, result), with one label for all but the largest ones."""
    totals: Counter = Counter()
    for (organisation, _), count in counts.items():
        totals[organisation] += count
    if len(totals) <= MAX_ORGANISATIONS:
        return counts
    largest = {organisation for organisation, _ in totals.most_common(MAX_ORGANISATIONS)}
    result: Counter = Counter()
    for (organisation, kind), count in counts.items():
        result[(organisation if organisation in largest else OTHERS, kind)] += count
    return result


def format_steering_metrics(metrics: SteeringMetrics, gauges: dict[str, tuple[str, float]]) -> str:
    """Return all metrics in the Prometheus text format."""
    lines = format_gauges(gauges)
    for name, labels, description in COUNTERS:
        lines += format_counter(f"steering_{name}", labels, description, getattr(metrics, name))
    lines += format_counter(
        "quota_requests",
        ("organisation", "result"),
        "Decisions on the quotas of organisations; the last label sums up all other ones.",
        sum_up_rest(metrics.quota_requests),
    )
    for name, histograms, sums in (
        ("time", metrics.times, metrics.time_sums),
        ("wait", metrics.waits, metrics.wait_sums),
    ):
        metric = f"camphorspread_steering_{name}_seconds"
        lines += [f"# TYPE {metric} summary"]
        for service, histogram in sorted(histograms.items()):
            lines += format_summary(metric, {"service": service}, histogram, sums[service])
    return "\n".join(lines) + "\n"
