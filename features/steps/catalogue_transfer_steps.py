"""Steps for the transfer of catalogue updates."""

import random
from datetime import timedelta
from types import SimpleNamespace

import attrs
from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.platform.routing_codec import decode_table
from camphorspread.process.catalogue_fetch import choose_source
from camphorspread.process.catalogue_transfer import (
    PartRequest,
    add_part,
    cut_part,
    decode_part,
    decode_part_request,
    encode_part,
    encode_part_request,
    is_intact,
)
from camphorspread.process.steering_state import ControlVm
from camphorspread.process.update_store import UpdateStore, find_update
from camphorspread.version.catalogue import Catalogue, RoutingDocument
from camphorspread.version.catalogue_update import decode_update
from camphorspread.version.changes import PutRouting, apply_change
from camphorspread.version.delivery import Delivery, record_change
from features.fixtures.platform_fleet import make_configuration, make_route

NOW = timedelta(seconds=100)
ROUND_TRIPS_MS = {"near": 3, "middle": 40, "far": 110}


def make_document(revision, routes, seed=1):
    """Return a document whose routes compress badly."""
    rng = random.Random(seed)
    values = [
        make_route(f"r{n}", f"/{rng.getrandbits(128):x}/", "safe", "status") for n in range(routes)
    ]
    return RoutingDocument(revision, make_configuration(revision, values).decode())


def accept(control, document):
    """Accept a document at a control VM."""
    change = PutRouting(document)
    control.catalogue = apply_change(control.catalogue, change)
    record_change(control.delivery, control.catalogue.version, change)


def make_control(documents):
    """Return the state of a control VM from which updates are made."""
    control = SimpleNamespace(
        catalogue=Catalogue(), delivery=Delivery(), store=UpdateStore(decode_table)
    )
    for document in documents:
        accept(control, document)
    return control


def fetch(control, request, transfer):
    """Return a transfer with the next part, which passes through its JSON form."""
    request = decode_part_request(encode_part_request(request))
    update = find_update(
        control.store, control.catalogue, control.delivery, request.document, request.digest
    )
    part = decode_part(encode_part(cut_part(update, request)))
    return add_part(transfer, part, NOW), len(part.data)


def fetch_next(context, control):
    """Fetch the next part for the entry VM."""
    transfer = context.transfer
    request = PartRequest(1, context.held.identity, *describe(transfer))
    context.transfer, size = fetch(control, request, transfer)
    context.received += size


def describe(transfer):
    return (transfer.digest, len(transfer.data)) if transfer else ("", 0)


@given("two control VMs with the same changes and an update of several parts")
def step_controls(context):
    context.held, newest = make_document(1, 3), make_document(2, 4000)
    context.controls = [make_control((context.held, newest)) for _ in range(2)]
    context.transfer, context.received = None, 0


@when("an entry VM fetches it and changes the control VM after {parts:d} parts")
def step_fetch(context, parts):
    count = 0
    while context.transfer is None or not context.transfer.is_complete:
        fetch_next(context, context.controls[count >= parts])
        count += 1
    assert count > 2, count


@then("the update is complete and no byte was sent twice")
def step_complete(context):
    assert is_intact(context.transfer)
    assert context.received == context.transfer.size, context.received
    update = decode_update(bytes(context.transfer.data))
    assert (update.version, update.routing.base) == (2, context.held.identity), update.version


@when("an entry VM has fetched 1 part of it and a change is accepted")
def step_change(context):
    control = context.controls[0]
    fetch_next(context, control)
    context.newer = make_document(3, 4001)
    accept(control, context.newer)


@then("the transfer goes on, and the next update has the change only")
def step_goes_on(context):
    control = context.controls[0]
    while not context.transfer.is_complete:
        fetch_next(context, control)
    assert is_intact(context.transfer) and context.received == context.transfer.size
    update = decode_update(bytes(context.transfer.data))
    assert update.version == 2, update.version
    request = PartRequest(2, update.routing.document)
    transfer, _ = fetch(control, request, None)
    assert len(decode_update(bytes(transfer.data)).routing.routes) == 1


