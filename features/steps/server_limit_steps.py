"""Steps for the request rates that backend servers state."""

from behave import given, then, when

from camphorspread.connection.messages import ResponseHead
from camphorspread.platform.dialect import PlatformDialect
from camphorspread.request.dialect import Limited, Unlimited, Unreadable
from camphorspread.request.server_limit import apply_statement
from features.fixtures.placement_simulation import make_board


@given('a response with the limit headers "{headers}"')
def step_response(context, headers):
    values = [b""] if headers == "empty" else headers.encode().split(b" / ")
    fields = tuple((b"server-limit", value) for value in values)
    context.statement = PlatformDialect().decode_response(ResponseHead(200, fields)).rate_limit


@given('a response with the limit headers ""')
def step_no_header(context):
    context.statement = PlatformDialect().decode_response(ResponseHead(200, ())).rate_limit


@then("its limit is read as {rate:g} a second")
def step_limited(context, rate):
    assert context.statement == Limited(rate), context.statement


@then("its limit is read as no limit")
def step_unlimited(context):
    assert context.statement == Unlimited(), context.statement


@then("its limit is read as unreadable")
def step_unreadable(context):
    assert isinstance(context.statement, Unreadable), context.statement


@given("a server that stated a limit of {rate:g} a second to one of {vms:d} VMs")
def step_limited_server(context, rate, vms):
    context.board, context.vms = make_board(1), vms
    context.server = context.board.registry.instances["i-0"]
    apply_statement(context.server, Limited(rate), vms)


@when("it states something unreadable")
def step_state_unreadable(context):
    apply_statement(context.server, Unreadable("soon"), context.vms)


@when("it states no limit")
def step_state_unlimited(context):
    apply_statement(context.server, Unlimited(), context.vms)


@then("the VM's share is one request in {seconds:g} s")
def step_share(context, seconds):
    assert context.server.send_interval.total_seconds() == seconds, context.server


@then("the VM's requests to it aren't limited")
def step_not_limited(context):
    assert context.server.rate_limit is None
    assert not context.server.send_interval
