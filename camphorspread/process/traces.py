"""Spans of requests, written as JSON lines by the thread that ends them.

The simple span processor calls the exporter when a span ends, so it needs no thread and no queue.
"""

import json
import random
from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from pathlib import Path

import attrs
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Tracer, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from camphorspread.connection.messages import Headers, find_header

__all__ = ["TRACEPARENT", "JsonLinesExporter", "TraceFile", "make_tracer", "read_parent"]
__all__ += ["format_parent", "to_nanoseconds"]

TRACEPARENT = b"traceparent"
TRACE_FILE = "traces.jsonl"
ROTATED_FILE = "traces.1.jsonl"
FILE_LIMIT_BYTES = 16 * 1024 * 1024
PROPAGATOR = TraceContextTextMapPropagator()


@attrs.define(eq=False)
class TraceFile:
    """A trace file with rotation: a full file is renamed and replaces the one renamed before.

    The file is never synced, since a lost span does no harm and a sync would block the event loop.

    Attributes:
        folder: Data folder of the process.
        limit_bytes: Size at which the file is renamed.
        size: Bytes in the current file; None before the first line.
        failures: Lines that couldn't be written.
    """

    folder: Path
    limit_bytes: int = FILE_LIMIT_BYTES
    size: int | None = None
    failures: int = 0

    def write(self, line: str) -> None:
        """Append one line; a failure is counted and doesn't affect the request."""
        path = self.folder / TRACE_FILE
        data = line.encode() + b"\n"
        try:
            if self.size is None:
                self.size = path.stat().st_size if path.exists() else 0
            if self.size and self.size + len(data) > self.limit_bytes:
                path.replace(self.folder / ROTATED_FILE)
                self.size = 0
            with path.open("ab") as file:
                file.write(data)
            self.size += len(data)
        except OSError:
            self.failures += 1


@attrs.define(eq=False)
class JsonLinesExporter(SpanExporter):
    """Exports each span as one line of JSON through `write`."""

    vm: str
    write: Callable[[str], None]

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans that have ended."""
        for span in spans:
            self.write(json.dumps(describe_span(span, self.vm), separators=(",", ":")))
        return SpanExportResult.SUCCESS


def describe_span(span: ReadableSpan, vm: str) -> dict[str, object]:
    """Return the JSON form of a span."""
    return {
        "vm": vm,
        "name": span.name,
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "duration_ms": (span.end_time - span.start_time) / 1e6,
        "attributes": dict(span.attributes),
    }


@attrs.define(eq=False)
class SeededIdGenerator(IdGenerator):
    """Generates identifiers from a given source of random numbers."""

    rng: random.Random

    def generate_trace_id(self) -> int:
        """Return 128 bits that aren't all zero."""
        return self.rng.getrandbits(128) or 1

    def generate_span_id(self) -> int:
        """Return 64 bits that aren't all zero."""
        return self.rng.getrandbits(64) or 1


def make_tracer(exporter: SpanExporter, sampling: float, rng: random.Random) -> Tracer:
    """Return a tracer that writes sampled spans.

    A caller's `traceparent` decides whether its request is sampled; without one, `sampling` does.

    Args:
        exporter: Receives each span when it ends.
        sampling: Fraction of traces that are written, 0 to 1.
        rng: Source of identifiers.
    """
    # `Resource.create`, the default, detects the environment on a thread pool.
    resource = Resource({"service.name": "camphorspread"})
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(sampling)),
        resource=resource,
        id_generator=SeededIdGenerator(rng),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return provider.get_tracer("camphorspread")


def read_parent(headers: Headers) -> trace.Context:
    """Return the context that a `traceparent` header names, or an empty one."""
    value = find_header(headers, TRACEPARENT)
    carrier = {"traceparent": value.decode("ascii", "replace")} if value else {}
    return PROPAGATOR.extract(carrier, trace.Context())


def format_parent(span: trace.Span) -> Headers:
    """Return the `traceparent` header for the next hop."""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, trace.set_span_in_context(span, trace.Context()))
    return tuple((name.encode(), value.encode()) for name, value in carrier.items())


def to_nanoseconds(instant: datetime) -> int:
    """Return nanoseconds since the epoch."""
    epoch = datetime(1970, 1, 1, tzinfo=instant.tzinfo)
    return (instant - epoch) // timedelta(microseconds=1) * 1000
