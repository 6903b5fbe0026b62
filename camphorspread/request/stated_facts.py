"""Applies, logs and counts what backend servers state about themselves in their responses."""

from datetime import timedelta

from camphorspread.process.events import Event
from camphorspread.process.instances import Instance, mark_leaving
from camphorspread.process.steering_state import SteeringState
from camphorspread.request.dialect import (
    DepartureStatement,
    Leaving,
    Limited,
    LoadStated,
    LoadStatement,
    RateStatement,
    ReplyFacts,
    Unlimited,
    Unreadable,
)
from camphorspread.request.peer_forward_codec import LeavingServer
from camphorspread.request.routed_request import RoutedRequest
from camphorspread.request.server_limit import apply_statement
from camphorspread.request.server_pause import apply_pause
from camphorspread.request.server_speed import record_speed

__all__ = [
    "count_stated_requests",
    "note_forwarded_departure",
    "note_pause",
    "note_statements",
]


def count_stated_requests(load: LoadStatement) -> int | None:
    """Return the running and waiting requests that a server states, None if it states none."""
    match load:
        case LoadStated(running=running, waiting=waiting):
            return running + waiting
        case _:
            return None


def note_statements(
    state: SteeringState, job: RoutedRequest, instance: Instance, facts: ReplyFacts, now: timedelta
) -> None:
    """Apply what a server states about itself in a response."""
    note_load(state, job, instance, facts.load, now)
    note_rate_limit(state, job, instance, facts.rate_limit)
    note_departure(state, job, instance, facts.departure)


def note_load(
    state: SteeringState,
    job: RoutedRequest,
    instance: Instance,
    statement: LoadStatement,
    now: timedelta,
) -> None:
    """Apply the speed of a stated load; `record_run_end` applies the requests in it."""
    match statement:
        case LoadStated(speed=speed):
            record_speed(state.board, instance, speed, now)
        case Unreadable(text=text):
            state.metrics.unreadable_loads[(instance.report.service,)] += 1
            fields = {"instance": instance.name, "request": job.call.request_id}
            state.log.write(Event.LOAD_UNREADABLE, **fields, cause=text)


def note_pause(
    state: SteeringState, job: RoutedRequest, instance: Instance, pause: timedelta | None
) -> None:
    """Apply and log the pause for which a server asked when it rejected a request, if any."""
    if pause is None:
        return
    state.metrics.pauses[(instance.report.service,)] += 1
    if apply_pause(state.board, instance, pause, state.clock.monotonic()):
        pause_ms = pause // timedelta(milliseconds=1)
        fields = {"instance": instance.name, "request": job.call.request_id}
        state.log.write(Event.INSTANCE_PAUSED, **fields, pause_ms=pause_ms)


def note_departure(
    state: SteeringState, job: RoutedRequest, instance: Instance, statement: DepartureStatement
) -> None:
    """Apply what a server's response states about its departure, and log it."""
    now = state.clock.monotonic()
    fields = {"instance": instance.name, "request": job.call.request_id}
    match statement:
        case Leaving() if mark_leaving(state.board.registry, instance, now):
            state.log.write(Event.INSTANCE_LEAVING, **fields)
        case Unreadable(text=text):
            state.metrics.unreadable_departures[(instance.report.service,)] += 1
            state.log.write(Event.DEPARTURE_UNREADABLE, **fields, cause=text)


def note_forwarded_departure(
    state: SteeringState, job: RoutedRequest, leaving: LeavingServer | None
) -> None:
    """Apply the statement of a server to which another VM sent the request."""
    if leaving is None:
        return
    instance = state.board.registry.instances.get(leaving.instance)
    if instance is not None and instance.report.started_ms == leaving.started_ms:
        note_departure(state, job, instance, Leaving())


def note_rate_limit(
    state: SteeringState, job: RoutedRequest, instance: Instance, statement: RateStatement
) -> None:
    """Apply what a server's response states about its request rate, and log changes."""
    was_limited = instance.stated.rate_limit is not None
    apply_statement(instance, statement, state.board.sharers)
    fields = {"instance": instance.name, "request": job.call.request_id}
    match statement:
        case Limited(per_second=rate) if not was_limited:
            interval_ms = instance.stated.send_interval // timedelta(milliseconds=1)
            state.log.write(
                Event.INSTANCE_LIMITED, **fields, per_second=rate, interval_ms=interval_ms
            )
        case Unlimited() if was_limited:
            state.log.write(Event.INSTANCE_UNLIMITED, **fields)
        case Unreadable(text=text):
            state.metrics.unreadable_limits[(instance.report.service,)] += 1
            state.log.write(Event.LIMIT_UNREADABLE, **fields, cause=text)
