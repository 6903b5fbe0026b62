"""A control VM of a fleet that steers by routes: its replica, listeners and tasks."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import attrs

from camphorspread.connection.exchange import Exchange
from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.link import JsonLink
from camphorspread.connection.messages import ResponseHead
from camphorspread.connection.network import Address, Listener, Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.connection.server import HttpServer
from camphorspread.process.announcement_messages import RECORD_PATH
from camphorspread.process.catalogue_listener import serve_catalogue
from camphorspread.process.catalogue_transfer import CATALOGUE_PATH
from camphorspread.process.clock import Clock
from camphorspread.process.control_departures import (
    CONFIRM_PATH,
    serve_confirmation,
    serve_departures,
)
from camphorspread.process.control_metrics import format_control_metrics
from camphorspread.process.control_node import handle_peer
from camphorspread.process.control_state import ControlState
from camphorspread.process.events import Event, EventLog
from camphorspread.process.group_shell import JOIN_PATH, GroupShell, run_upkeep, serve_join
from camphorspread.process.metrics import METRICS_TYPE
from camphorspread.process.quota_allocator import QuotaAllocator
from camphorspread.process.quota_codec import QUOTA_PATH
from camphorspread.process.quota_listener import serve_quota
from camphorspread.process.replica_start import start_replica
from camphorspread.process.settings import ControlSettings, ReplicaSettings
from camphorspread.process.steering_control import SteeringControl, watch_vms
from camphorspread.process.steering_settings import (
    CONNECT_TIMEOUT,
    ControlVmSettings,
    SteeringSettings,
)
from camphorspread.process.supervision import start_supervised
from camphorspread.process.update_store import TableDecoder, UpdateStore
from camphorspread.process.vm_poll_listener import serve_vm_poll
from camphorspread.request.errors import ErrorKind, Refusal
from camphorspread.version.log_file import FileOperations, LogCorruptedError
from camphorspread.version.quota_total import QuotaRules
from camphorspread.version.replica_storage import discard_folder, read_founders, store_founders

__all__ = ["ControlNode", "start_control_vm"]

# Behind network address translation, many endpoints and clients share one address.
CONNECTIONS_PER_PEER = 2000
# The replica is started again this long after a disk was full or failed.
STORAGE_RETRY = timedelta(seconds=1)
# A routing document may have thousands of routes.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

Handler = Callable[[SteeringControl, Exchange], Awaitable[None]]


@attrs.define(eq=False)
class ControlNode:
    """A running control VM.

    Attributes:
        steering: Its state.
        listeners: Its open listeners.
        tasks: Its periodic tasks.
        servers: The servers behind the listeners.
    """

    steering: SteeringControl
    listeners: tuple[Listener, ...]
    tasks: tuple[asyncio.Task, ...]
    servers: tuple[HttpServer, ...]

    async def stop(self) -> None:
        """Cancel the tasks, and close the listeners and the data folder."""
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners:
            await listener.shutdown()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.steering.shell.stop()


async def start_control_vm(
    settings: SteeringSettings,
    role: ControlVmSettings,
    clock: Clock,
    network: Network,
    log: EventLog,
    rng: random.Random,
    handle_operator: Handler,
    handle_lookup: Handler,
    file_calls: FileOperations | None = None,
    started: timedelta | None = None,
    *,
    decode_table: TableDecoder,
) -> ControlNode:
    """Start the replica and open the listeners.

    Args:
        settings: Settings of the process.
        role: Settings that only control VMs have.
        clock: Source of instants.
        network: Opens and accepts streams.
        log: Writes numbered events.
        rng: Source of random numbers.
        handle_operator: Serves operators and announcements.
        handle_lookup: Serves callers that ask which entry VMs to use.
        file_calls: How files are written and synced.
        started: When the process started; now if None.
        decode_table: Decodes the text of a routing document.

    Raises:
        OSError: A listener can't be opened, or the data folder can't be used.
    """
    calls = file_calls or FileOperations()
    try:
        control = make_control_state(settings, role, clock, network, log, rng, calls)
        shell = start_replica(control, settings.bounds.lost_disks + 1, started)
    except LogCorruptedError as exc:
        log.write(Event.STORAGE_FAILED, cause=str(exc))
        discard_folder(Path(role.data_folder), calls)
        control = make_control_state(settings, role, clock, network, log, rng, calls)
        shell = start_replica(control, settings.bounds.lost_disks + 1)
    bounds = settings.bounds
    rules = QuotaRules(bounds.quota_window, bounds.quota_overage, bounds.quota_tolerance)
    steering = SteeringControl(
        settings,
        control,
        shell,
        clock.monotonic(),
        QuotaAllocator(rules),
        UpdateStore(decode_table),
    )
    seeds = tuple(Address(item.host, settings.control_peer_port) for item in settings.seeds)
    group = GroupShell(control, shell, seeds)
    peers = make_server(steering, lambda exchange: serve_peer(steering, group, exchange))
    operators = make_server(steering, lambda exchange: handle_operator(steering, exchange))
    lookups = make_server(steering, lambda exchange: handle_lookup(steering, exchange))
    metrics = make_server(steering, lambda exchange: serve_metrics(steering, exchange))
    listeners = [
        await network.listen(settings.peers, peers.serve),
        await network.listen(role.operators, operators.serve),
        await network.listen(settings.metrics, metrics.serve),
    ]
    if role.lookups is not None:
        listeners.append(await network.listen(role.lookups, lookups.serve))
    tasks = (
        start_supervised(lambda: watch_vms(steering), "vm_watch", log),
        start_supervised(lambda: run_upkeep(group), "group_upkeep", log),
        start_supervised(lambda: restore_storage(steering, group), "storage_restore", log),
    )
    log.write(Event.PROCESS_STARTED, role="control")
    servers = (peers, operators, lookups, metrics)
    return ControlNode(steering, tuple(listeners), tasks, servers)


async def restore_storage(steering: SteeringControl, group: GroupShell) -> None:
    """Restart the replica after a storage failure, once the disk works again.

    Until then it keeps serving what needs no disk.
    """
    while True:
        await asyncio.sleep(STORAGE_RETRY.total_seconds())
        if not steering.shell.state.storage_fault:
            continue
        await steering.shell.stop()
        try:
            shell = start_replica(steering.control, steering.settings.bounds.lost_disks + 1)
        except (OSError, LogCorruptedError) as exc:
            steering.control.log.write(Event.STORAGE_FAILED, cause=str(exc))
            continue
        steering.shell = group.shell = shell
        steering.control.log.write(Event.STORAGE_REGAINED)


def make_control_state(
    settings: SteeringSettings,
    role: ControlVmSettings,
    clock: Clock,
    network: Network,
    log: EventLog,
    rng: random.Random,
    calls: FileOperations,
) -> ControlState:
    """Return the state that the shells of the replica share."""
    own_host = settings.peers.host
    replica_settings = ControlSettings(
        attrs.evolve(settings.place, vm=own_host),
        settings.peers,
        role.operators,
        find_founders(settings, role, calls),
        "",
        role.data_folder,
    )
    link = JsonLink(ConnectionPool(network, clock, connect_limit=CONNECT_TIMEOUT))
    return ControlState(replica_settings, clock, network, log, rng, link, b"", file_calls=calls)


def find_founders(
    settings: SteeringSettings, role: ControlVmSettings, calls: FileOperations
) -> tuple[ReplicaSettings, ...]:
    """Return the replicas that form the group at the first start of the fleet.

    They are stored in the data folder, since the settings of a process that restarts before the
    group has formed no longer say that this is the first start. A replica whose folder was lost
    finds none there and joins the existing group.
    """
    folder = Path(role.data_folder)
    if role.is_first_start:
        hosts = sorted({seed.host for seed in settings.seeds})
        store_founders(folder, hosts, calls)
    operators_port = role.operators.port
    return tuple(
        ReplicaSettings(
            host, Address(host, settings.control_peer_port), Address(host, operators_port)
        )
        for host in read_founders(folder)
    )


def make_server(
    steering: SteeringControl, handler: Callable[[Exchange], Awaitable[None]]
) -> HttpServer:
    """Return the server of one listener."""
    log = steering.control.log

    def log_refusal(refusal: Refusal, peer: Address) -> None:
        log.write(Event.CONNECTION_REFUSED, kind=refusal.kind.value, peer=peer.host)

    def log_failure(exc: Exception) -> None:
        log.write(Event.HANDLER_FAILED, cause=repr(exc))

    limits = ConnectionLimits(
        connections_per_peer=CONNECTIONS_PER_PEER, json_body_bytes=MAX_MESSAGE_BYTES
    )
    return HttpServer(handler, limits, on_refused=log_refusal, on_failed=log_failure)


async def serve_peer(
    steering: SteeringControl,
    group: GroupShell,
    exchange: Exchange,
) -> None:
    """Serve a message from another process of the fleet."""
    match exchange.head.method, exchange.head.target.decode("ascii", "replace"):
        case b"POST", "/v1/vm/poll":
            await serve_vm_poll(steering, exchange)
        case b"POST", path if path == CATALOGUE_PATH:
            await serve_catalogue(steering, exchange)
        case b"POST", path if path == QUOTA_PATH:
            await serve_quota(steering, exchange)
        case b"POST", path if path == RECORD_PATH:
            await serve_departures(steering, exchange)
        case b"POST", path if path == CONFIRM_PATH:
            await serve_confirmation(steering, exchange)
        case b"POST", path if path == JOIN_PATH:
            await serve_join(group, exchange)
        case _:
            await handle_peer(steering.control, steering.shell, exchange)


async def serve_metrics(steering: SteeringControl, exchange: Exchange) -> None:
    """Serve `GET /metrics`."""
    if exchange.head.target != b"/metrics":
        await exchange.refuse(Refusal(ErrorKind.NOT_FOUND, "there is nothing at this path"))
        return
    control = steering.control
    text = format_control_metrics(
        control.metrics,
        steering.shell.state,
        control.delivery,
        steering.shell.storage.log_bytes,
        control.clock.monotonic(),
    )
    await exchange.respond(ResponseHead(200, ((b"content-type", METRICS_TYPE),)), text.encode())
