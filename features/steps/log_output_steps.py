"""Steps of the rate limit and the output of the log."""

import io
import json
import os
from datetime import timedelta

from behave import given, then, when

from camphorspread.process.clock import ManualClock
from camphorspread.process.events import Event, make_event_log
from camphorspread.process.log_output import LogBudget, PipeOutput


def read_lines(text):
    return [json.loads(line) for line in text.splitlines()]


@given("a log that writes to a pipe which nobody reads")
def step_pipe(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.output = PipeOutput(writer)
    context.log = make_event_log("vm", ManualClock(), context.output)


@when("{count:d} lines are written")
def step_write(context, count):
    for number in range(count):
        context.log.write(Event.REQUEST_REFUSED, kind="overloaded", reason=str(number))


@then("all writes return, and dropped lines are counted")
def step_dropped(context):
    assert context.output.dropped > 0, context.output
    assert context.output.buffered_bytes <= context.output.limit_bytes, (
        context.output.buffered_bytes
    )


@when("the pipe is read to its end and one more line is written")
def step_read(context):
    received = b""
    os.set_blocking(context.reader, False)
    for attempt in range(100):
        if attempt == 50:
            context.log.write(Event.REQUEST_REFUSED, kind="overloaded", reason="newest")
        context.output.flush()
        try:
            received += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            continue
    context.received = received.decode()


@then("each line that was read is complete, and the last one is the newest")
def step_complete(context):
    lines = read_lines(context.received)
    assert lines[-1]["reason"] == "newest", lines[-1]


@given("a log with a budget of {count:d} lines a second for each event")
def step_budget(context, count):
    context.clock = ManualClock()
    context.log_text = io.StringIO()
    context.log = make_event_log("vm", context.clock, context.log_text, LogBudget(count))


@when("{count:d} requests are refused and one process starts within a second")
def step_burst(context, count):
    for _ in range(count):
        context.clock.advance(timedelta(seconds=0.9 / count))
        context.log.write(Event.REQUEST_REFUSED, kind="overloaded")
    context.log.write(Event.PROCESS_STARTED, role="entry")


@then("{count:d} refusals and the start are written")
def step_written(context, count):
    events = [line["event"] for line in read_lines(context.log_text.getvalue())]
    assert events == ["request_refused"] * count + ["process_started"], events


@when("a request is refused {seconds:g} s later")
def step_later(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))
    context.log.write(Event.REQUEST_REFUSED, kind="overloaded")


@then("a line reports that {count:d} refusals were suppressed")
def step_suppressed(context, count):
    lines = read_lines(context.log_text.getvalue())
    reported_counts = [line["counts"] for line in lines if line["event"] == "lines_left_out"]
    assert reported_counts == [{"REQUEST_REFUSED": count}], reported_counts
