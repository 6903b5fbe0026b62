"""Steps of `explain-log`."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from camphorspread.process.command.dispatch import run_command

PREFIX = "   1.2500 front-sofia-a-1 "


def make_line(second, vm, event, **fields):
    """Return one log line."""
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "vm": vm, "level": "info", "event": event, **fields})


@given('the log lines of two VMs, of which one forwarded request "q1" to the other')
def step_logs(context):
    folder = make_folder(context)
    first = [
        make_line(2, "a", "instance_added", instance="i-7", service="status"),
        make_line(10, "a", "steering_ended", request="q1", result="200", trail=["pass b"]),
        make_line(11, "a", "steering_ended", request="q2", result="503", trail=[]),
    ]
    second = [
        PREFIX + make_line(6, "b", "instance_added", instance="i-8", service="status"),
        make_line(7, "b", "instance_added", instance="i-9", service="status"),
        make_line(9.9, "b", "steering_ended", request="q1", result="200", trail=["start i-8"]),
        "this isn't a log line",
        '{"time": "2026-01-01T00:00:12.0',
    ]
    context.files = [folder / "a.log", folder / "b.log"]
    for file, lines in zip(context.files, (first, second), strict=True):
        file.write_text("\n".join(lines))


def make_folder(context):
    """Return a folder that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def run_and_store(context, arguments):
    """Run the command line and store its exit code and output."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = run_command(arguments)
    context.out, context.err = out.getvalue(), err.getvalue()


@when('"explain-log {request}" reads them')
def step_run(context, request):
    run_and_store(context, ["explain-log", request, *map(str, context.files), "--json"])


@when('"explain-log q1" reads a file that doesn\'t exist')
def step_missing(context):
    run_and_store(context, ["explain-log", "q1", "/nowhere/a.log"])


@then("the exit code is {code:d} and these events are shown: {events}")
def step_events(context, code, events):
    shown = [line["event"] for line in json.loads(context.out)]
    assert context.code == code, context.code
    assert shown == ([] if events == "none" else events.split()), shown


@then("the exit code is {code:d} and the file is named")
def step_file_named(context, code):
    assert context.code == code, context.code
    assert "/nowhere/a.log" in context.err, context.err
