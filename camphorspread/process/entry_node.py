"""An entry process: its listeners and its periodic tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address, Listener
from camphorspread.connection.server import Exchange, HttpServer
from camphorspread.process.backend_listener import handle_backend_server
from camphorspread.process.caller_listener import handle_caller
from camphorspread.process.catalogue_poll import poll_catalogue, watch_lease
from camphorspread.process.endpoints import expire_endpoints
from camphorspread.process.entry_state import EntryState
from camphorspread.process.events import Event
from camphorspread.process.membership_shell import run_membership
from camphorspread.process.operator_listener import handle_entry_operator
from camphorspread.process.peer_listener import handle_peer
from camphorspread.process.share_renewal import renew_periodically
from camphorspread.process.shift_shell import run_shifts
from camphorspread.process.slots import forget_endpoint
from camphorspread.request.admission_shell import grant_free_slots
from camphorspread.request.errors import Refusal

__all__ = ["EntryNode", "run_entry_node", "start_entry_node"]

EXPIRY_INTERVAL = timedelta(milliseconds=250)

EntryHandler = Callable[[EntryState, Exchange], Awaitable[None]]


@attrs.define(eq=False)
class EntryNode:
    """A running entry process.

    Attributes:
        state: State of the process.
        listeners: Its open listeners: callers, backend servers, peers, operators.
        tasks: Its periodic tasks.
    """

    state: EntryState
    listeners: tuple[Listener, ...]
    tasks: tuple[asyncio.Task, ...]

    async def stop(self) -> None:
        """Close listeners and tasks at once."""
        for listener in self.listeners:
            await listener.end()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.state.pool.close()


async def start_entry_node(state: EntryState) -> EntryNode:
    """Open the listeners of an entry process and start its tasks."""
    listeners = (
        await listen(state, state.settings.callers, handle_caller),
        await listen(state, state.settings.backend_servers, handle_backend_server),
        await listen(state, state.settings.peers, handle_peer),
        await listen(state, state.settings.operators, handle_entry_operator),
    )
    tasks = (
        asyncio.create_task(poll_catalogue(state)),
        asyncio.create_task(watch_lease(state)),
        asyncio.create_task(run_membership(state)),
        asyncio.create_task(renew_periodically(state)),
        asyncio.create_task(expire_periodically(state)),
        asyncio.create_task(run_shifts(state)),
    )
    state.log.write(Event.PROCESS_STARTED, role="entry")
    return EntryNode(state, listeners, tasks)


async def run_entry_node(state: EntryState) -> None:
    """Run an entry process until cancelled."""
    node = await start_entry_node(state)
    try:
        await asyncio.Event().wait()
    finally:
        await node.stop()


async def listen(state: EntryState, address: Address, handler: EntryHandler) -> Listener:
    """Open one listener whose handler gets the state of the process."""

    def log_refusal(refusal: Refusal, peer: Address) -> None:
        state.log.write(Event.CONNECTION_REFUSED, kind=refusal.kind.value, peer=peer.host)

    def log_failure(exc: Exception) -> None:
        state.log.write(Event.HANDLER_FAILED, cause=repr(exc))

    server = HttpServer(
        lambda exchange: handler(state, exchange),
        state.settings.limits.connection_limits(),
        on_refused=log_refusal,
        on_failed=log_failure,
    )
    return await state.network.listen(address, server.serve)


async def expire_periodically(state: EntryState) -> None:
    """Remove endpoints whose lease has ended, until cancelled."""
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL.total_seconds())
        expired = expire_endpoints(state.registry, state.clock.monotonic())
        grant_free_slots(state)
        for endpoint in expired:
            announcement = endpoint.announcement
            state.pool.close_address(announcement.address)
            forget_endpoint(state.slots, announcement.service, announcement.endpoint)
            state.log.write(
                Event.ENDPOINT_EXPIRED,
                service=announcement.service,
                endpoint=announcement.endpoint,
            )
