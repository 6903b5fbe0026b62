"""Settings of one process, read from a JSON file."""

import json
from datetime import timedelta
from pathlib import Path

import attrs
from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from camphorspread.connection.limits import ConnectionLimits
from camphorspread.connection.network import Address
from camphorspread.process.schema import Fault, find_faults, shorten_value

__all__ = [
    "ClientBlockSettings",
    "ControlSettings",
    "EntrySettings",
    "EntryVmSettings",
    "FleetSettings",
    "FleetVmSettings",
    "LimitSettings",
    "PlaceSettings",
    "PriceSettings",
    "ReplicaSettings",
    "Settings",
    "read_fleet",
    "read_settings",
]


@attrs.frozen
class PlaceSettings:
    """Where the VM is.

    Attributes:
        vm: Name of the VM, unique in the fleet.
        availability_zone: Its availability zone.
        region: Its region.
    """

    vm: str
    availability_zone: str
    region: str


@attrs.frozen
class ReplicaSettings:
    """Where a control process listens.

    Attributes:
        vm: Name of the VM.
        peers: For other processes of the fleet.
        operators: For operators' commands.
    """

    vm: str
    peers: Address
    operators: Address


@attrs.frozen
class EntryVmSettings:
    """An entry VM of the fleet, as known from the settings.

    Attributes:
        vm: Name of the VM.
        availability_zone: Its availability zone.
        region: Its region.
        callers: Where it listens for callers.
        peers: Where it listens for other processes of the fleet.
        backend_servers: Where it listens for backend servers, needed to name it as an owner.
        operators: Where it listens for operators; commands skip the VM if it is missing.
    """

    vm: str
    availability_zone: str
    region: str
    callers: Address
    peers: Address
    backend_servers: Address | None = None
    operators: Address | None = None


@attrs.frozen
class ClientBlockSettings:
    """A block of client addresses and the availability zone nearest to it."""

    block: str
    availability_zone: str
    region: str


@attrs.frozen
class LimitSettings:
    """Limits of each connection to a listener.

    Attributes:
        header_bytes: Size of a request head.
        connections_per_peer: Open connections from one IP address.
        idle_ms: Longest wait for the next request, in milliseconds.
        progress_ms: Longest wait for the next bytes of a request, in milliseconds.
    """

    header_bytes: int = 16384
    connections_per_peer: int = 512
    idle_ms: int = 30000
    progress_ms: int = 10000

    def connection_limits(self) -> ConnectionLimits:
        """Return the limits as `ConnectionLimits`."""
        return ConnectionLimits(
            header_bytes=self.header_bytes,
            idle=timedelta(milliseconds=self.idle_ms),
            progress=timedelta(milliseconds=self.progress_ms),
            connections_per_peer=self.connections_per_peer,
        )


@attrs.frozen
class PriceSettings:
    """Prices for the accounting report.

    Attributes:
        currency: Name of the currency.
        per_vm_hour: Price of one hour of an entry VM.
        per_gb: Price of 10^9 bytes sent between VMs.
    """

    currency: str
    per_vm_hour: float
    per_gb: float


@attrs.frozen
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        place: Where the VM is.
        callers: Listener for callers.
        backend_servers: Listener for backend servers.
        peers: Listener for other processes of the fleet.
        operators: Listener for operators.
        replicas: All control processes.
        entry_vms: All entry VMs, this one included.
        access_key_file: File with the key of operators and of the processes of the fleet.
        data_folder: Folder for all files of the process.
        client_blocks: Blocks of client addresses.
        limits: Limits of each connection to a listener.
        trace_sampling: Fraction of requests without `traceparent` that are traced, 0 to 1.
        prices: Prices for the report; without them it gives VM-hours and GB.
    """

    place: PlaceSettings
    callers: Address
    backend_servers: Address
    peers: Address
    operators: Address
    replicas: tuple[ReplicaSettings, ...]
    entry_vms: tuple[EntryVmSettings, ...]
    access_key_file: str
    data_folder: str
    client_blocks: tuple[ClientBlockSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    trace_sampling: float = 0.01
    prices: PriceSettings | None = None


@attrs.frozen
class ControlSettings:
    """Settings of a control process.

    Attributes:
        place: Where the VM is.
        peers: Listener for other processes of the fleet.
        operators: Listener for operators.
        replicas: All control processes, this one included.
        access_key_file: File with the key of operators and of the processes of the fleet.
        data_folder: Folder for all files of the process.
        limits: Limits of each connection to a listener.
    """

    place: PlaceSettings
    peers: Address
    operators: Address
    replicas: tuple[ReplicaSettings, ...]
    access_key_file: str
    data_folder: str
    limits: LimitSettings = LimitSettings()


Settings = EntrySettings | ControlSettings


@attrs.frozen
class FleetVmSettings:
    """Where an operator reaches one process.

    Attributes:
        vm: Name of the VM.
        operators: Where it listens for operators.
        peers: Where a control process listens for the others, needed to replace it.
    """

    vm: str
    operators: Address
    peers: Address | None = None


@attrs.frozen
class FleetSettings:
    """Addresses and key that an operator's command needs to reach the fleet.

    Attributes:
        replicas: All control processes.
        entry_vms: All entry processes.
        access_key_file: File with the key of operators.
    """

    replicas: tuple[FleetVmSettings, ...]
    entry_vms: tuple[FleetVmSettings, ...]
    access_key_file: str


def read_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read a settings file and check it completely.

    The field `role` is `entry` or `control` and selects the other fields. Paths in the file are
    relative to its folder.

    Returns:
        The settings, or all faults, each with its path, value and what is allowed.
    """
    match read_object(path):
        case Failure(faults):
            return Failure(faults)
        case Success(value):
            pass
    role = value.pop("role", "missing")
    match role:
        case "entry":
            kind = EntrySettings
        case "control":
            kind = ControlSettings
        case _:
            return Failure(
                (str(Fault("settings.role", shorten_value(role), "'entry' or 'control'")),)
            )
    if faults := tuple(map(str, find_faults(value, kind, "settings"))):
        return Failure(faults)
    settings = make_converter().structure(value, kind)
    settings = attrs.evolve(
        settings,
        access_key_file=str(path.parent / settings.access_key_file),
        data_folder=str(path.parent / settings.data_folder),
    )
    # Imported here, since that module imports the classes of this one.
    from camphorspread.process.settings_check import find_setting_faults

    faults = tuple(map(str, find_setting_faults(settings)))
    return Failure(faults) if faults else Success(settings)


def read_fleet(path: Path) -> Result[FleetSettings, tuple[str, ...]]:
    """Read a fleet file for operators' commands.

    Returns:
        The addresses, or all faults.
    """
    match read_object(path):
        case Failure(faults):
            return Failure(faults)
        case Success(value):
            pass
    if faults := tuple(map(str, find_faults(value, FleetSettings, "fleet"))):
        return Failure(faults)
    fleet = make_converter().structure(value, FleetSettings)
    key_file = str(path.parent / fleet.access_key_file)
    return Success(attrs.evolve(fleet, access_key_file=key_file))


def read_object(path: Path) -> Result[dict, tuple[str, ...]]:
    """Read a JSON file that holds one object."""
    try:
        value = json.loads(path.read_bytes())
    except OSError as exc:
        return Failure((f"{path}: {exc.strerror}",))
    except ValueError as exc:
        return Failure((f"{path}: no valid JSON: {exc}",))
    if not isinstance(value, dict):
        return Failure((f"{path} holds {shorten_value(value)}; allowed: an object",))
    return Success(value)
