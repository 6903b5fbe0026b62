"""State of a control process."""

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
from camphorspread.version.log_file import FileOperations
from camphorspread.version.replica_view import ReplicaView
from camphorspread.version.share_allocator import Allocator

__all__ = ["ControlState"]


@attrs.define(eq=False)
class ControlState:
    """State of a control process, shared by its shells and handlers.

    Attributes:
        settings: Settings of the process.
        clock: Source of time.
        network: Opens and accepts connections.
        log: Event log.
        rng: Source of random numbers.
        link: Sends messages to other processes.
        access_key: Access key of operators and the project's own processes.
        catalogue: The newest accepted catalogue.
        encoded_catalogue: Cached JSON of the catalogue, with the catalogue from which it was
            encoded.
        poll_changed: Event that is set, and replaced by a new one, at each change that waiting
            polls report, such as an accepted change of the catalogue.
        view: Leadership as this replica sees it.
        delivery: History of changes and acknowledgements of entry VMs.
        allocator: Allocation of shares to entry VMs while this replica leads.
        refused_formats: Hosts and format versions of refused messages, to log each pair once.
        metrics: Counters and histogram.
        file_calls: System calls that write and sync files in the data folder.
    """

    settings: ControlSettings
    clock: Clock
    network: Network
    log: EventLog
    rng: random.Random
    link: JsonLink
    access_key: bytes
    catalogue: Catalogue = attrs.field(factory=Catalogue)
    encoded_catalogue: tuple[Catalogue, bytes] | None = None
    poll_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    view: ReplicaView = attrs.field(factory=ReplicaView)
    delivery: Delivery = attrs.field(factory=Delivery)
    allocator: Allocator = attrs.field(factory=Allocator)
    refused_formats: set[tuple[str, str]] = attrs.field(factory=set)
    metrics: ControlMetrics = attrs.field(factory=ControlMetrics)
    file_calls: FileOperations = attrs.field(factory=FileOperations)

    def wake_polls(self) -> None:
        """Wake the waiting polls, which look for changes that their senders don't have."""
        self.poll_changed.set()
        self.poll_changed = asyncio.Event()
