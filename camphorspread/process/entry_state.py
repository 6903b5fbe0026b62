"""The state of an entry process."""

import asyncio
import random
from datetime import timedelta

import attrs

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Network
from camphorspread.connection.pool import ConnectionPool
from camphorspread.process.client_blocks import BlockTable, build_table, parse_block
from camphorspread.process.clock import Clock
from camphorspread.process.endpoint_health import EndpointHealthTable
from camphorspread.process.endpoints import EndpointRegistry
from camphorspread.process.events import EventLog
from camphorspread.process.fleet import FleetView, VmRecord
from camphorspread.process.ledger import ClaimResult, Ledger
from camphorspread.process.liveness import Membership
from camphorspread.process.membership import make_membership
from camphorspread.process.observer import Observer, make_observer
from camphorspread.process.offered import OfferedRates
from camphorspread.process.settings import EntrySettings
from camphorspread.process.share_demand import ShareDemand
from camphorspread.process.shift import ShiftPlan
from camphorspread.request.admission import AdmissionQueue
from camphorspread.request.lookup import CallerLocation
from camphorspread.request.once_key import HomeIdentity, OnceKey
from camphorspread.request.reachability import ConnectFailures
from camphorspread.request.region_overflow import OverflowLog
from camphorspread.request.retry import RetryBudget
from camphorspread.request.window import SlidingWindow
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.shares import HeldShares, Renewal

__all__ = ["EntryState", "make_entry_state"]

INCARNATION_BITS = 64


@attrs.define(eq=False)
class EntryState:
    """State of an entry process, shared by its shells.

    Attributes:
        settings: Settings of the process.
        clock: Source of instants.
        network: Opens and accepts streams.
        log: Writes numbered events.
        rng: Source of random numbers.
        pool: Idle connections to backend servers and other VMs.
        link: Sends messages to other processes.
        catalogue: The catalogue in force, or None before the first poll.
        membership: Heartbeats and summaries, from which `fleet` is built.
        fleet: Known entry VMs.
        observer: Decision records, metrics and spans.
        registry: Endpoints that backend servers announced here.
        incarnation: Random identifier of this start of the process.
        started: Instant of the start.
        catalogue_lease_end: Until when the catalogue is known to be the newest.
        held_shares: Shares of limits and caps that this VM holds.
        renewal: State of the requests for shares to the leader.
        is_leaving: True once a planned stop has begun.
        ledger: Once keys of this VM.
        running_keys: Future with the result of each request with a once key that runs here.
        successors: VM that took over the ledger of each incarnation that left.
        requests_in_flight: Exchanges, of callers and forwarded, that are being served.
        handed_over_slots: Slots in use by service, endpoint and former owner, from handovers.
        is_handed_over: True once a leaving VM has handed its endpoints over.
        last_named: When a lookup response last named this VM.
        slots: Measurements at the endpoints.
        share_demand: Use and refusals of each share at this VM.
        admission: Requests that wait or run at the endpoints of this VM.
        waiting: Futures of the waiting requests by ticket.
        next_ticket: Ticket of the next request.
        retry_budget: Recent requests and retries.
        blocks: Blocks of client addresses and their site numbers.
        sites: Places by site number.
        shift_plan: Shifts between regions that are under way.
        refused_formats: Hosts and format versions of refused messages.
        offered: Requests of callers of this region in the last second.
        connect_failures: Entry VMs that couldn't be connected to.
        overflow: Requests that were sent to other regions because they would have waited long.
        link_bytes_window: Body bytes that were forwarded to other regions in the last second.
    """

    settings: EntrySettings
    clock: Clock
    network: Network
    log: EventLog
    rng: random.Random
    pool: ConnectionPool
    link: JsonLink
    fleet: FleetView
    membership: Membership
    ledger: Ledger
    observer: Observer
    catalogue: Catalogue | None = None
    registry: EndpointRegistry = attrs.field(factory=EndpointRegistry)
    incarnation: str = ""
    started: timedelta = timedelta(0)
    catalogue_lease_end: timedelta = timedelta(0)
    held_shares: HeldShares = attrs.field(factory=HeldShares)
    renewal: Renewal = attrs.field(factory=Renewal)
    is_leaving: bool = False
    running_keys: dict[OnceKey, asyncio.Future[ClaimResult]] = attrs.field(factory=dict)
    successors: dict[HomeIdentity, str] = attrs.field(factory=dict)
    requests_in_flight: int = 0
    last_named: timedelta = timedelta(0)
    handed_over_slots: dict[tuple[str, str, str], int] = attrs.field(factory=dict)
    is_handed_over: bool = False
    slots: EndpointHealthTable = attrs.field(factory=EndpointHealthTable)
    share_demand: ShareDemand = attrs.field(factory=ShareDemand)
    admission: AdmissionQueue = attrs.field(init=False)
    waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    next_ticket: int = 0
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    blocks: BlockTable = attrs.field(factory=BlockTable)
    sites: list[CallerLocation] = attrs.field(factory=list)
    shift_plan: ShiftPlan = attrs.field(factory=ShiftPlan)
    refused_formats: set[tuple[str, str]] = attrs.field(factory=set)
    offered: OfferedRates = attrs.field(factory=OfferedRates)
    connect_failures: ConnectFailures = attrs.field(factory=ConnectFailures)
    overflow: OverflowLog = attrs.field(factory=OverflowLog)
    link_bytes_window: SlidingWindow = attrs.field(factory=SlidingWindow)

    def __attrs_post_init__(self) -> None:
        """Create the admission queue on the registry, measurements and demand of the process."""
        self.admission = AdmissionQueue(self.registry, self.slots, self.share_demand)

    @property
    def owner_name(self) -> str:
        """Name of this incarnation as an owner of endpoints."""
        return f"{self.settings.place.vm}/{self.incarnation}"


def make_entry_state(
    settings: EntrySettings,
    clock: Clock,
    network: Network,
    log: EventLog,
    rng: random.Random,
    access_key: bytes,
) -> EntryState:
    """Return the state of a process that has just started."""
    pool = ConnectionPool(network, clock)
    vms = {
        vm.vm: VmRecord(
            vm.vm,
            vm.availability_zone,
            vm.region,
            vm.callers,
            vm.peers,
            backend_servers=vm.backend_servers,
        )
        for vm in settings.entry_vms
    }
    fleet = FleetView(settings.place.vm, vms)
    link = JsonLink(pool, access_key)
    place, started = settings.place, clock.monotonic()
    membership = make_membership(place.vm, vms, started)
    incarnation = f"{rng.getrandbits(INCARNATION_BITS):016x}"
    home = HomeIdentity(place.availability_zone, place.vm, incarnation)
    ledger = Ledger(home, started)
    observer = make_observer(settings, clock, incarnation)
    state = EntryState(
        settings, clock, network, log, rng, pool, link, fleet, membership, ledger, observer
    )
    state.incarnation = incarnation
    state.started = started
    load_client_blocks(state)
    return state


def load_client_blocks(state: EntryState) -> None:
    """Fill the table of client blocks from the settings."""
    site_numbers: dict[CallerLocation, int] = {}
    pairs = []
    for block in state.settings.client_blocks:
        place = CallerLocation(block.availability_zone, block.region)
        site_number = site_numbers.setdefault(place, len(site_numbers))
        pairs.append((parse_block(block.block).unwrap(), site_number))
    state.blocks = build_table(pairs)
    state.sites = list(site_numbers)
