"""Counters and histograms of an entry process."""

import enum
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

__all__ = [
    "METRICS_TYPE",
    "Hop",
    "Metrics",
    "RequestKind",
    "ServedRequest",
    "Weight",
    "format_counter",
    "format_gauges",
    "format_labels",
    "format_metrics",
    "format_summary",
    "make_histogram",
    "record_attempt",
    "record_request",
    "to_microseconds",
]

METRICS_TYPE = b"text/plain; version=0.0.4"
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MIN_HEAVY_BYTES = 65536
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class RequestKind(enum.Enum):
    """Kind of a request, by which service levels are measured."""

    READ = "read"
    ONCE = "once"
    UPLOAD = "upload"
    OTHER = "other"


class Weight(enum.Enum):
    """Weight of a request: heavy from 64 KiB of body bytes in both directions together."""

    LIGHT = "light"
    HEAVY = "heavy"


class Hop(enum.Enum):
    """Part of the path of a request that a histogram covers."""

    CALLER = "caller"
    BACKEND_SERVER = "backend_server"


@attrs.frozen
class ServedRequest:
    """A request that has ended, as the metrics record it.

    Attributes:
        service: Name of the service.
        kind: Kind of the request.
        time_spent: From the request head to the end of the response.
        promised: Time limit within which a response counts as on time.
        is_complete: True if a backend server's complete response was sent to the caller.
        error: Error kind; empty if there was none.
        reason: Why it was sent to its endpoint or VM, or refused.
        received_bytes: Body bytes received from the caller.
        sent_bytes: Body bytes sent to the caller.
    """

    service: str
    kind: RequestKind
    time_spent: timedelta
    promised: timedelta
    is_complete: bool
    error: str
    reason: str
    received_bytes: int
    sent_bytes: int

    @property
    def weight(self) -> Weight:
        """Weight by body bytes."""
        total = self.received_bytes + self.sent_bytes
        return Weight.HEAVY if total >= MIN_HEAVY_BYTES else Weight.LIGHT

    @property
    def is_good(self) -> bool:
        """True if the request was served completely and on time."""
        return self.is_complete and self.time_spent <= self.promised


@attrs.define(eq=False)
class Metrics:
    """Counters by labels, and histograms in microseconds by service, kind and hop.

    Attributes:
        histograms: By (service, kind, hop).
        time_sums: Sum of the recorded microseconds of each histogram.
        requests: By (service, kind, weight).
        good: Served completely and on time, by (service, kind, weight).
        errors: By (service, error kind).
        refusal_reasons: By (service, reason).
        lookups: By (service, status).
        link_bytes: Body bytes by (availability zone of this VM, availability zone of the endpoint).
        in_flight: Requests in flight by service.
        peak_in_flight: Most requests in flight by service since the start.
    """

    histograms: dict[tuple[str, RequestKind, Hop], HdrHistogram] = attrs.field(factory=dict)
    time_sums: Counter[tuple[str, RequestKind, Hop]] = attrs.field(factory=Counter)
    requests: Counter = attrs.field(factory=Counter)
    good: Counter = attrs.field(factory=Counter)
    errors: Counter = attrs.field(factory=Counter)
    refusal_reasons: Counter = attrs.field(factory=Counter)
    lookups: Counter = attrs.field(factory=Counter)
    link_bytes: Counter = attrs.field(factory=Counter)
    in_flight: Counter = attrs.field(factory=Counter)
    peak_in_flight: Counter = attrs.field(factory=Counter)

    def start_request(self, service: str) -> None:
        """Count a request in flight."""
        self.in_flight[service] += 1
        peak = max(self.peak_in_flight[service], self.in_flight[service])
        self.peak_in_flight[service] = peak


