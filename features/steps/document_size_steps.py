"""Steps for changes with large documents."""

import tracemalloc
from datetime import timedelta

from behave import given, then, when

from camphorspread.version.catalogue import RoutingDocument
from camphorspread.version.changes import ANY_VERSION, ChangeRequest, PutRouting
from camphorspread.version.delivery import (
    Delivery,
    Poll,
    SendDeltas,
    SendFullCatalogue,
    decide_poll,
    record_change,
)
from camphorspread.version.replica_messages import ChangeEntry, LogEntry, SnapshotChunk
from camphorspread.version.replica_state import entry_size
from camphorspread.version.replica_storage import open_folder
from camphorspread.version.replica_view import ReplicaView
from features.steps.replica_steps import followers, state_of

NOW = timedelta(seconds=10)


def put_document(revision, size):
    """Return a change with a document of a size."""
    document = RoutingDocument(revision, f"{revision:06}".ljust(size, "x"))
    return ChangeRequest(f"d{revision}", ANY_VERSION, "operator", PutRouting(document))


@when("{count:d} documents of {size:d} characters are accepted one after the other")
def step_accept(context, count, size):
    group = context.group
    context.document_size = size
    context.largest = 0
    for number in range(1, count + 1):
        accept(context, number)
        for host in group.hosts.values():
            held = sum(entry_size(entry) for entry in host.state.log.entries)
            context.largest = max(context.largest, held)
    context.next_number = count + 1


def accept(context, number):
    """Let the group accept one document."""
    group = context.group
    request = put_document(number, context.document_size)
    group.propose(context.leader, request)
    group.run(0.3)
    assert group.outcomes[request.change_id].error is None


@then("the log of each replica has held at most {size:d} characters of documents")
def step_log_size(context, size):
    assert 0 < context.largest <= size, context.largest


@then("a replica that missed {count:d} of them catches up from a snapshot")
def step_catch_up(context, count):
    group = context.group
    missing = followers(context)[0]
    group.crash(missing)
    for number in range(context.next_number, context.next_number + count):
        accept(context, number)
    group.start(missing)
    chunks = []
    group.measure = lambda source, target, message: (
        chunks.append(isinstance(message, SnapshotChunk)) or 0
    )
    group.run(5)
    assert any(chunks), "no snapshot was sent"
    expected = state_of(context, context.leader).committed.catalogue
    assert state_of(context, missing).committed.catalogue == expected


@given("a data folder whose log has {count:d} documents of {size:d} characters")
def step_large_folder(context, count, size):
    storage, _ = open_folder(context.data_folder, "first")
    for index in range(1, count + 1):
        entry = LogEntry(index, 1, ChangeEntry(put_document(index, size), "2026-01-01"))
        storage.write((entry,))
    storage.sync()
    storage.close()


@then("opening the data folder takes less memory than {factor:g} times the size of its log")
def step_memory(context, factor):
    tracemalloc.start()
    try:
        storage, stored = open_folder(context.data_folder, "second")
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    storage.close()
    assert len(stored.entries) == 40, len(stored.entries)
    assert peak < factor * storage.log_bytes, (peak, storage.log_bytes)


@given("a history of {count:d} documents of {size:d} characters")
def step_history(context, count, size):
    context.delivery = Delivery()
    context.count = count
    for number in range(1, count + 1):
        record_change(context.delivery, number, put_document(number, size).change)


@then("it holds at most {size:d} characters and the newest document")
def step_history_size(context, size):
    deltas = context.delivery.deltas
    assert sum(len(item.change.document.text) for item in deltas) <= size
    assert deltas[-1].version == context.count


@then(
    "an entry VM that is {near:d} changes behind gets them, and one {far:d} behind the whole "
    "catalogue"
)
def step_history_polls(context, near, far):
    view = ReplicaView("a", True, NOW + timedelta(seconds=1), True, NOW)
    delivery, newest = context.delivery, context.count
    deltas = decide_poll(delivery, newest, view, Poll("vm", newest - near), NOW)
    assert isinstance(deltas, SendDeltas) and len(deltas.deltas) == near, deltas
    whole = decide_poll(delivery, newest, view, Poll("vm", newest - far), NOW)
    assert isinstance(whole, SendFullCatalogue), whole
