"""Metrics of what an entry VM has learned about the runs of services."""

import itertools
from collections.abc import Mapping
from datetime import timedelta

from camphorspread.process.metrics import format_labels
from camphorspread.request.placement_board import ServiceWork
from camphorspread.request.run_distribution import find_percentile_s

__all__ = ["format_learned_runs"]

PREFIX = "camphorspread_steering"
QUANTILES = (0.5, 0.9, 0.99)
# Kinds of runs with a metric, over all services: each takes four lines.
MAX_KINDS = 100
GAUGES = (
    ("speed_age_seconds", "gauge", "Time since the newest report of a machine's speed."),
    ("speed_reports_total", "counter", "Reports of a machine's speed."),
    ("typical_speed", "gauge", "Median of the reported speeds, at least 1."),
    ("run_mean_seconds", "gauge", "Learned mean run time, newer runs having more weight."),
    ("run_seconds", "gauge", "Learned percentiles of the run time."),
)


def format_learned_runs(work: Mapping[str, ServiceWork], now: timedelta) -> str:
    """Return the learned run times and the speed reports in the Prometheus text format.

    Args:
        work: What is known about the runs, by service.
        now: Current monotonic time.

    Returns:
        An empty text if no server reports a speed.
    """
    if not work:
        return ""
    samples: dict[str, list[str]] = {name: [] for name, _, _ in GAUGES}
    services = sorted(work.items())
    for service, item in services:
        age_s = (now - item.speed_reported_at).total_seconds()
        add_sample(samples, "speed_age_seconds", {"service": service}, age_s)
        add_sample(samples, "speed_reports_total", {"service": service}, item.speed_reports)
        add_sample(samples, "typical_speed", {"service": service}, item.typical_speed)
    kinds = ((service, key, runs) for service, item in services for key, runs in item.runs.items())
    for service, (route, is_warm), distribution in itertools.islice(kinds, MAX_KINDS):
        labels = {"service": service, "route": route, "run": "warm" if is_warm else "cold"}
        add_sample(samples, "run_mean_seconds", labels, distribution.mean_s)
        for quantile in QUANTILES:
            value = find_percentile_s(distribution, quantile)
            add_sample(samples, "run_seconds", {**labels, "quantile": f"{quantile:g}"}, value)
    lines = []
    for name, kind, description in GAUGES:
        lines += [f"# HELP {PREFIX}_{name} {description}", f"# TYPE {PREFIX}_{name} {kind}"]
        lines += samples[name]
    return "\n".join(lines) + "\n"


def add_sample(
    samples: dict[str, list[str]], name: str, labels: dict[str, object], value: float
) -> None:
    """Add one sample of a metric."""
    text = str(value) if isinstance(value, int) else f"{value:g}"
    samples[name].append(f"{PREFIX}_{name}{format_labels(labels)} {text}")
