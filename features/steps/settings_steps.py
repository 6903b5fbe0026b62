"""Steps of settings files."""

import json
import runpy
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from features.fixtures.command_line import call_command

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


@given('the settings file "{name}" with {path} set to {value}')
def step_set_field(context, name, path, value):
    file = context.folder / f"{name}.json"
    settings = json.loads(file.read_text())
    *parents, field = path.split(".")
    parent_object = settings
    for key in parents:
        parent_object = parent_object[key]
    parent_object[field] = json.loads(value)
    file.write_text(json.dumps(settings))


@given('the settings file "{name}" without its last control process')
def step_remove_replica(context, name):
    file = context.folder / f"{name}.json"
    settings = json.loads(file.read_text())
    settings["replicas"].pop()
    file.write_text(json.dumps(settings))


@when('the settings file "{name}" is checked')
def step_check_settings(context, name):
    context.output = call_command(["check-settings", str(context.folder / f"{name}.json")])


@then('the command ends with code {code:d} and the message "{message}"')
def step_check_code_and_message(context, code, message):
    output = context.output
    assert output.code == code, output
    assert message in output.stdout + output.stderr, output
    assert "Traceback" not in output.stderr, output


@then("the command reports {count:d} faults")
def step_count_faults(context, count):
    lines = context.output.stderr.splitlines()
    assert context.output.code == 2, context.output
    assert len(lines) == count, lines


@when("the settings and the catalogue of each example are checked")
def step_check_examples(context):
    context.settings = {}
    for folder in sorted(path.parent for path in EXAMPLES.glob("*/fleet.json")):
        files = sorted((folder / "settings").glob("*.json"))
        output = call_command(["check-settings", *map(str, files)])
        assert output.code == 0, output
        output = call_command(["check-catalogue", str(folder / "catalogue.json")])
        assert output.code == 0, output
        context.settings[folder.name] = [json.loads(file.read_text()) for file in files]


@then(
    "each example has {entry:d} entry processes and {control:d} control processes "
    "in {zones:d} availability zones"
)
def step_count_processes(context, entry, control, zones):
    assert sorted(context.settings) == ["le-goff", "vodna-vrazka"]
    for settings in context.settings.values():
        roles = [item["role"] for item in settings]
        assert (roles.count("entry"), roles.count("control")) == (entry, control)
        assert len({item["place"]["availability_zone"] for item in settings}) == zones


@then("the committed examples equal the output of their generator")
def step_generate_examples(context):
    with tempfile.TemporaryDirectory() as name:
        shutil.copy(EXAMPLES / "generate.py", name)
        runpy.run_path(str(Path(name) / "generate.py"), run_name="__main__")
        for written in sorted(Path(name).glob("*/**/*.json")):
            committed = EXAMPLES / written.relative_to(name)
            assert committed.read_text() == written.read_text(), committed
