"""Requests that wait at an entry VM: who waits, who is refused at once, who goes first.

The load pattern that this answers: more requests arrive for some seconds than can be served on
time. Requests that can still be on time go first, the most urgent before others. A few that will be
late use what capacity is left over; the rest is refused at once with the time at which the backlog
is expected to have gone, since a caller that is refused early can still be served.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

from camphorspread.process.instances import Instance
from camphorspread.request.placement import choose_place, fits_freed_slot, has_room
from camphorspread.request.placement_board import (
    Nowhere,
    Pass,
    PlacementBoard,
    PlacementRequest,
    RunTimes,
    Start,
    Wait,
    find_run_times,
    usable_instances,
)

__all__ = [
    "Granted",
    "Refused",
    "Waiter",
    "WaitingList",
    "ask_for_place",
    "grant_slot",
    "leave_list",
    "review_waiting",
    "suggest_return",
]

# Time between the last useful instant of a response and the deadline of its caller.
ANSWER_MARGIN = timedelta(milliseconds=60)
# Part of the promised time that a newcomer's expected time must leave, so that it isn't let in and
# then refused.
ENTRY_MARGIN_PART = 0.15
# Requests that will be late may wait for leftover capacity, as a part of the slots.
LATE_PART = 0.5
# Requests at the head of the queue that are offered to other VMs at each review.
REVIEWED_FIRST = 6
SHORTEST_RETURN = timedelta(milliseconds=150)
LONGEST_RETURN = timedelta(seconds=2)
# A service without a server gets one with the next announcements.
NO_SERVER_RETURN = timedelta(seconds=1)


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a place.

    Attributes:
        ticket: Number in the order of arrival.
        req: The request.
        promised_s: Promised time of its route in seconds.
        instance: Name of the backend server that it is expected to get, empty if none.
        has_waited: True once it has been let in.
        is_late: True once it isn't expected to be on time; it gets capacity that is left over.
    """

    ticket: int
    req: PlacementRequest
    promised_s: float
    instance: str = ""
    has_waited: bool = False
    is_late: bool = False


@attrs.define(eq=False)
class WaitingList:
    """Requests that wait, by service in the order of arrival."""

    by_service: dict[str, dict[int, Waiter]] = attrs.field(factory=dict)

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self.by_service.get(service, ()))


@attrs.frozen
class Granted:
    """The request may start at its place."""

    ticket: int
    place: Start | Pass


@attrs.frozen
class Refused:
    """The request isn't run.

    Attributes:
        ticket: Number of the request.
        return_after: When the caller is likely to be served.
        has_server: False if no backend server of the service is known.
    """

    ticket: int
    return_after: timedelta
    has_server: bool = True


def ask_for_place(
    board: PlacementBoard, waiting: WaitingList, waiter: Waiter, now: timedelta
) -> Granted | Refused | None:
    """Give a request a place, refuse it, or let it wait (None).

    Args:
        board: State of servers and VMs.
        waiting: Requests that wait already.
        waiter: The request.
        now: The present instant.
    """
    decision = decide(board, waiting, waiter, now)
    if decision is None:
        waiting.by_service.setdefault(waiter.req.service, {})[waiter.ticket] = waiter
    return decision


def decide(
    board: PlacementBoard, waiting: WaitingList, waiter: Waiter, now: timedelta
) -> Granted | Refused | None:
    """Decide about one request."""
    req = waiter.req
    place = choose_place(board, req, waiter.promised_s, now)
    times = find_run_times(board, req.service, req.route, waiter.promised_s)
    match place:
        case Nowhere():
            return Refused(waiter.ticket, NO_SERVER_RETURN, has_server=False)
        case Start() if not times.is_measured and has_time_for_run(waiter, times, now):
            # Nothing is known of this route yet, so nothing shows that it can't be served.
            return Granted(waiter.ticket, place)
        case _ if now + timedelta(seconds=place.cost_s) + ANSWER_MARGIN > req.deadline:
            return Refused(waiter.ticket, suggest_return(board, waiting, req, now))
        case Start() | Pass():
            return Granted(waiter.ticket, place)
        case Wait(instance=instance, cost_s=cost_s, run_s=run_s):
            # Expected times err, and a request that has begun to wait should be served. Most of
            # the others that wait are behind it.
            margin = ENTRY_MARGIN_PART * waiter.promised_s
            expected_s = run_s if waiter.has_waited else cost_s + margin
            if now + timedelta(seconds=expected_s) > req.promised_at:
                if not may_wait_late(board, waiting, waiter, now):
                    return Refused(waiter.ticket, suggest_return(board, waiting, req, now))
                waiter.is_late = True
            set_bound(board, waiter, instance.name)
            waiter.has_waited = True
            return None


