"""A small fleet in one process and one loop, on loopback, with stub backend servers."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from io import StringIO

import attrs

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Address, Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import Clock
from camphorspread.process.control_node import run_control_node
from camphorspread.process.control_state import ControlState
from camphorspread.process.endpoints import Announcement
from camphorspread.process.entry_node import EntryNode, start_entry_node
from camphorspread.process.entry_state import make_entry_state
from camphorspread.process.events import make_event_log
from camphorspread.process.settings import (
    ControlSettings,
    EntrySettings,
    EntryVmSettings,
    PlaceSettings,
    ReplicaSettings,
)
from camphorspread.process.stub_backend_server import StubBackendServer, start_stub_backend_server

__all__ = ["LocalFleet", "VmPlan", "run_fleet"]

ACCESS_KEY = b"local-fleet-key"
PLACES = (
    PlaceSettings("sofia-a-1", "sofia-a", "sofia"),
    PlaceSettings("sofia-b-1", "sofia-b", "sofia"),
    PlaceSettings("plovdiv-a-1", "plovdiv-a", "plovdiv"),
)
SERVICES = (("status-svc", 6), ("filing-svc", 5))
CALLERS_PORT_OFFSET, BACKENDS_PORT_OFFSET, PEERS_PORT_OFFSET, OPERATORS_PORT_OFFSET = 0, 1, 2, 3
CONTROL_PEERS_PORT_OFFSET, CONTROL_OPERATORS_PORT_OFFSET, BACKEND_PORT_OFFSET = 4, 5, 10


@attrs.frozen
class VmPlan:
    """Addresses of the VMs of a local fleet.

    Attributes:
        base_port: First port; each VM has an address of its own on loopback.
    """

    base_port: int

    def address(self, number: int, offset: int) -> Address:
        """Return an address of VM `number`, counted from 0."""
        return Address(f"127.0.0.{number + 2}", self.base_port + offset)

    def replicas(self) -> tuple[ReplicaSettings, ...]:
        """Return the one control process, on the first VM."""
        return (
            ReplicaSettings(
                PLACES[0].vm,
                self.address(0, CONTROL_PEERS_PORT_OFFSET),
                self.address(0, CONTROL_OPERATORS_PORT_OFFSET),
            ),
        )

    def entry_vms(self) -> tuple[EntryVmSettings, ...]:
        """Return the entry VMs."""
        return tuple(
            EntryVmSettings(
                place.vm,
                place.availability_zone,
                place.region,
                self.address(number, CALLERS_PORT_OFFSET),
                self.address(number, PEERS_PORT_OFFSET),
                self.address(number, BACKENDS_PORT_OFFSET),
                operators=self.address(number, OPERATORS_PORT_OFFSET),
            )
            for number, place in enumerate(PLACES)
        )

    def entry_settings(self, number: int) -> EntrySettings:
        """Return the settings of the entry process on VM `number`."""
        return EntrySettings(
            PLACES[number],
            self.address(number, CALLERS_PORT_OFFSET),
            self.address(number, BACKENDS_PORT_OFFSET),
            self.address(number, PEERS_PORT_OFFSET),
            self.address(number, OPERATORS_PORT_OFFSET),
            self.replicas(),
            self.entry_vms(),
            access_key_file="",
            data_folder="",
        )

    def control_settings(self) -> ControlSettings:
        """Return the settings of the control process."""
        return ControlSettings(
            PLACES[0],
            self.address(0, CONTROL_PEERS_PORT_OFFSET),
            self.address(0, CONTROL_OPERATORS_PORT_OFFSET),
            self.replicas(),
            access_key_file="",
            data_folder="",
        )


@attrs.define(eq=False)
class LocalFleet:
    """A running local fleet.

    Attributes:
        plan: Its addresses.
        link: Sends messages to its processes.
        control: The control process.
        entries: The entry processes.
        backends: The stub backend servers.
        logs: The log of each VM.
    """

    plan: VmPlan
    link: JsonLink
    control: ControlState
    entries: list[EntryNode] = attrs.field(factory=list)
    backends: list[StubBackendServer] = attrs.field(factory=list)
    logs: dict[str, StringIO] = attrs.field(factory=dict)


@contextlib.asynccontextmanager
async def run_fleet(
    network_of: Callable[[str], Network], clock: Clock, base_port: int, seed: int = 1
) -> AsyncIterator[LocalFleet]:
    """Run a local fleet while the context is open.

    Args:
        network_of: Returns the network as seen from the VM with this IP address.
        clock: Source of instants.
        base_port: First port.
        seed: Seed of its random numbers.
    """
    plan = VmPlan(base_port)
    rng = random.Random(seed)
    network = network_of(plan.address(0, 0).host)
    link = JsonLink(ConnectionPool(network, clock), ACCESS_KEY)
    control_log = StringIO()
    control = ControlState(
        plan.control_settings(),
        clock,
        network,
        make_event_log("control-1", clock, control_log),
        rng,
        link,
        ACCESS_KEY,
    )
    fleet = LocalFleet(plan, link, control, logs={"control-1": control_log})
    async with contextlib.AsyncExitStack() as stack:
        await enter_task(stack, asyncio.create_task(run_control_node(control)))
        for number, place in enumerate(PLACES):
            output = fleet.logs[place.vm] = StringIO()
            log = make_event_log(place.vm, clock, output)
            settings = plan.entry_settings(number)
            network = network_of(settings.callers.host)
            state = make_entry_state(settings, clock, network, log, rng, ACCESS_KEY)
            node = await start_entry_node(state)
            stack.push_async_callback(node.stop)
            fleet.entries.append(node)
            await start_backends(stack, fleet, network, number)
        yield fleet


async def start_backends(
    stack: contextlib.AsyncExitStack, fleet: LocalFleet, network: Network, number: int
) -> None:
    """Start two backend servers for each service at the address of VM `number`."""
    for service_number, (service, slots) in enumerate(SERVICES):
        for index in range(2):
            offset = BACKEND_PORT_OFFSET + 2 * service_number + index
            announcement = Announcement(
                service,
                f"{PLACES[number].availability_zone}-{service}-{index + 1}",
                PLACES[number].availability_zone,
                fleet.plan.address(number, offset),
                slots,
            )
            owner = fleet.plan.address(number, BACKENDS_PORT_OFFSET)
            link = JsonLink(ConnectionPool(network, fleet.control.clock))
            backend = StubBackendServer(announcement, owner, link)
            listener, task = await start_stub_backend_server(network, backend)
            stack.push_async_callback(listener.shutdown)
            await enter_task(stack, task)
            fleet.backends.append(backend)


async def enter_task(stack: contextlib.AsyncExitStack, task: asyncio.Task) -> None:
    """Cancel a task and wait for its end when the stack closes."""

    async def cancel_task() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    stack.push_async_callback(cancel_task)
