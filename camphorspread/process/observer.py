"""Observes requests: decision records, metrics and spans."""

import contextlib
import random
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import attrs
from opentelemetry import trace
from opentelemetry.sdk.trace import Tracer

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.messages import Headers, has_body
from camphorspread.process.clock import Clock
from camphorspread.process.decisions import DecisionRecord, DecisionRing
from camphorspread.process.metrics import (
    Metrics,
    RequestKind,
    ServedRequest,
    record_attempt,
    record_request,
)
from camphorspread.process.settings import EntrySettings
from camphorspread.process.traces import (
    JsonLinesExporter,
    TraceFile,
    format_parent,
    make_tracer,
    read_parent,
    to_nanoseconds,
)
from camphorspread.request.errors import Refusal
from camphorspread.request.reasons import Reason
from camphorspread.version.catalogue import (
    Catalogue,
    ServiceClass,
    ServiceEntry,
    is_idempotent,
    is_never_repeated,
)

__all__ = [
    "Observer",
    "make_observer",
    "observe_attempt",
    "observe_request",
    "trace_headers",
]

UNKNOWN_SERVICE = "(unknown)"


@attrs.define(eq=False)
class ObservedRequest:
    """A request in flight.

    Attributes:
        service: Label of the service.
        kind: Kind of the request.
        span: Span of the request, from its head to the end of its response.
        caller_zone: Availability zone nearest to the caller.
        is_forwarded: True if another entry VM forwarded the request here.
        attempt: Span of the attempt in flight.
        endpoint: The last endpoint tried.
        chosen_vm: The VM that the last attempt was sent to, if it wasn't an endpoint.
        attempts: How many attempts were made.
        reason: Why the last attempt was sent where it went.
    """

    service: str
    kind: RequestKind
    span: trace.Span
    caller_zone: str
    is_forwarded: bool = False
    attempt: trace.Span | None = None
    endpoint: str = ""
    chosen_vm: str = ""
    attempts: int = 0
    reason: Reason = Reason.SAME_AVAILABILITY_ZONE


@attrs.define(eq=False)
class Observer:
    """Observations of an entry process.

    Attributes:
        own_zone: Availability zone of this VM.
        clock: Source of instants.
        tracer: Makes spans.
        exporter: Writes spans.
        trace_file: Where spans are written; None if the process has no data folder.
        metrics: Counters and histograms.
        decisions: The newest decision records.
        requests: Requests in flight.
    """

    own_zone: str
    clock: Clock
    tracer: Tracer
    exporter: JsonLinesExporter
    trace_file: TraceFile | None = None
    metrics: Metrics = attrs.field(factory=Metrics)
    decisions: DecisionRing = attrs.field(factory=DecisionRing)
    requests: dict[Exchange, ObservedRequest] = attrs.field(factory=dict)


def make_observer(settings: EntrySettings, clock: Clock, incarnation: str) -> Observer:
    """Return the observer of a process that has just started."""
    trace_file = TraceFile(Path(settings.data_folder)) if settings.data_folder else None
    write = trace_file.write if trace_file else lambda _line: None
    exporter = JsonLinesExporter(settings.place.vm, write)
    rng = random.Random(f"{settings.place.vm} {incarnation}")
    tracer = make_tracer(exporter, settings.trace_sampling, rng)
    return Observer(settings.place.availability_zone, clock, tracer, exporter, trace_file)


def classify_request(entry: ServiceEntry, exchange: Exchange, target: str) -> RequestKind:
    """Return the kind of a request."""
    method = exchange.head.method.decode("ascii", "replace")
    if is_never_repeated(entry, method, target.partition("?")[0]):
        return RequestKind.ONCE
    if entry.service_class is ServiceClass.UPLOAD and has_body(exchange.head.headers):
        return RequestKind.UPLOAD
    return RequestKind.READ if is_idempotent(entry, method, target) else RequestKind.OTHER