@when("an entry VM has fetched 1 part of it and continues at a control VM with a newer catalogue")
def step_other_update(context):
    fetch_next(context, context.controls[0])
    accept(context.controls[1], make_document(3, 4001))
    context.received = 0
    while context.received == 0 or not context.transfer.is_complete:
        fetch_next(context, context.controls[1])


@then("the transfer begins anew with the newer update")
def step_anew(context):
    assert is_intact(context.transfer) and context.received == context.transfer.size
    assert decode_update(bytes(context.transfer.data)).version == 3


@when("an entry VM asks with {document}")
def step_ask(context, document):
    identity = {
        "no document": "",
        "a document that is no longer in the history": make_document(0, 2).identity,
        "another document with the same revision": make_document(1, 3, seed=9).identity,
    }[document]
    control = context.controls[0]
    context.update = find_update(control.store, control.catalogue, control.delivery, identity)


@then("it gets the whole table")
def step_whole(context):
    routing = decode_update(context.update.data).routing
    assert routing.base == "" and len(routing.routes) == 4000, (routing.base, len(routing.routes))


@given("a control VM that has sent a document with {routes:d} routes")
def step_large(context, routes):
    context.held = make_document(1, routes)
    context.control = make_control([context.held])
    control = context.control
    find_update(control.store, control.catalogue, control.delivery, "")
    context.newer = make_document(2, routes + 1)


@when("a document with one more route is accepted, and the history has that one only")
def step_accept_large(context):
    accept(context.control, context.newer)
    assert len(context.control.delivery.deltas) == 1, len(context.control.delivery.deltas)


@then("the update has the change only")
def step_change_only(context):
    control = context.control
    update = find_update(control.store, control.catalogue, control.delivery, context.held.identity)
    assert len(decode_update(update.data).routing.routes) == 1


PART = {"version": 2, "digest": "d", "size": 4, "offset": 0, "data": "YWJj"}
REQUEST = {"version": 1, "document": "1.x", "digest": "", "offset": 0}
FAULTS = {
    "no digest": {"digest": None},
    "no document": {"document": None},
    "a version that is a text": {"version": "2"},
    "data that isn't base64": {"data": "?"},
    "no data": {"data": ""},
    "more data than the update": {"offset": 2},
    "a negative offset": {"offset": -1},
    "an offset that is a text": {"offset": "0"},
}


@then("a {message} with {fault} is refused")
def step_malformed(context, message, fault):
    value, decode = (PART, decode_part) if message == "part" else (REQUEST, decode_part_request)
    assert decode(value)
    changed = value | FAULTS[fault]
    try:
        result = decode({name: item for name, item in changed.items() if item is not None})
    except ValueError:
        return
    # A response without any part of an update states the version only.
    assert result is None and message == "part", result


@given("an entry VM with catalogue version {held:d}, and version 2 announced {ms:d} ms ago")
def step_entry(context, held, ms):
    context.state = SimpleNamespace(
        catalogue_version=held, announced_at=NOW - timedelta(milliseconds=ms), controls={}
    )


@given("the control VMs near: {near}; middle: {middle}; far: {far}")
def step_control_states(context, near, middle, far):
    for name, text in (("near", near), ("middle", middle), ("far", far)):
        address = Address(name, 1)
        control = ControlVm(address, NOW, round_trip=timedelta(milliseconds=ROUND_TRIPS_MS[name]))
        if "silent" in text:
            control.last_response_at = NOW - timedelta(seconds=9)
        else:
            control.catalogue_version = int(text.split(",")[0].split()[-1])
        if "avoided" in text:
            control.avoided_until = NOW + timedelta(seconds=1)
        context.state.controls[address] = control


@then("the source is {name}")
def step_source(context, name):
    source = choose_source(context.state, NOW)
    assert (source.peers.host if source else "none") == name, source and attrs.asdict(source)
