"""The state of an entry VM that steers by routes."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Address, Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.catalogue_transfer import Transfer
from camphorspread.process.clock import Clock
from camphorspread.process.departures import DepartureLog
from camphorspread.process.events import EventLog
from camphorspread.process.held_memory import HeldMemory, Urgency, find_bound
from camphorspread.process.instances import InstanceRegistry
from camphorspread.process.loans import LentList
from camphorspread.process.quota_contact import QuotaContact
from camphorspread.process.reported_load import RegionLoads
from camphorspread.process.steering_metrics import SteeringMetrics
from camphorspread.process.steering_settings import (
    CONNECT_TIMEOUT,
    EntryVmSettings,
    SteeringSettings,
)
from camphorspread.request.dialect import Dialect
from camphorspread.request.fleet_retry_budget import FleetRetryBudget
from camphorspread.request.placement_board import PlacementBoard
from camphorspread.request.placement_queue import PlacementQueue
from camphorspread.request.quota import QuotaBook
from camphorspread.request.region_shift import RegionShares
from camphorspread.request.splitting import Splitter
from camphorspread.request.window import SlidingWindow
from camphorspread.version.quota_total import QuotaRules
from camphorspread.version.routing import RouteTable

__all__ = ["RATE_WINDOW", "ControlVm", "SteeringState", "make_steering_state"]

# Shorter than the idle timeout of backend servers, which is some seconds, so that no request is
# sent on a connection that the other end is about to close.
IDLE_TIMEOUT = timedelta(seconds=3)
IDLE_PER_ADDRESS = 32
# Window of the request rate that is reported to control VMs, about as long as callers cache a
# lookup response.
RATE_WINDOW = timedelta(seconds=3)
RATE_BUCKETS = 12


@attrs.define(eq=False)
class ControlVm:
    """A control VM, as an entry VM sees it.

    Attributes:
        peers: Where it listens for other processes of the fleet.
        last_response_at: When it last responded; None before the first time.
        fleet_list_version: Version of the list of entry VMs that it sent last.
        listed_vms: Entry VMs in that list.
        departure_version: Version of its recorded departures that this VM has.
        departures_sent: Revision up to which it has this VM's departures; None if it may lack all.
        round_trip: Measured time of a message and its response; None before the first one.
        catalogue_version: Catalogue version that it stated last.
        avoided_until: Until when it isn't asked for the catalogue, after a failure.
    """

    peers: Address
    last_response_at: timedelta | None = None
    fleet_list_version: str = ""
    listed_vms: frozenset[str] = frozenset()
    departure_version: str = ""
    departures_sent: int | None = None
    round_trip: timedelta | None = None
    catalogue_version: int = 0
    avoided_until: timedelta = timedelta(0)


@attrs.define(eq=False)
class SteeringState:
    """State of an entry VM.

    Attributes:
        settings: Settings of the process.
        role: Settings that only entry VMs have.
        clock: Source of instants.
        network: Opens and accepts streams.
        log: Writes numbered events.
        rng: Source of random numbers.
        dialect: Format of callers' requests and of backend servers' responses.
        incarnation: Random number of this process.
        link: Sends messages to other processes of the fleet.
        peer_pool: Connections to other entry VMs for forwarded requests.
        pool: Connections to backend servers.
        board: State of servers and VMs on which placement depends.
        quotas: This VM's shares of the limits of organisations.
        quota_contact: State of the renewals of these shares.
        departures: Recent departures of backend servers.
        lent_instances: Backend servers that the other VMs of the region may use.
        region_loads: Load of the servers of the region, as reported to other regions.
        waiting: Requests that wait for a placement.
        retry_budget: This VM's part of the fleet's retry budget.
        splitter: Division of routes among their services.
        catalogue_version: Version of the catalogue in force, 0 before the first one.
        announced_version: Newest catalogue version that a control VM has announced.
        announced_at: Since when a version is known that is newer than the one in force.
        announced: Event that is set, and replaced by a new one, when a control VM states a newer
            version than the one in force.
        in_force: Event that is set, and replaced by a new one, when a newer version is in force.
        confirmation_due: Event that is set when polls don't tell control VMs which version is in
            force.
        document: Identity of the document of the routes in force, empty if it isn't known.
        transfer: The update that is arriving.
        failed_parts: Failed requests for its parts since the last one that arrived.
        confirmed_at: When a control VM that knows the newest catalogue last responded; None before
            that.
        table: Routes in force; None before the first catalogue with routes.
        controls: Control VMs by their address for other processes of the fleet.
        first_listed_at: When a control VM first sent a list of entry VMs; None before that.
        last_report_at: When a control VM last responded to a poll; None before that.
        held_vms: Entry VMs that still count as alive while no control VM responds.
        waiting_futures: Future of each waiting request, by ticket.
        waiting_checks: Returns whether a waiting request may still run, by ticket.
        has_waiting: Set while a request waits.
        next_ticket: Ticket of the next request.
        held: Bytes held for callers and servers.
        paused_readers: Futures of the requests whose bodies are read on once memory is released,
            by urgency and number, oldest first.
        next_reader: Number of the next one.
        arrivals: Callers' requests in the window of the request rate.
        in_flight: Callers' requests in flight.
        is_leaving: True after SIGTERM.
        exit_at: When the process exits at the latest; None before SIGTERM.
        metrics: Counters and histograms.
    """

    settings: SteeringSettings
    role: EntryVmSettings
    clock: Clock
    network: Network
    log: EventLog
    rng: random.Random
    dialect: Dialect
    incarnation: int
    link: JsonLink
    peer_pool: ConnectionPool
    pool: ConnectionPool
    board: PlacementBoard
    retry_budget: FleetRetryBudget
    quotas: QuotaBook
    quota_contact: QuotaContact
    departures: DepartureLog = attrs.field(factory=DepartureLog)
    lent_instances: LentList = attrs.field(factory=LentList)
    region_loads: RegionLoads = attrs.field(factory=RegionLoads)
    waiting: PlacementQueue = attrs.field(factory=PlacementQueue)
    splitter: Splitter = attrs.field(factory=Splitter)
    catalogue_version: int = 0
    announced_version: int = 0
    announced_at: timedelta = timedelta(0)
    announced: asyncio.Event = attrs.field(factory=asyncio.Event)
    in_force: asyncio.Event = attrs.field(factory=asyncio.Event)
    confirmation_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    document: str = ""
    transfer: Transfer | None = None
    failed_parts: int = 0
    confirmed_at: timedelta | None = None
    table: RouteTable | None = None
    controls: dict[Address, ControlVm] = attrs.field(factory=dict)
    first_listed_at: timedelta | None = None
    last_report_at: timedelta | None = None
    held_vms: frozenset[str] = frozenset()
    waiting_futures: dict[int, asyncio.Future] = attrs.field(factory=dict)
    waiting_checks: dict[int, Callable[[], bool]] = attrs.field(factory=dict)
    has_waiting: asyncio.Event = attrs.field(factory=asyncio.Event)
    next_ticket: int = 0
    held: HeldMemory = attrs.field(factory=HeldMemory)
    paused_readers: dict[Urgency, dict[int, asyncio.Future]] = attrs.field(factory=dict)
    next_reader: int = 0
    arrivals: SlidingWindow = attrs.field(
        factory=lambda: SlidingWindow(RATE_WINDOW / RATE_BUCKETS, RATE_BUCKETS)
    )
    in_flight: int = 0
    is_leaving: bool = False
    exit_at: timedelta | None = None
    metrics: SteeringMetrics = attrs.field(factory=SteeringMetrics)

    @property
    def is_accepting(self) -> bool:
        """True if this VM accepts callers."""
        return not self.is_leaving and self.table is not None and self.can_place

    @property
    def can_place(self) -> bool:
        """True if this VM knows a backend server, its own or another VM's."""
        return bool(self.board.registry.instances) or any(
            peer.loads for peer in self.board.peers.values()
        )

    def announce(self, version: int, now: timedelta) -> None:
        """Record that a control VM has stated a catalogue version."""
        if version > self.announced_version:
            if self.announced_version <= self.catalogue_version:
                self.announced_at = now
            self.announced_version = version
        if version > self.catalogue_version:
            self.announced.set()
            self.announced = asyncio.Event()

    def wake_polls(self) -> None:
        """Wake the polls that wait for a newer catalogue version to be in force."""
        self.in_force.set()
        self.in_force = asyncio.Event()

    def can_end_before_exit(self, deadline: timedelta) -> bool:
        """Return True if a request with this deadline ends before the process exits."""
        return self.exit_at is None or deadline <= self.exit_at