@contextlib.contextmanager
def observe_request(
    observer: Observer,
    exchange: Exchange,
    catalogue: Catalogue | None,
    service: str,
    target: str,
    caller_zone: str,
    is_forwarded: bool = False,
) -> Iterator[None]:
    """Observe a steered request from its head to the end of its response.

    A request that another entry VM forwarded here gets a span and a decision record, but isn't
    counted again.

    Args:
        observer: Stores what was observed.
        exchange: The caller's exchange.
        catalogue: The catalogue in force.
        service: Name of the service.
        target: Path and query below the service.
        caller_zone: Availability zone nearest to the caller.
        is_forwarded: True if another entry VM forwarded the request here.
    """
    entry = catalogue.find_service(service) if catalogue else None
    # Unknown names share one label, which bounds the number of time series.
    label = service if entry else UNKNOWN_SERVICE
    kind = classify_request(entry, exchange, target) if entry else RequestKind.OTHER
    start = observer.clock.monotonic()
    span = observer.tracer.start_span(
        "passed_request" if is_forwarded else "request",
        context=read_parent(exchange.head.headers),
        start_time=to_nanoseconds(observer.clock.wall_time()),
        attributes={"service": label, "kind": kind.value},
    )
    observed = observer.requests[exchange] = ObservedRequest(
        label, kind, span, caller_zone, is_forwarded
    )
    if not is_forwarded:
        observer.metrics.start_request(label)
    try:
        yield
    finally:
        del observer.requests[exchange]
        time_spent = observer.clock.monotonic() - start
        promised = timedelta(milliseconds=entry.promised_ms if entry else 0)
        end_request(observer, exchange, observed, time_spent, promised)


def end_request(
    observer: Observer,
    exchange: Exchange,
    observed: ObservedRequest,
    time_spent: timedelta,
    promised: timedelta,
) -> None:
    """Record a request that has ended."""
    refusal: Refusal | None = exchange.refusal
    error = refusal.kind.value if refusal else ""
    if not error and not exchange.is_complete:
        error = "response_incomplete"
    reason = (refusal.reason if refusal else observed.reason).value
    is_complete = exchange.is_complete and refusal is None
    if not observed.is_forwarded:
        served = ServedRequest(
            observed.service,
            observed.kind,
            time_spent,
            promised,
            is_complete,
            error,
            reason,
            exchange.received_bytes,
            exchange.sent_bytes,
        )
        record_request(observer.metrics, served)
    observed.span.set_attributes(
        {"reason": reason, "error": error, "status": exchange.status, "complete": is_complete}
    )
    observed.span.end(to_nanoseconds(observer.clock.wall_time()))
    observer.decisions.add(
        DecisionRecord(
            request_id=f"{observed.span.get_span_context().trace_id:032x}",
            at=observer.clock.wall_time().isoformat(timespec="milliseconds"),
            service=observed.service,
            method=exchange.head.method.decode("ascii", "replace"),
            kind=observed.kind.value,
            caller=exchange.peer.host,
            caller_availability_zone=observed.caller_zone,
            chosen_vm=observed.chosen_vm,
            endpoint=observed.endpoint,
            attempts=observed.attempts,
            reason=reason,
            error=error,
            status=exchange.status,
            is_complete=is_complete,
            time_spent_ms=time_spent / timedelta(milliseconds=1),
        )
    )


@contextlib.contextmanager
def observe_attempt(
    observer: Observer,
    exchange: Exchange,
    zone: str,
    *,
    endpoint: str = "",
    vm: str = "",
    reason: Reason = Reason.SAME_AVAILABILITY_ZONE,
) -> Iterator[None]:
    """Observe one attempt of an observed request; does nothing for other requests.

    Args:
        observer: Stores what was observed.
        exchange: The caller's exchange.
        zone: Availability zone of the target.
        endpoint: Endpoint that gets the request.
        vm: Entry VM that gets the request in place of an endpoint.
        reason: Why this target was chosen.
    """
    observed = observer.requests.get(exchange)
    if observed is None:
        yield
        return
    observed.attempts += 1
    observed.endpoint, observed.chosen_vm, observed.reason = endpoint, vm, reason
    start = observer.clock.monotonic()
    bytes_before = exchange.received_bytes + exchange.sent_bytes
    observed.attempt = observer.tracer.start_span(
        "forward" if vm else "backend_server",
        context=trace.set_span_in_context(observed.span, trace.Context()),
        start_time=to_nanoseconds(observer.clock.wall_time()),
        attributes={"endpoint": endpoint, "vm": vm, "attempt": observed.attempts},
    )
    try:
        yield
    finally:
        observed.attempt.end(to_nanoseconds(observer.clock.wall_time()))
        time_spent = observer.clock.monotonic() - start
        record_attempt(observer.metrics, observed.service, observed.kind, time_spent)
        transferred_bytes = exchange.received_bytes + exchange.sent_bytes - bytes_before
        observer.metrics.link_bytes[(observer.own_zone, zone)] += transferred_bytes


def trace_headers(observer: Observer, exchange: Exchange) -> Headers:
    """Return the `traceparent` header that the attempt in flight propagates."""
    observed = observer.requests.get(exchange)
    return format_parent(observed.attempt or observed.span) if observed else ()
