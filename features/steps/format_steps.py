"""Steps for the format versions of messages and files."""

import json

from behave import then, when

from camphorspread.connection.link import JsonLink
from camphorspread.connection.pool import ConnectionPool
from camphorspread.version.codec import decode_catalogue, decode_deltas, encode, encode_deltas
from camphorspread.version.delivery import Delta
from camphorspread.version.format import FormatError
from camphorspread.version.replica_codec import (
    decode_entry,
    decode_envelope,
    encode_entry,
    encode_replica_value,
    encode_snapshot,
)
from camphorspread.version.replica_messages import AppendRequest, ChangeEntry, Envelope, LogEntry
from camphorspread.version.replica_state import CommittedState
from camphorspread.version.replica_storage import open_folder
from features.fixtures.control_group import ACCESS_KEY
from features.fixtures.replica_group import change

ENTRY = LogEntry(1, 1, ChangeEntry(change("c1", 0), "2026-01-01"))


def add_fields(value):
    """Return a JSON value with an unknown field in each object."""
    match value:
        case dict():
            return {"added": 1, **{name: add_fields(item) for name, item in value.items()}}
        case list() | tuple():
            return [add_fields(item) for item in value]
    return value


def with_other_format(data):
    """Return an encoded value with format version 2 in place of 1."""
    assert json.loads(data)["format"] == 1, data
    return json.dumps({**json.loads(data), "format": 2}).encode()


@when("a replica message, a poll response and a log record have an added field")
def step_add_fields(context):
    control = next(iter(context.control_group.controls.values()))
    request = AppendRequest(1, 0, 0, (ENTRY,), 0, control.clock.monotonic())
    envelope = Envelope("a/1", "b/2", control.settings.peers, request)
    deltas = (Delta(1, ENTRY.payload.request.change),)
    context.read = [
        (decode_envelope(add_fields(encode_replica_value(envelope))), envelope),
        # The keys of its mappings are names, so only the catalogue itself gets a field.
        (decode_catalogue({**encode(control.catalogue), "added": 1}), control.catalogue),
        (decode_deltas(add_fields(encode_deltas(deltas))), deltas),
        (decode_entry(json.dumps(add_fields(json.loads(encode_entry(ENTRY)))).encode()), ENTRY),
    ]


@then("all three are read as without it, but an operator's request with one is refused")
def step_check_added(context):
    for found, expected in context.read:
        assert found == expected, (found, expected)
    group = context.control_group
    for target, value in (
        ("/v1/catalogue/changes", encode(change("c1", 0))),
        ("/v1/members", {"type": "RemoveMember", "vm": "x", "identity": "y"}),
    ):
        status, body = group.call(group.wait_for_leader(), "POST", target, {**value, "added": 1})
        assert status == 409 and body["field"].endswith("added"), (status, body)


@when("another process sends messages in format version 2 to all listeners for own processes")
def step_send_other_format(context):
    group = context.control_group
    pool = ConnectionPool(group.network.host("127.0.9.9"), context.clock)
    link = JsonLink(pool, ACCESS_KEY, format_version=2)
    context.responses = []
    for vm in group.controls:
        for target in ("/v1/replica/message", "/v1/catalogue/poll", "/v1/shares/renew"):
            address = group.controls[vm].settings.peers
            coroutine = link.call(address, "POST", target, {})
            context.responses.append(context.loop.run_until_complete(coroutine))


@then("each is refused and logged once with source and version")
def step_check_refused(context):
    for response in context.responses:
        assert response.status == 400 and "format version 2" in response.value["message"], response
    for vm, log in context.control_group.logs.items():
        lines = [json.loads(line) for line in log.getvalue().splitlines()]
        found = [line for line in lines if line["event"] == "format_refused"]
        assert [(line["source"], line["given"]) for line in found] == [("127.0.9.9", "2")], vm


@then("a log record and a snapshot in format version 2 stop the start with that event")
def step_check_files(context):
    group = context.control_group
    vm = next(iter(group.controls))
    committed = CommittedState(1, 1)
    for name in ("log", "snapshot"):
        folder = context.data_folder / name
        storage, _ = open_folder(folder, "first")
        if name == "log":
            storage.log.append([with_other_format(encode_entry(ENTRY))])
        else:
            storage.store_snapshot(with_other_format(encode_snapshot(committed.make_snapshot())))
        storage.close()
        group.stop(vm)
        group.start(vm, data_folder=str(folder))
        task = group.tasks[vm]
        group.run(0.1)
        assert isinstance(task.exception(), FormatError), task
        line = json.loads(group.logs[vm].getvalue().splitlines()[-1])
        assert (line["event"], line["given"]) == ("format_refused", 2), line
