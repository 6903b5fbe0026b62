"""Settings of one process, read from a JSON file."""

import json
from pathlib import Path

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from returns.result import Failure, Result, Success

from camphorspread.connection.network import Address

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "EntryVmSettings",
    "PlaceSettings",
    "ReplicaSettings",
    "Settings",
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
        peers: For the project's own processes.
        operators: For operators' commands.
    """

    vm: str
    peers: Address
    operators: Address


@attrs.frozen
class EntryVmSettings:
    """An entry VM that this one may contact first.

    Attributes:
        vm: Name of the VM.
        availability_zone: Its availability zone.
        region: Its region.
        callers: Where it listens for callers.
        peers: Where it listens for the project's own processes.
        backend_servers: Where it listens for backend servers, needed to name it as an owner.
    """

    vm: str
    availability_zone: str
    region: str
    callers: Address
    peers: Address
    backend_servers: Address | None = None


@attrs.frozen
class ClientBlockSettings:
    """A block of client addresses and the availability zone nearest to it."""

    block: str
    availability_zone: str
    region: str


@attrs.frozen
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        place: Where the VM is.
        callers: Listener for callers.
        backend_servers: Listener for backend servers.
        peers: Listener for the project's own processes.
        operators: Listener for operators.
        replicas: All control processes.
        entry_vms: All entry VMs, this one included.
        access_key_file: File with the key of operators and own processes.
        data_folder: Folder for all files of the process.
        client_blocks: Blocks of client addresses.
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


@attrs.frozen
class ControlSettings:
    """Settings of a control process.

    Attributes:
        place: Where the VM is.
        peers: Listener for the project's own processes.
        operators: Listener for operators.
        replicas: All control processes, this one included.
        access_key_file: File with the key of operators and own processes.
        data_folder: Folder for all files of the process.
    """

    place: PlaceSettings
    peers: Address
    operators: Address
    replicas: tuple[ReplicaSettings, ...]
    access_key_file: str
    data_folder: str


Settings = EntrySettings | ControlSettings


def read_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read and check a settings file.

    The field `role` is `entry` or `control` and selects the other fields.

    Returns:
        The settings, or all faults, each with its path.
    """
    try:
        value = json.loads(path.read_bytes())
    except (OSError, ValueError) as exc:
        return Failure((f"{path}: {exc}",))
    role = value.pop("role", None) if isinstance(value, dict) else None
    kinds: dict[object, type] = {"entry": EntrySettings, "control": ControlSettings}
    if role not in kinds:
        return Failure((f"role is {role!r}; allowed: 'entry', 'control'",))
    converter = make_converter(forbid_extra_keys=True)
    try:
        return Success(converter.structure(value, kinds[role]))
    except Exception as exc:
        return Failure(tuple(cattrs.transform_error(exc, path="settings")))
