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
from camphorspread.request.return_booking import ARRIVAL_DECAY_S, ReturnBooking, book_return
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


@given("a service that frees a slot every {interval:g} s, {percent:g} percent of which are used")
def step_near_full_use(context, interval, percent):
    context.interval = timedelta(seconds=interval)
    arrivals = ARRIVAL_DECAY_S * percent / 100 / interval
    context.booking = ReturnBooking(arrivals=arrivals)


def book(context, earliest_s: float, now_s: float) -> float:
    """Return the time after which a refused caller is told to return."""
    earliest, left = timedelta(seconds=earliest_s), timedelta(seconds=6)
    now = timedelta(seconds=now_s)
    return book_return(context.booking, earliest, context.interval, left, now).total_seconds()


@when("a caller is refused, and the load ends")
def step_refused_once(context):
    book(context, 0.1, DECIDED_S)
    context.booking.arrivals = 0.0


@then("{seconds:g} s later refused callers are told to return after {a:g}, {b:g} and {c:g} s")
def step_return_times(context, seconds, a, b, c):
    delays = [round(book(context, a, DECIDED_S + seconds), 6) for _ in range(3)]
    assert delays == [a, b, c], delays
