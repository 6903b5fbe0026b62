"""Steps for counts under scarce capacity that arrive late or near full use."""

from datetime import timedelta

from behave import given, then, when

from camphorspread.request.placement_queue import (
    Granted,
    PlacementQueue,
    Waiter,
    request_placement,
    withdraw_grant,
)
from features.fixtures.placement_simulation import PROMISED_S, make_board, make_request

ORGANISATION = "acme"
# Near the end of an interval of counting.
DECIDED_S = 100.1


def place(context, at_s: float):
    """Ask for the placement of a request and return the decision."""
    context.ticket += 1
    req = make_request(at_s, organisation=ORGANISATION)
    now = timedelta(seconds=at_s)
    waiter = Waiter(context.ticket, req, PROMISED_S)
    return request_placement(context.board, context.waiting, waiter, now)


@given("a server with a free slot")
def step_free_slot(context):
    context.board = make_board(1)
    context.board.has_organisations = True
    context.waiting, context.ticket = PlacementQueue(), 0


@when("a request of an organisation starts there, and its attempt fails {seconds:g} s later")
def step_late_failure(context, seconds):
    assert isinstance(place(context, DECIDED_S), Granted)
    context.failed_s = DECIDED_S + seconds
    req = make_request(DECIDED_S, organisation=ORGANISATION)
    withdraw_grant(context.board, req, True, timedelta(seconds=context.failed_s))


@then("requests of the organisation start after {first:d}, {second:d} and {third:d} s")
def step_started(context, first, second, third):
    for delay in (first, second, third):
        decision = place(context, context.failed_s + delay)
        assert isinstance(decision, Granted), decision