def has_time_for_run(waiter: Waiter, times: RunTimes, now: timedelta) -> bool:
    """Return True unless even a run about a known object would take longer than is left."""
    return now + timedelta(seconds=times.warm) + ANSWER_MARGIN <= waiter.req.deadline


def set_bound(board: PlacementBoard, waiter: Waiter, name: str) -> None:
    """Count the request at the backend server that it is expected to get."""
    if waiter.instance:
        board.bound[waiter.instance] -= 1
        if not board.bound[waiter.instance]:
            del board.bound[waiter.instance]
    waiter.instance = name
    if name:
        board.bound[name] += 1


def may_wait_late(
    board: PlacementBoard, waiting: WaitingList, waiter: Waiter, now: timedelta
) -> bool:
    """Return True if a request that will be late may wait for leftover capacity."""
    slots = sum(item.report.slots for item in usable_instances(board, waiter.req.service, now))
    others = waiting.by_service.get(waiter.req.service, {})
    late = sum(1 for other in others.values() if other is not waiter and other.is_late)
    return late < max(slots * LATE_PART, 1)


def typical_run(board: PlacementBoard, waiter: Waiter) -> timedelta:
    """Return the time of a run at a server that knows the object."""
    times = board.run_times.get((waiter.req.service, waiter.req.route))
    return timedelta(seconds=times.warm if times else waiter.promised_s)


def leave_list(board: PlacementBoard, waiting: WaitingList, waiter: Waiter) -> None:
    """Take a request out of the list, if it is in it."""
    set_bound(board, waiter, "")
    waiting.by_service.get(waiter.req.service, {}).pop(waiter.ticket, None)


def in_order(board: PlacementBoard, waiters: Iterable[Waiter], now: timedelta) -> list[Waiter]:
    """Return waiting requests in the order in which they are served."""

    def order(waiter: Waiter) -> tuple[bool, int, int]:
        is_late = waiter.is_late or now + typical_run(board, waiter) > waiter.req.promised_at
        return is_late, waiter.req.rank, waiter.ticket

    return sorted(waiters, key=order)


def grant_slot(
    board: PlacementBoard, waiting: WaitingList, instance: Instance, now: timedelta
) -> Granted | None:
    """Give the free slot of a backend server to a waiting request, if one should take it."""
    waiters = waiting.by_service.get(instance.report.service)
    if not waiters or not has_room(board, instance, now):
        return None
    for waiter in in_order(board, waiters.values(), now):
        place = fits_freed_slot(board, waiter.req, instance, waiter.instance)
        if place is not None:
            leave_list(board, waiting, waiter)
            return Granted(waiter.ticket, place)
    return None


def review_waiting(
    board: PlacementBoard, waiting: WaitingList, service: str, now: timedelta
) -> list[Granted | Refused]:
    """Decide anew about the first requests that wait, and about those that can't be on time.

    The caller carries the decisions out one at a time, so each call returns at most one place, and
    the refusals before it.
    """
    waiters = waiting.by_service.get(service)
    if not waiters:
        return []
    decisions: list[Granted | Refused] = []
    for number, waiter in enumerate(in_order(board, waiters.values(), now)):
        is_lapsed = now + typical_run(board, waiter) > waiter.req.promised_at
        if number >= REVIEWED_FIRST and (waiter.is_late or not is_lapsed):
            continue
        # Its own place in the queue must not count against it.
        set_bound(board, waiter, "")
        decision = decide(board, waiting, waiter, now)
        if decision is None:
            continue
        leave_list(board, waiting, waiter)
        decisions.append(decision)
        if isinstance(decision, Granted):
            break
    return decisions


def suggest_return(
    board: PlacementBoard, waiting: WaitingList, req: PlacementRequest, now: timedelta
) -> timedelta:
    """Return when the backlog of a service is expected to have gone."""
    slots = sum(item.report.slots for item in usable_instances(board, req.service, now))
    times = board.run_times.get((req.service, req.route))
    if not slots or times is None:
        return NO_SERVER_RETURN
    backlog = waiting.count(req.service) + slots / 2
    expected = timedelta(seconds=backlog * times.warm / slots)
    return min(max(expected, SHORTEST_RETURN), LONGEST_RETURN)
