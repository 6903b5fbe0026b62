"""An entry process: its listeners and its periodic tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.network import Address, Listener
from camphorspread.connection.server import HttpServer
from camphorspread.process.backend_listener import handle_backend_server
from camphorspread.process.caller_listener import handle_caller
from camphorspread.process.catalogue_poll import poll_catalogue, watch_lease
from camphorspread.process.drain_watch import DrainWatch, handle_sigterm, watch_drain
from camphorspread.process.endpoint_health import remove_endpoint_health
from camphorspread.process.endpoints import expire_endpoints
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.membership_shell import run_membership
from camphorspread.process.operator_listener import handle_entry_operator
from camphorspread.process.peer_listener import handle_peer
from camphorspread.process.share_renewal import renew_periodically
from camphorspread.process.shift_shell import run_shifts
from camphorspread.process.supervision import start_supervised
from camphorspread.request.admission_driver import grant_free_slots
from camphorspread.request.errors import Refusal

__all__ = ["EntryNode", "run_entry_node", "start_entry_node"]

EXPIRY_INTERVAL = timedelta(milliseconds=250)

EntryHandler = Callable[[EntryState, Exchange], Awaitable[None]]
SignalInstaller = Callable[[Callable[[], None]], None]


@attrs.define(eq=False)
class EntryNode:
    """A running entry process.

    Attributes:
        state: State of the process.
        listeners: Its open listeners: callers, backend servers, peers, operators.
        tasks: Its periodic tasks.
        drain_watch: Watches its drain.
    """

    state: EntryState
    listeners: tuple[Listener, ...]
    tasks: tuple[asyncio.Task, ...]
    drain_watch: DrainWatch

    async def stop(self) -> None:
        """Close the listeners and cancel the tasks immediately."""
        for listener in self.listeners:
            await listener.shutdown()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.state.pool.close()


def ignore_signals(_handle: Callable[[], None]) -> None:
    """Install no signal handler."""


async def start_entry_node(
    state: EntryState, on_signal: SignalInstaller = ignore_signals
) -> EntryNode:
    """Open the listeners of an entry process and start its tasks.

    Args:
        state: State of the process.
        on_signal: Called once, before the start is logged, with the function to call on SIGTERM.
    """
    callers = make_server(state, handle_caller)
    backend_servers = make_server(state, handle_backend_server)
    peers = make_server(state, handle_peer)
    operators = make_server(state, handle_entry_operator)
    listeners = (
        await state.network.listen(state.settings.callers, callers.serve),
        await state.network.listen(state.settings.backend_servers, backend_servers.serve),
        await state.network.listen(state.settings.peers, peers.serve),
        await state.network.listen(state.settings.operators, operators.serve),
    )
    watch = DrainWatch(state, (callers, peers), asyncio.get_running_loop().create_future())
    tasks = (
        asyncio.create_task(watch_drain(watch)),
        start_supervised(lambda: poll_catalogue(state), "catalogue_poll", state.log),
        start_supervised(lambda: watch_lease(state), "lease_watch", state.log),
        start_supervised(lambda: run_membership(state), "membership", state.log),
        start_supervised(lambda: renew_periodically(state), "share_renewal", state.log),
        start_supervised(lambda: expire_periodically(state), "expiry", state.log),
        start_supervised(lambda: run_shifts(state), "shifts", state.log),
    )
    on_signal(lambda: handle_sigterm(watch))
    state.log.write(Event.PROCESS_STARTED, role="entry")
    return EntryNode(state, listeners, tasks, watch)


async def run_entry_node(state: EntryState, on_signal: SignalInstaller = ignore_signals) -> int:
    """Run an entry process until its drain has ended or it is cancelled.

    Args:
        state: State of the process.
        on_signal: Called once with the function to call on each SIGTERM.

    Returns:
        The exit code.
    """
    node = await start_entry_node(state, on_signal)
    try:
        return await node.drain_watch.ended
    finally:
        await node.stop()
        state.log.write(Event.PROCESS_STOPPED, role="entry")


def make_server(state: EntryState, handler: EntryHandler) -> HttpServer:
    """Return the HTTP server of one listener, whose handler receives the process state."""

    def log_refusal(refusal: Refusal, peer: Address) -> None:
        state.log.write(Event.CONNECTION_REFUSED, kind=refusal.kind.value, peer=peer.host)

    def log_failure(exc: Exception) -> None:
        state.log.write(Event.HANDLER_FAILED, cause=repr(exc))

    async def track_in_flight(exchange: Exchange) -> None:
        state.requests_in_flight += 1
        try:
            await handler(state, exchange)
        finally:
            state.requests_in_flight -= 1

    return HttpServer(
        track_in_flight,
        state.settings.limits.connection_limits(),
        on_refused=log_refusal,
        on_failed=log_failure,
    )


async def expire_periodically(state: EntryState) -> None:
    """Remove endpoints whose lease has ended, until cancelled."""
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL.total_seconds())
        expired = expire_endpoints(state.registry, state.clock.monotonic())
        grant_free_slots(state)
        for endpoint in expired:
            announcement = endpoint.announcement
            state.pool.close_address(announcement.address)
            remove_endpoint_health(state.slots, announcement.service, announcement.endpoint)
            state.log.write(
                Event.ENDPOINT_EXPIRED,
                service=announcement.service,
                endpoint=announcement.endpoint,
            )
