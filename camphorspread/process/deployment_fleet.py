"""A whole deployment in one process and one loop: entry VMs, control processes, backend servers."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable
from io import StringIO

import attrs

from camphorspread.connection.link import JsonLink, LinkError
from camphorspread.connection.network import Address, Listener, Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.clock import Clock
from camphorspread.process.control_node import run_control_node
from camphorspread.process.control_state import ControlState
from camphorspread.process.deployments import Deployment
from camphorspread.process.endpoints import Announcement
from camphorspread.process.entry_node import EntryNode, start_entry_node
from camphorspread.process.entry_state import make_entry_state
from camphorspread.process.events import make_event_log
from camphorspread.process.settings import (
    ClientBlockSettings,
    ControlSettings,
    EntrySettings,
    EntryVmSettings,
    ReplicaSettings,
)
from camphorspread.process.stub_backend_server import StubBackendServer, start_stub_backend_server
from camphorspread.version.changes import Change, ChangeRequest, PutRegion, PutService
from camphorspread.version.codec import encode

__all__ = ["DeploymentFleet", "FleetPlan", "run_deployment"]

ACCESS_KEY = b"local-fleet-key"
CALLERS_PORT_OFFSET, BACKENDS_PORT_OFFSET, PEERS_PORT_OFFSET, OPERATORS_PORT_OFFSET = 0, 1, 2, 3
CONTROL_PEERS_PORT_OFFSET, CONTROL_OPERATORS_PORT_OFFSET, ENDPOINT_PORT_OFFSET = 4, 5, 6
MAX_CHANGE_ATTEMPTS = 50
CHANGE_RETRY_S = 0.2


@attrs.frozen
class FleetPlan:
    """Addresses and settings of a deployment on loopback addresses.

    Attributes:
        deployment: Sizes and delays.
        base_port: First port; each VM has an address of its own.
    """

    deployment: Deployment
    base_port: int

    def vm_host(self, vm: str) -> str:
        """Return the IP address of an entry VM."""
        names = [place.vm for place in self.deployment.places]
        return f"127.0.1.{names.index(vm) + 1}"

    def backend_host(self, number: int) -> str:
        """Return the IP address of the backend server VM with this number."""
        return f"127.0.2.{number + 1}"

    def caller_host(self, region: str) -> str:
        """Return the IP address from which callers of a region come."""
        return f"127.0.{10 + self.deployment.region_names.index(region)}.1"

    def address(self, vm: str, offset: int) -> Address:
        """Return an address on an entry VM."""
        return Address(self.vm_host(vm), self.base_port + offset)

    def replicas(self) -> tuple[ReplicaSettings, ...]:
        """Return the three control processes, on one VM of each region."""
        return tuple(
            ReplicaSettings(
                f"{region}-a-1",
                self.address(f"{region}-a-1", CONTROL_PEERS_PORT_OFFSET),
                self.address(f"{region}-a-1", CONTROL_OPERATORS_PORT_OFFSET),
            )
            for region in self.deployment.region_names
        )

    def entry_vms(self) -> tuple[EntryVmSettings, ...]:
        """Return the entry VMs."""
        return tuple(
            EntryVmSettings(
                place.vm,
                place.availability_zone,
                place.region,
                self.address(place.vm, CALLERS_PORT_OFFSET),
                self.address(place.vm, PEERS_PORT_OFFSET),
                backend_servers=self.address(place.vm, BACKENDS_PORT_OFFSET),
                operators=self.address(place.vm, OPERATORS_PORT_OFFSET),
            )
            for place in self.deployment.places
        )

    def client_blocks(self) -> tuple[ClientBlockSettings, ...]:
        """Return the block of the callers of each region."""
        return tuple(
            ClientBlockSettings(f"127.0.{10 + number}.0/24", f"{region}-a", region)
            for number, region in enumerate(self.deployment.region_names)
        )

    def entry_settings(self, vm: str) -> EntrySettings:
        """Return the settings of the entry process on a VM."""
        place = next(item for item in self.deployment.places if item.vm == vm)
        return EntrySettings(
            place,
            self.address(vm, CALLERS_PORT_OFFSET),
            self.address(vm, BACKENDS_PORT_OFFSET),
            self.address(vm, PEERS_PORT_OFFSET),
            self.address(vm, OPERATORS_PORT_OFFSET),
            self.replicas(),
            self.entry_vms(),
            access_key_file="",
            data_folder="",
            client_blocks=self.client_blocks(),
        )

    def control_settings(self, vm: str) -> ControlSettings:
        """Return the settings of the control process on a VM."""
        place = next(item for item in self.deployment.places if item.vm == vm)
        return ControlSettings(
            place,
            self.address(vm, CONTROL_PEERS_PORT_OFFSET),
            self.address(vm, CONTROL_OPERATORS_PORT_OFFSET),
            self.replicas(),
            access_key_file="",
            data_folder="",
        )

    def hosts_of_zone(self, availability_zone: str) -> set[str]:
        """Return the IP addresses of all VMs of an availability zone."""
        vms = {
            self.vm_host(place.vm)
            for place in self.deployment.places
            if place.availability_zone == availability_zone
        }
        backends = {
            self.backend_host(number)
            for number, endpoint in enumerate(self.deployment.endpoints)
            if endpoint.availability_zone == availability_zone
        }
        return vms | backends


@attrs.define(eq=False)
class DeploymentFleet:
    """A running deployment, whose processes can be stopped and started one by one.

    Attributes:
        plan: Its addresses and settings.
        network_of: Returns the network as seen from a host.
        clock: Source of instants.
        rng: Source of random numbers.
        controls: Running control processes by VM.
        entries: Running entry processes by VM.
        backends: Stub backend servers by endpoint.
        logs: The log of each process.
    """

    plan: FleetPlan
    network_of: Callable[[str], Network]
    clock: Clock
    rng: random.Random
    controls: dict[str, tuple[ControlState, asyncio.Task]] = attrs.field(factory=dict)
    entries: dict[str, EntryNode] = attrs.field(factory=dict)
    backends: dict[str, StubBackendServer] = attrs.field(factory=dict)
    running: dict[str, tuple[Listener, asyncio.Task]] = attrs.field(factory=dict)
    logs: dict[str, StringIO] = attrs.field(factory=dict)
    change_number: int = 0

    def start_control(self, vm: str) -> None:
        """Start the control process of a VM."""
        settings = self.plan.control_settings(vm)
        network = self.network_of(settings.peers.host)
        log = make_event_log(vm, self.clock, self.logs.setdefault(f"control-{vm}", StringIO()))
        link = JsonLink(ConnectionPool(network, self.clock), ACCESS_KEY)
        state = ControlState(settings, self.clock, network, log, self.rng, link, ACCESS_KEY)
        self.controls[vm] = (state, asyncio.create_task(run_control_node(state)))

    async def start_entry(self, vm: str) -> None:
        """Start the entry process of a VM."""
        settings = self.plan.entry_settings(vm)
        network = self.network_of(settings.callers.host)
        log = make_event_log(vm, self.clock, self.logs.setdefault(vm, StringIO()))
        state = make_entry_state(settings, self.clock, network, log, self.rng, ACCESS_KEY)
        self.entries[vm] = await start_entry_node(state)

    async def start_backend(self, number: int) -> None:
        """Start the backend server with this number."""
        endpoint = self.plan.deployment.endpoints[number]
        host = self.plan.backend_host(number)
        announcement = Announcement(
            endpoint.service,
            endpoint.endpoint,
            endpoint.availability_zone,
            Address(host, self.plan.base_port + ENDPOINT_PORT_OFFSET),
            endpoint.slots,
        )
        first = next(
            place.vm
            for place in self.plan.deployment.places
            if place.availability_zone == endpoint.availability_zone
        )
        network = self.network_of(host)
        link = JsonLink(ConnectionPool(network, self.clock))
        backend = StubBackendServer(
            announcement, self.plan.address(first, BACKENDS_PORT_OFFSET), link
        )
        self.running[endpoint.endpoint] = await start_stub_backend_server(network, backend)
        self.backends[endpoint.endpoint] = backend

    async def stop_entry(self, vm: str) -> None:
        """Stop the entry process of a VM immediately."""
        await self.entries.pop(vm).stop()

    async def stop_control(self, vm: str) -> None:
        """Stop the control process of a VM immediately."""
        _, task = self.controls.pop(vm)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def change(self, change: Change, expected_version: int = 0) -> int:
        """Send a change as an operator, and repeat it with its identifier until it has an outcome.

        Returns:
            The catalogue version of the accepted change.

        Raises:
            RuntimeError: The change was refused, or no control process accepts changes.
        """
        self.change_number += 1
        request = ChangeRequest(f"c{self.change_number}", expected_version, "operator", change)
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            replica = self.plan.replicas()[attempt % len(self.plan.replicas())]
            network = self.network_of(self.plan.caller_host(self.plan.deployment.region_names[0]))
            link = JsonLink(ConnectionPool(network, self.clock), ACCESS_KEY)
            with contextlib.suppress(LinkError):
                response = await link.call(
                    replica.operators, "POST", "/v1/catalogue/changes", encode(request)
                )
                if response.status == 200:
                    return response.value["version"]
                if response.status == 409:
                    raise RuntimeError(response.value["message"])
            await asyncio.sleep(CHANGE_RETRY_S)
        raise RuntimeError("no control process accepts changes")

    async def add_catalogue(self, owner: str) -> None:
        """Add the entries of all regions and services of the deployment."""
        for entry in self.plan.deployment.region_entries(owner):
            await self.change(PutRegion(entry))
        for plan in self.plan.deployment.services:
            await self.change(PutService(plan.entry))

    async def stop(self) -> None:
        """Stop everything immediately."""
        for vm in list(self.entries):
            await self.stop_entry(vm)
        for listener, task in self.running.values():
            await listener.shutdown()
            task.cancel()
        tasks = [task for _, task in self.running.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        for vm in list(self.controls):
            await self.stop_control(vm)


@contextlib.asynccontextmanager
async def run_deployment(
    deployment: Deployment,
    network_of: Callable[[str], Network],
    clock: Clock,
    base_port: int,
    seed: int = 1,
) -> AsyncIterator[DeploymentFleet]:
    """Run a whole deployment while the context is open.

    Args:
        deployment: Sizes and delays.
        network_of: Returns the network as seen from the host with this IP address.
        clock: Source of instants.
        base_port: First port.
        seed: Seed of its random numbers.
    """
    plan = FleetPlan(deployment, base_port)
    fleet = DeploymentFleet(plan, network_of, clock, random.Random(seed))
    try:
        for replica in plan.replicas():
            fleet.start_control(replica.vm)
        for place in deployment.places:
            await fleet.start_entry(place.vm)
        for number in range(len(deployment.endpoints)):
            await fleet.start_backend(number)
        yield fleet
    finally:
        await fleet.stop()