def make_steering_state(
    settings: SteeringSettings,
    clock: Clock,
    network: Network,
    log: EventLog,
    rng: random.Random,
    dialect: Dialect,
) -> SteeringState:
    """Return the state of an entry VM at the start of its process."""
    bounds = settings.bounds
    place = settings.place
    board = PlacementBoard(
        place.vm,
        place.availability_zone,
        place.region,
        InstanceRegistry(bounds.announcement_lease),
        regions=settings.regions,
        scarce_services=settings.role.scarce_services,
        region_shares=RegionShares(bounds.region_shift_limit),
    )

    def make_pool() -> ConnectionPool:
        return ConnectionPool(
            network,
            clock,
            idle_per_address=IDLE_PER_ADDRESS,
            idle_limit=IDLE_TIMEOUT,
            connect_limit=CONNECT_TIMEOUT,
        )

    return SteeringState(
        settings,
        settings.role,
        clock,
        network,
        log,
        rng,
        dialect,
        rng.getrandbits(32),
        JsonLink(make_pool()),
        make_pool(),
        make_pool(),
        board,
        FleetRetryBudget(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack),
        QuotaBook(QuotaRules(bounds.quota_window, bounds.quota_overage, bounds.quota_tolerance)),
        QuotaContact(clock.monotonic()),
        held=HeldMemory(find_bound(settings.role.memory_bytes)),
    )