def make_histogram() -> HdrHistogram:
    """Return a histogram for microseconds with two significant digits."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def to_microseconds(duration: timedelta) -> int:
    """Return whole microseconds within the range of the histograms."""
    return min(max(duration // timedelta(microseconds=1), 1), MAX_MICROSECONDS)


def record_request(metrics: Metrics, request: ServedRequest) -> None:
    """Count a request that has ended."""
    metrics.in_flight[request.service] -= 1
    labels = (request.service, request.kind.value, request.weight.value)
    metrics.requests[labels] += 1
    metrics.good[labels] += request.is_good
    if request.error:
        metrics.errors[(request.service, request.error)] += 1
        metrics.refusal_reasons[(request.service, request.reason)] += 1
    record_time(metrics, request.service, request.kind, Hop.CALLER, request.time_spent)


def record_attempt(
    metrics: Metrics, service: str, kind: RequestKind, time_spent: timedelta
) -> None:
    """Record the time of one attempt at a backend server or at another VM."""
    record_time(metrics, service, kind, Hop.BACKEND_SERVER, time_spent)


def record_time(
    metrics: Metrics, service: str, kind: RequestKind, hop: Hop, time_spent: timedelta
) -> None:
    """Record a duration in the histogram of service, kind and hop."""
    key = (service, kind, hop)
    if key not in metrics.histograms:
        metrics.histograms[key] = make_histogram()
    metrics.histograms[key].record_value(to_microseconds(time_spent))
    metrics.time_sums[key] += to_microseconds(time_spent)


COUNTERS = (
    ("requests", ("service", "kind", "weight"), "Requests that ended."),
    ("good", ("service", "kind", "weight"), "Requests served completely and on time."),
    ("errors", ("service", "error"), "Requests that ended with an error, by kind."),
    ("refusal_reasons", ("service", "reason"), "Requests that ended with an error, by reason."),
    ("lookups", ("service", "status"), "Lookups by status of the response."),
    ("link_bytes", ("source", "target"), "Body bytes between availability zones."),
)


def format_metrics(metrics: Metrics, gauges: dict[str, tuple[str, float]]) -> str:
    """Return all metrics in the Prometheus text format.

    Args:
        metrics: Counters and histograms.
        gauges: Description and value of further gauges, by name.
    """
    lines = format_gauges(gauges)
    for name, labels, description in COUNTERS:
        lines += format_counter(name, labels, description, getattr(metrics, name))
    lines += ["# HELP camphorspread_in_flight Requests in flight."]
    lines += ["# TYPE camphorspread_in_flight gauge"]
    for service, value in sorted(metrics.in_flight.items()):
        lines.append(f"camphorspread_in_flight{format_labels({'service': service})} {value}")
    lines += list(format_histograms(metrics))
    return "\n".join(lines) + "\n"


def format_gauges(gauges: dict[str, tuple[str, float]]) -> list[str]:
    """Return the lines of gauges without labels, given by name as description and value."""
    lines: list[str] = []
    for name, (description, value) in gauges.items():
        # Integers are written in full, since rounding would hide small changes of large ones.
        text = str(value) if isinstance(value, int) else f"{value:g}"
        lines += [f"# HELP camphorspread_{name} {description}"]
        lines += [f"# TYPE camphorspread_{name} gauge", f"camphorspread_{name} {text}"]
    return lines


def format_counter(
    name: str, labels: tuple[str, ...], description: str, values: Counter
) -> list[str]:
    """Return the lines of a counter, whose values are by tuples of label values."""
    lines = [f"# HELP camphorspread_{name}_total {description}"]
    lines += [f"# TYPE camphorspread_{name}_total counter"]
    for key, value in sorted(values.items()):
        pairs = format_labels(dict(zip(labels, key, strict=True)))
        lines.append(f"camphorspread_{name}_total{pairs} {value}")
    return lines


def format_summary(
    name: str, labels: dict[str, object], histogram: HdrHistogram, time_sum: int
) -> Iterator[str]:
    """Yield quantiles, sum and count of a histogram of microseconds and their sum, in seconds."""
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / 1e6
        pairs = format_labels({**labels, "quantile": f"{quantile:g}"})
        yield f"{name}{pairs} {value:g}"
    total = histogram.get_total_count()
    # The sum is recorded apart: a histogram's mean walks all its counts, which takes about 12 ms.
    yield f"{name}_sum{format_labels(labels)} {time_sum / 1e6:g}"
    yield f"{name}_count{format_labels(labels)} {total}"


def format_histograms(metrics: Metrics) -> Iterator[str]:
    """Yield the histograms as summaries in seconds."""
    name = "camphorspread_request_seconds"
    yield f"# HELP {name} Time of requests at the caller and of attempts at backend servers."
    yield f"# TYPE {name} summary"
    ordered = sorted(
        metrics.histograms.items(), key=lambda it: (it[0][0], it[0][1].value, it[0][2].value)
    )
    for (service, kind, hop), histogram in ordered:
        labels = {"service": service, "kind": kind.value, "hop": hop.value}
        time_sum = metrics.time_sums[(service, kind, hop)]
        yield from format_summary(name, labels, histogram, time_sum)


def format_labels(labels: dict[str, object]) -> str:
    """Return labels in braces, with quotes and backslashes escaped; nothing without labels."""
    if not labels:
        return ""
    escaped = {
        name: str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        for name, value in labels.items()
    }
    return "{" + ",".join(f'{name}="{value}"' for name, value in escaped.items()) + "}"
