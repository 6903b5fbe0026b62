"""Steps of the decision on what may be attempted again."""

import ast
from pathlib import Path

from behave import given, then, when

from camphorspread.connection.network import Address
from camphorspread.connection.pool import ConnectionPool
from camphorspread.request.resend import (
    RestConsumed,
    RestUnread,
    WholeBuffered,
    may_resend,
    note_read,
)
from camphorspread.request.send import AnswerRule, RequestBody, send_request
from features.fixtures.memory_network import MemoryNetwork

REQUEST_FOLDER = Path(__file__).parent.parent.parent / "camphorspread" / "request"


@given("a body that is {buffered}")
def step_body(context, buffered):
    context.body = WholeBuffered() if buffered == "buffered completely" else RestUnread()


@when("chunks of {sizes} bytes after the buffered part are read")
def step_read(context, sizes):
    for size in () if sizes == "no" else sizes.split(","):
        context.body = note_read(context.body, int(size))


@then("the request {decision} be attempted again")
def step_decision(context, decision):
    assert may_resend(context.body) is (decision == "may"), context.body


@then("reading {size:d} byte after it is an error")
def step_error(context, size):
    try:
        note_read(context.body, size)
    except ValueError:
        return
    raise AssertionError(context.body)


@given("a request with a body of which {size:d} byte after the buffered part was read")
def step_consumed(context, size):
    context.request_body = RequestBody(progress=RestConsumed(size))


@when("it is sent")
def step_send(context):
    network = MemoryNetwork(lambda _source, _target: 0.001)
    pool = ConnectionPool(network.host("10.0.0.1"), context.clock)
    sending = send_request(
        pool,
        Address("10.0.0.2", 80),
        lambda: None,
        context.request_body,
        AnswerRule(lambda _head: True),
    )
    context.network = network
    try:
        context.loop.run_until_complete(sending)
    except RuntimeError as exc:
        context.error = exc


@then("the send is refused before a connection is opened")
def step_refused(context):
    assert "consumed" in str(context.error), context.error
    assert not context.network.streams, context.network.streams


@then('these modules use "may_resend" or pass the progress of a body to it')
def step_modules(context):
    for row in context.table:
        tree = ast.parse((REQUEST_FOLDER / row["module"]).read_text())
        called = {node.func.id for node in ast.walk(tree) if is_plain_call(node)}
        assert row["name"] in called, row["module"]


def is_plain_call(node):
    """Return True for a call of a plain name."""
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
