"""Steps about the built program."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from features.fixtures.processes import POLL_S, start_process, wait_for_exit

PROJECT = Path(__file__).parent.parent.parent
EXAMPLE = PROJECT / "examples" / "vodna-vrazka"
VM = "sofia-a-1"
READY_LIMIT_S = 60
# Each test run on the machine uses its own loopback addresses and ports.
RUN = os.getpid() % 250 + 1
BASE_PORT = 20000 + os.getpid() % 20000


@given("the program is built into one file")
def step_build(context):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    context.folder, context.binary = folder, folder / "camphorspread"
    subprocess.run([PROJECT / "scripts" / "build", context.binary], check=True, capture_output=True)


def start(context, *arguments):
    # Uses this interpreter, since `python3` may be a script that starts other processes.
    command = [sys.executable, str(context.binary), *arguments]
    return start_process(context, command, context.folder)


@when("the built file runs the local fleet with {count:d} requests")
def step_run_fleet(context, count):
    context.started = start(
        context, "local-fleet", "--requests", str(count), "--base-port", str(BASE_PORT)
    )
    context.ended = wait_for_exit(context.started)


@then("it ended with code {code:d} and was one process with one thread all the time")
def step_check_fleet(context, code):
    assert context.ended[0] == code, context.ended[1]
    assert "responses from" in context.ended[1], context.ended[1]
    assert context.started.peak_threads == 1, context.started
    assert context.started.peak_children == 0, context.started


def write_settings(context, name):
    text = (EXAMPLE / "settings" / f"{name}.json").read_text()
    settings = json.loads(text.replace('"127.1.0.', f'"127.77.{RUN}.'))
    settings["access_key_file"] = str(EXAMPLE / "access-key")
    settings["data_folder"] = str(context.folder / name)
    # A group of one control process, which elects itself.
    settings["replicas"] = [item for item in settings["replicas"] if item["vm"] == VM]
    (context.folder / name).mkdir()
    path = context.folder / f"{name}.json"
    path.write_text(json.dumps(settings))
    return str(path)


@when("the built file runs a control process and an entry process")
def step_run_nodes(context):
    names = (f"control-{VM}", f"entry-{VM}")
    context.paths = [write_settings(context, name) for name in names]
    context.nodes = [start(context, "run", path) for path in context.paths]
    output = wait_for_text(context, ["catalogue", "list"], "catalogue version")
    assert "catalogue version" in output, output


def wait_for_text(context, command, text):
    end = time.monotonic() + READY_LIMIT_S
    while True:
        _, output = wait_for_exit(start(context, *command, "--settings", context.paths[1]))
        for node in context.nodes:
            node.observe()
        if text in output or time.monotonic() > end:
            return output
        time.sleep(POLL_S)


@then("each of them is one process with one thread")
def step_check_nodes(context):
    for node in context.nodes:
        assert node.peak_threads == 1, node
        assert node.peak_children == 0, node


@then(
    "the entry process runs catalogue version {version:d} once the built file has applied the "
    "example"
)
def step_apply_example(context, version):
    catalogue = str(EXAMPLE / "catalogue.json")
    command = ["catalogue", "apply", "--settings", context.paths[1], catalogue, "--wait"]
    code, output = wait_for_exit(start(context, *command))
    assert code == 0, output
    assert f"version {version} is in effect everywhere" in output, output


@then('the built file explains the service "{service}" and prints the report')
def step_explain(context, service):
    for command, text in (
        (["explain", "--service", service], f"lookups of {service} from sofia-a name {VM}"),
        (["report"], f"{service}, owner "),
    ):
        code, output = wait_for_exit(start(context, *command, "--settings", context.paths[1]))
        assert code == 0, output
        assert text in output, output


@then("a second process at the same addresses ends with code {code:d} and no traceback")
def step_start_twice(context, code):
    ended, output = wait_for_exit(start(context, "run", context.paths[1]))
    assert ended == code, output
    assert "the process stops" in output, output
    assert "Traceback" not in output, output


@then("each of them ends with code {code:d} after SIGTERM")
def step_stop_nodes(context, code):
    for node in reversed(context.nodes):
        node.process.send_signal(signal.SIGTERM)
        ended, output = wait_for_exit(node)
        assert ended == code, output
        assert "Traceback" not in output, output
        assert node.peak_threads == 1, node


@then("the program was extracted below the working directory only")
def step_check_extraction(context):
    assert any((context.folder / "program").iterdir())
    assert not (context.folder / "home").exists()
