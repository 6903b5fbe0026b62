"""Runs the drain state machine of an entry process and executes its effects."""

import asyncio
import sys
from datetime import timedelta

import attrs

from camphorspread.connection.server import HttpServer
from camphorspread.process.drain import (
    Drain,
    Effect,
    EndProcess,
    HandOver,
    HandoverEnded,
    ReportRemainder,
    SignalReceived,
    StartLeaving,
    Tick,
    apply_event,
)
from camphorspread.process.drain import Event as DrainEvent
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.fleet import FleetView, VmState
from camphorspread.process.handover import hand_over
from camphorspread.process.ledger import expire_keys
from camphorspread.process.share_renewal import return_shares

__all__ = ["DrainWatch", "handle_sigterm", "watch_drain"]

TICK_INTERVAL = timedelta(milliseconds=100)


@attrs.define(eq=False)
class DrainWatch:
    """The drain of one entry process.

    Attributes:
        state: State of the process.
        drain: State of the drain.
        servers: HTTP servers; while draining they close each connection after its current exchange.
        ended: Future that gets the exit code when the process is to exit.
        tasks: Running tasks that effects have started.
    """

    state: EntryState
    servers: tuple[HttpServer, ...]
    ended: asyncio.Future[int]
    drain: Drain = attrs.field(factory=Drain)
    tasks: set[asyncio.Task] = attrs.field(factory=set)


def handle_sigterm(watch: DrainWatch) -> None:
    """Handle a SIGTERM: the first drains, the second reports, the third stops immediately."""
    process_event(watch, SignalReceived())


async def watch_drain(watch: DrainWatch) -> None:
    """Expire old once keys and advance the drain until cancelled."""
    state = watch.state
    while True:
        await asyncio.sleep(TICK_INTERVAL.total_seconds())
        expire_keys(state.ledger, state.clock.monotonic())
        process_event(watch, make_tick(state))


def make_tick(state: EntryState) -> Tick:
    """Return a tick event with the current state of the process."""
    services = state.catalogue.services.values() if state.catalogue else ()
    ttls = [item.entry.lookup_ttl for item in services]
    longest_ttl = max(ttls, default=timedelta(0))
    has_endpoints = any(state.registry.services.values())
    return Tick(state.last_named, longest_ttl, state.requests_in_flight, has_endpoints)


def process_event(watch: DrainWatch, event: DrainEvent) -> None:
    """Apply an event and execute its effects."""
    for effect in apply_event(watch.drain, event, watch.state.clock.monotonic()):
        execute_effect(watch, effect)


def execute_effect(watch: DrainWatch, effect: Effect) -> None:
    """Execute one effect."""
    state = watch.state
    match effect:
        case StartLeaving():
            mark_leaving(state)
            for server in watch.servers:
                server.draining = True
        case ReportRemainder():
            report_remainder(state)
        case HandOver():
            task = asyncio.create_task(finish_handover(watch))
            watch.tasks.add(task)
            task.add_done_callback(watch.tasks.discard)
        case EndProcess(exit_code=0, drain_time=drain_time):
            state.log.write(Event.DRAIN_ENDED, drain_ms=to_milliseconds(drain_time))
            request_exit(watch, 0)
        case EndProcess(exit_code=exit_code):
            state.log.write(Event.STOPPED_AT_ONCE, requests=state.requests_in_flight)
            request_exit(watch, exit_code)


def mark_leaving(state: EntryState) -> None:
    """Show this VM as leaving in its own lookup responses and heartbeats."""
    state.is_leaving = True
    own = attrs.evolve(state.fleet.own, state=VmState.LEAVING)
    state.fleet = FleetView(state.fleet.own_vm, {**state.fleet.vms, own.vm: own})
    state.log.write(Event.DRAIN_STARTED, requests=state.requests_in_flight)


def report_remainder(state: EntryState) -> None:
    """Log and print what an immediate stop would interrupt."""
    requests, keys = state.requests_in_flight, len(state.running_keys)
    state.log.write(Event.DRAIN_REMAINDER, requests=requests, once_keys=keys)
    message = f"stopping now would interrupt {requests} requests, {keys} of them with a once key"
    print(message, file=sys.stderr)


async def finish_handover(watch: DrainWatch) -> None:
    """Hand over and return the shares, then continue the drain even without a successor."""
    await hand_over(watch.state)
    await return_shares(watch.state)
    process_event(watch, HandoverEnded())


def request_exit(watch: DrainWatch, exit_code: int) -> None:
    """Complete `ended` with the exit code unless it is complete already."""
    if not watch.ended.done():
        watch.ended.set_result(exit_code)


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds, rounded down."""
    return duration // timedelta(milliseconds=1)
