"""Steps for the time at which a forwarded request counts for a quota."""

import asyncio
import contextlib
from datetime import timedelta
from unittest import mock

from behave import given, then, when

from camphorspread.connection.messages import RequestHead
from camphorspread.connection.network import Address
from camphorspread.process.entry_vms import EntryVm
from camphorspread.process.held_memory import HeldMemory
from camphorspread.request import route_attempt
from camphorspread.request.dialect import SteeredCall
from camphorspread.request.placement_board import ForwardPlacement
from camphorspread.request.routed_request import RoutedRequest
from camphorspread.request.send import RequestBody, ResponseLost
from camphorspread.version.routing import Route
from features.fixtures.placement_simulation import make_board, make_request


@given("a request of a limited organisation that was forwarded {seconds:g} s ago")
def step_forwarded(context, seconds):
    far = Address("10.2.0.1", 1)
    peer = EntryVm("far", 1, "varna-a", "varna", far, far)
    req = make_request(0.0, "", deadline=timedelta(seconds=20), organisation="acme")
    route = Route("read", "", "/", False, timedelta(2), timedelta(1), 0, ())
    call = SteeredCall(RequestHead(b"GET", b"/read/x"), "", "/read/x", "r1", "", None)
    context.job = RoutedRequest(call, route, req, RequestBody(()), timedelta(0), req.deadline)
    state = mock.Mock(board=make_board(1), table=None, clock=context.clock, held=HeldMemory(None))
    context.lost = context.loop.create_future()

    async def send(_pool, _address, prepare, _body, _is_answer, note_held=None):
        assert prepare() is not None
        return await context.lost

    async def forward():
        with mock.patch.object(route_attempt, "send_request", send):
            await route_attempt.attempt_forward(state, context.job, ForwardPlacement(peer, 0.1))

    context.forward = context.loop.create_task(forward())
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert not context.forward.done()


@when("the response is lost")
def step_lost(context):
    context.lost.set_result(ResponseLost("the connection was closed"))


@when("the caller disconnects")
def step_disconnected(context):
    context.forward.cancel()


@then("it counts as sent {seconds:g} s after the forward")
def step_counted(context, seconds):
    with contextlib.suppress(asyncio.CancelledError):
        context.loop.run_until_complete(context.forward)
    assert context.job.sent == [timedelta(seconds=seconds)], context.job.sent
