"""An entry VM that steers by routes: its listeners, tasks and graceful shutdown."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.messages import ResponseHead, find_header
from camphorspread.connection.network import Address, Listener
from camphorspread.connection.server import HttpServer
from camphorspread.process.announcement_codec import decode_leave, decode_report
from camphorspread.process.announcement_messages import ANNOUNCEMENT_PATH, LEAVE_PATH
from camphorspread.process.announcements import (
    hand_over_instances,
    process_forwarded_announcement,
    process_forwarded_departure,
)
from camphorspread.process.departures import expire_departures
from camphorspread.process.events import Event
from camphorspread.process.explain_listener import EXPLAIN_PATH, serve_explanation
from camphorspread.process.held_memory import HeldKind, take_pressure_change
from camphorspread.process.instances import expire_instances, list_owned_instances
from camphorspread.process.learned_metrics import format_learned_runs
from camphorspread.process.metrics import METRICS_TYPE
from camphorspread.process.quota_renewal import renew_quotas_periodically, return_quotas
from camphorspread.process.steering_metrics import format_steering_metrics
from camphorspread.process.steering_state import SteeringState
from camphorspread.process.supervision import start_supervised
from camphorspread.process.vm_poll import TableDecoder, notify_control_vms, poll_control_vms
from camphorspread.process.vm_summary import SUMMARY_PATH, exchange_summaries, serve_summary
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.request.peer_forward_codec import FORWARD_HEADER
from camphorspread.request.placement_driver import review_periodically
from camphorspread.request.route_exchange import serve_by_route
from camphorspread.request.route_forwarded import serve_forwarded

__all__ = ["SteeringNode", "start_steering_node", "stop_gracefully"]

CONNECTIONS_PER_PEER = 4000
EXPIRY_INTERVAL = timedelta(milliseconds=250)
# Fraction of the stop limit for which callers that cached this VM's address may still connect.
LISTEN_FRACTION = 0.5
# The process exits this long before the stop limit, at which it would be killed.
STOP_MARGIN = timedelta(seconds=1)
DRAIN_CHECK_INTERVAL = timedelta(milliseconds=50)

Handler = Callable[[SteeringState, Exchange], Awaitable[None]]


@attrs.define(eq=False)
class SteeringNode:
    """A running entry VM.

    Attributes:
        state: Its state.
        listeners: Its open listeners, that of callers first.
        servers: The servers behind them, in the same order.
        tasks: Its periodic tasks.
    """

    state: SteeringState
    listeners: tuple[Listener, ...]
    servers: tuple[HttpServer, ...]
    tasks: tuple[asyncio.Task, ...]

    async def stop(self) -> None:
        """Close the listeners and cancel the tasks immediately."""
        for listener in self.listeners:
            await listener.shutdown()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.state.pool.close()


async def start_steering_node(
    state: SteeringState,
    decode_table: TableDecoder,
    handle_probe: Handler,
    handle_announcement: Handler,
) -> SteeringNode:
    """Open the listeners of an entry VM and start its tasks.

    Args:
        state: Its state.
        decode_table: Decodes the text of a routing document.
        handle_probe: Reports whether the VM accepts callers.
        handle_announcement: Serves announcements, which arrive at the listener for peers.

    Raises:
        OSError: A listener can't be opened.
    """
    callers = make_server(state, lambda exchange: serve_by_route(state, exchange))
    probes = make_server(state, lambda exchange: handle_probe(state, exchange))
    peers = make_server(state, lambda exchange: serve_peer(state, exchange, handle_announcement))
    metrics = make_server(state, lambda exchange: serve_metrics(state, exchange))
    network, settings = state.network, state.settings
    listeners = (
        await network.listen(state.role.callers, callers.serve),
        await network.listen(state.role.probes, probes.serve),
        await network.listen(settings.peers, peers.serve),
        await network.listen(settings.metrics, metrics.serve),
    )
    log = state.log
    tasks = (
        start_supervised(lambda: poll_control_vms(state, decode_table), "polls", log),
        start_supervised(lambda: exchange_summaries(state), "summaries", log),
        start_supervised(lambda: renew_quotas_periodically(state), "quotas", log),
        start_supervised(lambda: review_periodically(state), "queue_review", log),
        start_supervised(lambda: watch_state(state, callers), "state_watch", log),
    )
    state.log.write(Event.PROCESS_STARTED, role="entry")
    return SteeringNode(state, listeners, (callers, probes, peers, metrics), tasks)


def make_server(state: SteeringState, handler: Callable[[Exchange], Awaitable[None]]) -> HttpServer:
    """Return the server of one listener."""

    def log_refusal(refusal: Refusal, peer: Address) -> None:
        state.log.write(Event.CONNECTION_REFUSED, kind=refusal.kind.value, peer=peer.host)

    def log_failure(exc: Exception) -> None:
        state.log.write(Event.HANDLER_FAILED, cause=repr(exc))

    limits = ConnectionLimits(connections_per_peer=CONNECTIONS_PER_PEER)
    return HttpServer(handler, limits, on_refused=log_refusal, on_failed=log_failure)


async def serve_peer(
    state: SteeringState, exchange: Exchange, handle_announcement: Handler
) -> None:
    """Serve a forwarded request, a message from another process or an announcement."""
    if find_header(exchange.head.headers, FORWARD_HEADER) is not None:
        await serve_forwarded(state, exchange)
        return
    path = exchange.head.target.decode("ascii", "replace")
    if exchange.head.method != b"POST" or not path.startswith("/v1/"):
        await handle_announcement(state, exchange)
        return
    if path == SUMMARY_PATH:
        await serve_summary(state, exchange)
        return
    value = await exchange.read_json()
    try:
        match path:
            case path if path == ANNOUNCEMENT_PATH:
                process_forwarded_announcement(state, decode_report(value))
            case path if path == LEAVE_PATH:
                known_start = process_forwarded_departure(state, decode_leave(value))
                await exchange.respond_json(200, {"started_ms": known_start})
                return
            case _:
                refusal = Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path")
                await exchange.refuse(refusal)
                return
    except ValueError as exc:
        await exchange.refuse(Refusal(ErrorKind.MALFORMED_REQUEST, str(exc)))
        return
    await exchange.respond_json(200, {})


async def serve_metrics(state: SteeringState, exchange: Exchange) -> None:
    """Serve `GET /metrics` and `GET /explain`."""
    if exchange.head.target.partition(b"?")[0] == EXPLAIN_PATH.encode():
        await serve_explanation(state, exchange)
        return
    if exchange.head.target != b"/metrics":
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    now = state.clock.monotonic()
    live_count = sum(1 for peer in state.board.peers.values() if now < peer.alive_until)
    last_responses = [
        item.last_response_at
        for item in state.controls.values()
        if item.last_response_at is not None
    ]
    age = (now - max(last_responses)).total_seconds() if last_responses else -1.0
    known_count = len(state.board.registry.instances)
    owned_count = len(list_owned_instances(state.board.registry))
    limited_count = sum(
        1 for item in state.board.registry.instances.values() if item.stated.rate_limit is not None
    )
    paused_count = sum(
        1 for item in state.board.registry.instances.values() if now < item.stated.paused_until
    )
    gauges = {
        "catalogue_version": ("Version of the catalogue in force.", state.catalogue_version),
        "routing_revision": (
            "Revision of the routes in force.",
            state.table.revision if state.table else 0,
        ),
        "control_age_seconds": ("Time since a control VM was last heard.", age),
        "instances": ("Backend servers that announce here.", owned_count),
        "lent_instances": ("Backend servers that other entry VMs lend.", known_count - owned_count),
        "departures": ("Recent departures of backend servers.", len(state.departures.by_instance)),
        "limited_instances": ("Backend servers that state a limit on requests.", limited_count),
        "paused_instances": ("Backend servers in a pause for this VM.", paused_count),
        "entry_vms": ("Other entry VMs that are alive.", live_count),
        "in_flight": ("Requests in flight.", state.in_flight),
        "held_body_bytes": (
            "Bytes of request bodies that are buffered.",
            state.held.by_kind[HeldKind.BODY],
        ),
        "held_response_bytes": (
            "Bytes of responses that are buffered.",
            state.held.by_kind[HeldKind.RESPONSE],
        ),
        "held_unsent_bytes": (
            "Bytes of responses that callers haven't taken.",
            state.held.by_kind[HeldKind.UNSENT],
        ),
        "held_bytes_bound": ("Bound on held bytes, 0 for none.", state.held.bound or 0),
    }
    text = format_steering_metrics(state.metrics, gauges)
    text += format_learned_runs(state.board.work, now)
    await exchange.respond(ResponseHead(200, ((b"content-type", METRICS_TYPE),)), text.encode())


async def watch_state(state: SteeringState, callers: HttpServer) -> None:
    """Expire backend servers, apply caller limits and report when this VM accepts callers."""
    was_accepting = False
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL.total_seconds())
        for instance in expire_instances(state.board.registry, state.clock.monotonic()):
            state.pool.close_address(instance.report.address)
            state.log.write(
                Event.INSTANCE_EXPIRED, instance=instance.name, service=instance.report.service
            )
        expire_departures(state.departures, state.clock.monotonic())
        report_pressure(state)
        if state.table is not None:
            limits = state.table.limits
            callers.limits = ConnectionLimits(
                header_bytes=limits.header_bytes,
                idle=limits.idle_time,
                head=limits.header_time,
                progress=limits.header_time,
                connections_per_peer=CONNECTIONS_PER_PEER,
            )
        if state.is_accepting != was_accepting:
            was_accepting = state.is_accepting
            await notify_control_vms(state)


def report_pressure(state: SteeringState) -> None:
    """Log that a threshold of the held bytes was passed or left since the last call."""
    pressure = take_pressure_change(state.held)
    if pressure is None:
        return
    sizes = state.held.by_kind
    state.log.write(
        Event.MEMORY_PRESSURE_CHANGED,
        pressure=pressure.value,
        bound=state.held.bound,
        refusals=state.held.refusals,
        body_bytes=sizes[HeldKind.BODY],
        response_bytes=sizes[HeldKind.RESPONSE],
        unsent_bytes=sizes[HeldKind.UNSENT],
    )


async def stop_gracefully(node: SteeringNode) -> None:
    """Shut down after SIGTERM, once every request that was read has been answered.

    Callers use open connections and cached addresses for a while, so the listener stays open for a
    part of the stop limit; each response asks the caller to close its connection. Requests that
    might still run when the process exits are refused.
    """
    state = node.state
    clock = state.clock
    started = clock.monotonic()
    limit = state.settings.bounds.stop_limit
    state.is_leaving = True
    state.exit_at = exit_at = started + limit - STOP_MARGIN
    callers = node.servers[0]
    callers.draining = True
    state.log.write(Event.DRAIN_STARTED, requests=state.in_flight)
    await asyncio.gather(notify_control_vms(state), hand_over_instances(state))
    close_at = started + limit * LISTEN_FRACTION
    is_listening = True
    while clock.monotonic() < exit_at:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL.total_seconds())
        if is_listening and clock.monotonic() >= close_at:
            is_listening = False
            await node.listeners[0].close()
        if not is_listening and not state.in_flight:
            break
    await return_quotas(state)
    drain_ms = (clock.monotonic() - started) // timedelta(milliseconds=1)
    state.log.write(Event.DRAIN_ENDED, drain_ms=drain_ms)
    await node.stop()
    state.log.write(Event.PROCESS_STOPPED, role="entry")
