"""What a control process holds while it runs."""

import asyncio
import random

import attrs

from camphorspread.connection.link import JsonLink
from camphorspread.connection.network import Network
from camphorspread.process.clock import Clock
from camphorspread.process.control_metrics import ControlMetrics
from camphorspread.process.events import EventLog
from camphorspread.process.settings import ControlSettings
from camphorspread.version.catalogue import Catalogue
from camphorspread.version.delivery import Delivery
from camphorspread.version.log_file import FileCalls
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.share_allocator import Allocator

__all__ = ["ControlState"]


@attrs.define(eq=False)
class ControlState:
    """State of a control process, used by its shells.

    Attributes:
        settings: Settings of the process.
        clock: Source of instants.
        network: Opens and accepts streams.
        log: Writes numbered events.
        rng: Source of random numbers.
        link: Messages to other processes.
        access_key: Key of operators and own processes.
        catalogue: The newest accepted catalogue.
        encoded: The catalogue last sent whole and its JSON.
        changed: Set and replaced at each accepted change.
        view: What this replica knows about the leader.
        delivery: History of changes and acknowledgements of entry VMs.
        allocator: Shares granted to entry VMs while this replica leads.
        refused_formats: Hosts and format versions of refused messages.
        metrics: Counted polls and times of syncs.
        file_calls: How files in the data folder are written and synced.
    """

    settings: ControlSettings
    clock: Clock
    network: Network
    log: EventLog
    rng: random.Random
    link: JsonLink
    access_key: bytes
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    encoded: tuple[Catalogue, bytes] | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    view: ReplicaView = attrs.field(factory=ReplicaView)
    delivery: Delivery = attrs.field(factory=Delivery)
    allocator: Allocator = attrs.field(factory=Allocator)
    refused_formats: set[tuple[str, str]] = attrs.field(factory=set)
    metrics: ControlMetrics = attrs.field(factory=ControlMetrics)
    file_calls: FileCalls = attrs.field(factory=FileCalls)
