"""The commands as data classes, one for each subcommand."""

from datetime import timedelta
from pathlib import Path

import attrs

from camphorspread.connection.network import Address
from camphorspread.process.command.catalogue_change import ChangeOptions
from camphorspread.process.command.operator import Target
from camphorspread.process.load import LoadPlan

__all__ = [
    "CatalogueApply",
    "CatalogueDrain",
    "CatalogueHistory",
    "CatalogueList",
    "CatalogueShow",
    "CatalogueUndrain",
    "CheckCatalogue",
    "CheckSettings",
    "Command",
    "Explain",
    "ExplainLog",
    "ExplainRoute",
    "Load",
    "LocalFleet",
    "MembersAdd",
    "MembersList",
    "MembersPromote",
    "MembersRemove",
    "MembersReplace",
    "PlatformNode",
    "Report",
    "Run",
    "Status",
    "StubBackends",
    "Version",
]


@attrs.frozen
class Run:
    """Run a process from a settings file."""

    settings: Path


@attrs.frozen
class PlatformNode:
    """Run the process that the platform's settings file describes."""


@attrs.frozen
class CheckSettings:
    """Validate settings files."""

    files: tuple[Path, ...]


@attrs.frozen
class CheckCatalogue:
    """Validate a catalogue file."""

    file: Path


@attrs.frozen
class CatalogueList:
    """List all entries."""

    target: Target
    as_json: bool


@attrs.frozen
class CatalogueShow:
    """Show one entry."""

    target: Target
    as_json: bool
    kind: str
    name: str


@attrs.frozen
class CatalogueHistory:
    """List accepted changes."""

    target: Target
    as_json: bool
    count: int


@attrs.frozen
class CatalogueApply:
    """Send the changes of a file."""

    target: Target
    as_json: bool
    options: ChangeOptions
    file: Path


@attrs.frozen
class CatalogueDrain:
    """Drain a VM, availability zone or region."""

    target: Target
    as_json: bool
    options: ChangeOptions
    kind: str
    name: str
    owner: str


@attrs.frozen
class CatalogueUndrain:
    """Remove the drain of a VM, availability zone or region."""

    target: Target
    as_json: bool
    options: ChangeOptions
    kind: str
    name: str


@attrs.frozen
class Status:
    """Show the status of the fleet."""

    target: Target
    as_json: bool


@attrs.frozen
class Explain:
    """Explain routing decisions."""

    target: Target
    as_json: bool
    service: str
    request: str
    caller: str


@attrs.frozen
class ExplainLog:
    """Explain one request from log files."""

    request: str
    files: tuple[Path, ...]
    as_json: bool


@attrs.frozen
class ExplainRoute:
    """Explain where an entry VM would send a request now."""

    metrics: Address
    host: str
    path: str
    object_key: str
    organisation: str
    as_json: bool


@attrs.frozen
class Report:
    """Print the accounting report."""

    target: Target
    as_json: bool


@attrs.frozen
class MembersList:
    """List the control processes of the group."""

    target: Target
    as_json: bool


@attrs.frozen
class MembersAdd:
    """Add the control process of a VM as a learner."""

    target: Target
    as_json: bool
    vm: str
    limit: timedelta


@attrs.frozen
class MembersPromote:
    """Promote the control process of a VM from learner to voter."""

    target: Target
    as_json: bool
    vm: str
    limit: timedelta


@attrs.frozen
class MembersRemove:
    """Remove one disk identity of a VM from the group."""

    target: Target
    as_json: bool
    vm: str
    identity: str
    limit: timedelta


@attrs.frozen
class MembersReplace:
    """Replace the disk identity of a control process that runs on a new disk."""

    target: Target
    as_json: bool
    vm: str
    limit: timedelta


@attrs.frozen
class Load:
    """Send generated load to a service."""

    plan: LoadPlan
    seed: int
    output: Path | None
    as_json: bool


@attrs.frozen
class LocalFleet:
    """Run a small fleet in one process on loopback addresses."""

    requests: int
    base_port: int


@attrs.frozen
class StubBackends:
    """Run stub backend servers for tests, next to an entry VM."""

    settings: Path
    service: str
    count: int
    slots: int
    service_time: timedelta


@attrs.frozen
class Version:
    """Print the version of the program."""

    as_json: bool


Command = (
    Run
    | CheckSettings
    | CheckCatalogue
    | CatalogueList
    | CatalogueShow
    | CatalogueHistory
    | CatalogueApply
    | CatalogueDrain
    | CatalogueUndrain
    | Status
    | Explain
    | ExplainLog
    | Report
    | MembersList
    | MembersAdd
    | MembersPromote
    | MembersRemove
    | MembersReplace
    | Load
    | LocalFleet
    | StubBackends
    | Version
    | PlatformNode
)
