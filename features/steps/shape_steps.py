"""Steps of rules for the source tree."""

import ast
import re
from pathlib import Path

from behave import then, when

from camphorspread.process.events import Event, find_level

PROJECT = Path(__file__).parent.parent.parent
SYNC_NAMES = {"fsync", "fdatasync", "sync"}
# Modules that store the replicated log on disk; only control processes load them.
SYNCING_MODULES = re.compile(r"camphorspread/(version/(log_file|replica_\w+|snapshot)\.py)$")


@when("the source tree is searched")
def step_search(context):
    context.trees = {
        path: ast.parse(path.read_text()) for path in (PROJECT / "camphorspread").rglob("*.py")
    }
    assert len(context.trees) > 40, len(context.trees)


def list_imports(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def list_names(tree):
    for node in ast.walk(tree):
        match node:
            case ast.Attribute(attr=name) | ast.Name(id=name) | ast.alias(name=name):
                yield name


@then("no module imports one of these")
def step_check_imports(context):
    forbidden = {row["module"] for row in context.table}
    found = [
        f"{path.relative_to(PROJECT)} imports {name}"
        for path, tree in context.trees.items()
        for name in list_imports(tree)
        if any(name == module or name.startswith(module + ".") for module in forbidden)
    ]
    assert not found, found


@then("no module uses one of these names")
def step_check_names(context):
    forbidden = {row["name"] for row in context.table}
    found = [
        f"{path.relative_to(PROJECT)} uses {name}"
        for path, tree in context.trees.items()
        for name in list_names(tree)
        if name in forbidden
    ]
    assert not found, found


@then("only modules of control processes sync files")
def step_check_syncs(context):
    found = [
        str(path.relative_to(PROJECT))
        for path, tree in context.trees.items()
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in SYNC_NAMES
        and isinstance(node.value, ast.Name)
        and node.value.id == "os"
    ]
    violations = [path for path in found if not SYNCING_MODULES.search(path)]
    assert not violations, violations


def read_event_table(text):
    """Return name, level, fields and remedy of each row, by event number."""
    rows = re.findall(r"^\| (\d+) \| (\w+) \| (\w+) \| (.+?) \| (.+?) \| (.+?) \|$", text, re.M)
    return {int(row[0]): row[1:] for row in rows}


def list_event_fields():
    """Return the fields that the code writes with each event, by name of the event."""
    fields = {}
    for path in (PROJECT / "camphorspread").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(args=[ast.Attribute(value=ast.Name(id="Event"), attr=name)]):
                    written = {keyword.arg for keyword in node.keywords if keyword.arg}
                    fields.setdefault(name, set()).update(written)
    return fields


@then('"{page}" lists each event of the code with its number, fields and what to do')
def step_check_events(context, page):
    listed = read_event_table((PROJECT / page).read_text())
    faults = [
        f"{page} needs a row for event {event.value} {event.name.lower()}"
        for event in Event
        if event.value not in listed
    ]
    numbers = {event.value for event in Event}
    faults += [f"{page} lists {number}, which the code lacks" for number in set(listed) - numbers]
    written = list_event_fields()
    for event in Event:
        level = find_level(event)
        name, stated, fields, *_ = listed.get(event.value, (event.name.lower(), level, "-"))
        if stated != level:
            faults.append(f"{page}: event {event.value} has the level {level}, not {stated}")
        if name != event.name.lower():
            faults.append(f"{page}: event {event.value} is {event.name.lower()}, not {name}")
        missing = written.get(event.name, set()) - set(re.findall(r"\w+", fields))
        if missing and event.value in listed:
            faults.append(f"{page}: event {event.value} lacks the fields {sorted(missing)}")
    assert not faults, "\n".join(faults)


@then("a span was written")
def step_check_span(context):
    assert context.spans


@then("neither a thread nor a process was started")
def step_check_starts(context):
    assert not context.starts, context.starts
