"""Steps of traces, metrics, decision records and the report."""

import base64
import json
import random
import tempfile
from datetime import timedelta
from pathlib import Path

from behave import then, when
from hdrh.histogram import HdrHistogram

from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address
from camphorspread.process.decisions import DecisionRecord, DecisionRing
from camphorspread.process.endpoints import Announcement, EndpointRegistry, record_announcement
from camphorspread.process.load import LoadPlan, RequestTemplate, run_load
from camphorspread.process.local_fleet import ACCESS_KEY
from camphorspread.process.metrics import Metrics, RequestKind, ServedRequest, record_request
from camphorspread.process.report import format_report, make_report, merge_reports
from camphorspread.process.settings import PriceSettings
from camphorspread.process.traces import TraceFile
from camphorspread.version.catalogue import Catalogue, ServiceClass, ServiceEntry
from camphorspread.version.changes import PutService, apply_change
from features.fixtures.golden import compare_with_golden
from features.fixtures.session import call

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"


def send_request(context, address, target, headers=()):
    head = RequestHead(b"GET", target.encode(), ((b"host", b"entry"), *headers))
    return context.loop.run_until_complete(call(context.caller, address, head))


@when('a traced caller sends GET "{target}"')
def step_send_traced(context, target):
    state = context.fleet.entries[0].state
    if not hasattr(context, "spans"):
        context.spans = []
        exporter = state.observer.exporter
        exporter.write = lambda line: context.spans.append(json.loads(line))
    parent = f"00-{TRACE_ID}-{CALLER_SPAN}-01".encode()
    send_request(context, state.settings.callers, target, ((b"traceparent", parent),))


@then('the spans of "{service}" are these')
def step_check_spans(context, service):
    spans = [span for span in context.spans if span["trace_id"] == TRACE_ID][:2]
    names = {span["span_id"]: span["name"] for span in spans} | {CALLER_SPAN: "caller"}
    assert len(spans) == len(context.table.rows), context.spans
    for span, row in zip(spans, context.table, strict=True):
        assert span["name"] == row["name"], span
        assert names[span["parent_id"]] == row["parent"], span
        assert span["duration_ms"] >= float(row["duration_ms"]), span
        assert span["vm"] == "sofia-a-1", span


@then("the backend server's span is the parent that the backend server received")
def step_check_parent(context):
    span = next(span for span in context.spans if span["name"] == "backend_server")
    heads = [head for backend in context.fleet.backends for head in backend.heads]
    parents = [value for head in heads for name, value in head.headers if name == b"traceparent"]
    assert parents == [f"00-{TRACE_ID}-{span['span_id']}-01".encode()], parents


@then('the decision record of the traced request names endpoint "{endpoint}"')
def step_check_decision(context, endpoint):
    ring = context.fleet.entries[0].state.observer.decisions
    (record,) = ring.find_records("status-svc", TRACE_ID)
    assert record.endpoint == endpoint, record
    assert record.is_complete, record
    assert record.error == "", record


@then("the metrics page has these lines")
def step_check_metrics(context):
    address = context.fleet.entries[0].state.settings.operators
    key = (b"camphorspread-access-key", ACCESS_KEY)
    result = send_request(context, address, "/metrics", (key,))
    lines = result.body.decode().splitlines()
    for row in context.table:
        assert row["line"] in lines, result.body.decode()


@then("the operators' listener refuses a request without the access key")
def step_check_key(context):
    address = context.fleet.entries[0].state.settings.operators
    for target in ("/metrics", "/v1/status", "/v1/explain", "/v1/report"):
        assert send_request(context, address, target).head.status == 403, target


@when(
    "{count:d} lines of {size:d} bytes are written to a trace file with a limit of {limit:d} bytes"
)
def step_write_lines(context, count, size, limit):
    with tempfile.TemporaryDirectory() as name:
        file = TraceFile(Path(name), limit)
        for number in range(count):
            file.write(f"{number:0{size - 1}d}")
        context.files = {path.name: path.read_text() for path in Path(name).iterdir()}
    context.last_line = f"{count - 1:0{size - 1}d}"
    assert file.failures == 0


@then("the data folder holds {count:d} files of at most {limit:d} bytes with the newest line")
def step_check_files(context, count, limit):
    assert len(context.files) == count, context.files.keys()
    assert all(len(text) <= limit for text in context.files.values())
    assert context.files["traces.jsonl"].splitlines()[-1] == context.last_line


def make_record(number):
    return DecisionRecord(
        str(number), "", "s", "GET", "read", "", "", "", "", 1, "", "", 200, True, 1.0
    )


@when("{count:d} decision records are added")
def step_add_records(context, count):
    context.ring = DecisionRing()
    for number in range(count):
        context.ring.add(make_record(number))
    context.count = count


@then("the ring holds the newest {count:d}")
def step_check_ring(context, count):
    kept = [record.request_id for record in context.ring.records]
    assert kept == [str(number) for number in range(context.count - count, context.count)]
    assert context.ring.find_records(request_id="0") == []


def make_vm_report(vm, zone, hours, prices):
    catalogue = Catalogue()
    for entry in (
        ServiceEntry("filing-svc", "filing office", ServiceClass.CRITICAL, 10, 40, ("POST /",)),
        ServiceEntry("status-svc", "customer portal", ServiceClass.INTERACTIVE, 20, 60),
    ):
        catalogue = apply_change(catalogue, PutService(entry))
    registry, metrics = EndpointRegistry(), Metrics()
    address = Address("127.0.0.2", 7410)
    announcement = Announcement("filing-svc", f"{zone}-filing-1", zone, address, 5)
    record_announcement(registry, announcement, timedelta(0)).in_use = 2
    # One request each: complete and on time, complete and late, incomplete, refused.
    for time_ms, is_complete, error, reason in (
        (20, True, "", "same_availability_zone"),
        (1500, True, "", "same_availability_zone"),
        (30, False, "response_incomplete", "same_availability_zone"),
        (1, False, "overloaded", "slots_full"),
    ):
        metrics.start_request("filing-svc")
        request = ServedRequest(
            "filing-svc",
            RequestKind.ONCE,
            timedelta(milliseconds=time_ms),
            timedelta(milliseconds=1000),
            is_complete,
            error,
            reason,
            200,
            100_000 if time_ms == 20 else 100,
        )
        record_request(metrics, request)
    metrics.link_bytes[(zone, "sofia-b")] = 3_000_000_000
    uptime = timedelta(hours=hours)
    return make_report(vm, zone, uptime, catalogue, metrics, registry, prices, timedelta(seconds=1))


@when("the reports of two VMs with fixed records are merged")
def step_merge_reports(context):
    prices = PriceSettings("EUR", 0.05, 0.02)
    texts = []
    for report_prices in (None, prices):
        reports = [
            make_vm_report("sofia-a-1", "sofia-a", 10, report_prices),
            make_vm_report("sofia-b-1", "sofia-b", 20, report_prices),
        ]
        texts.append(format_report(merge_reports(json.loads(json.dumps(reports)), ["varna-a-1"])))
    context.report = "\n\n".join(texts) + "\n"


@then('the report matches "{name}"')
def step_compare_report(context, name):
    compare_with_golden(name, context.report)


@when("{count:d} requests at {rate:d} a second are sent with {in_flight:d} in flight")
def step_send_load(context, count, rate, in_flight):
    address = context.fleet.entries[0].state.settings.callers
    templates = (RequestTemplate(1, "GET", "/applications/1"),)
    plan = LoadPlan(
        "status-svc", (address,), templates, rate, count, timedelta(seconds=60), in_flight
    )
    load_run = run_load(plan, context.caller, context.clock, random.Random(1))
    context.load = context.loop.run_until_complete(load_run)


@then("all {count:d} requests were served")
def step_check_load(context, count):
    assert context.load.outcomes == {("GET /applications/1", "200"): count}, context.load.outcomes


@then("the slowest request waited for those before it")
def step_check_wait(context):
    # Each request takes 2 ms and one is planned each millisecond, so the queue grows.
    (item,) = context.load.describe()["requests"]
    assert item["max_ms"] > 30, item
    decoded = HdrHistogram.decode(item["hdrhistogram"])
    assert decoded.get_total_count() == item["count"]
    assert base64.b64decode(item["hdrhistogram"])
