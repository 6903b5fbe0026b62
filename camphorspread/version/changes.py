"""Catalogue changes: types, validation and application."""

import enum

import attrs
from returns.result import Failure, Result, Success

from camphorspread.version.catalogue import (
    Catalogue,
    DrainEntry,
    DrainKind,
    RegionEntry,
    RoutingDocument,
    ServiceEntry,
    Versioned,
)

__all__ = [
    "ANY_VERSION",
    "Change",
    "ChangeError",
    "ChangeErrorKind",
    "ChangeRequest",
    "PutDrain",
    "PutRegion",
    "PutRouting",
    "PutService",
    "RemoveDrain",
    "RemoveRegion",
    "RemoveService",
    "apply_change",
    "check_change",
    "document_size",
    "entry_version",
]


@attrs.frozen
class PutService:
    """Create or replace the entry of a service."""

    entry: ServiceEntry


@attrs.frozen
class RemoveService:
    """Remove the entry of a service."""

    name: str


@attrs.frozen
class PutRegion:
    """Create or replace the entry of a region."""

    entry: RegionEntry


@attrs.frozen
class RemoveRegion:
    """Remove the entry of a region."""

    name: str


@attrs.frozen
class PutDrain:
    """Drain a VM, availability zone or region."""

    entry: DrainEntry


@attrs.frozen
class RemoveDrain:
    """End the drain of a VM, availability zone or region."""

    kind: DrainKind
    name: str


@attrs.frozen
class PutRouting:
    """Set the routing document if its revision is higher than the current one."""

    document: RoutingDocument


Change = PutService | RemoveService | PutRegion | RemoveRegion | PutDrain | RemoveDrain | PutRouting
# Expected version of a change that applies to any version of an entry.
ANY_VERSION = -1


@attrs.frozen
class ChangeRequest:
    """A change as an operator sends it.

    Attributes:
        change_id: Identifier chosen by the operator's command; a resent change keeps it.
        expected_version: Version of the entry that the change replaces, 0 for a new entry, or
            `ANY_VERSION`.
        operator: Who sent it.
        change: The change itself.
    """

    change_id: str
    expected_version: int
    operator: str
    change: Change


class ChangeErrorKind(enum.Enum):
    """Reasons to refuse a change."""

    INVALID = "invalid"
    VERSION_CONFLICT = "version_conflict"
    NOT_FOUND = "not_found"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    DISK_FULL = "disk_full"


@attrs.frozen
class ChangeError:
    """Why a change was refused.

    Attributes:
        kind: Reason from the closed list.
        field: Path of the invalid field, empty if there is none.
        value: The submitted value.
        limit: Allowed values, or the current version after a conflict.
    """

    kind: ChangeErrorKind
    field: str = ""
    value: str = ""
    limit: str = ""

    @property
    def message(self) -> str:
        """Error message for the operator."""
        match self.kind:
            case ChangeErrorKind.VERSION_CONFLICT:
                return f"the entry is at version {self.limit}, but the change expects {self.value}"
            case ChangeErrorKind.INVALID:
                return f"{self.field} is {self.value}; allowed: {self.limit}"
            case ChangeErrorKind.NOT_FOUND:
                return f"there is no {self.field} named {self.value}"
            case _:
                return f"{self.kind.value.replace('_', ' ')}: {self.limit}"


def entry_version(catalogue: Catalogue, change: Change) -> int:
    """Return the current version of the entry that a change targets, 0 if there is none."""
    match change:
        case PutService(entry=entry):
            versioned = catalogue.services.get(entry.name)
        case RemoveService(name=name):
            versioned = catalogue.services.get(name)
        case PutRegion(entry=entry):
            versioned = catalogue.regions.get(entry.name)
        case RemoveRegion(name=name):
            versioned = catalogue.regions.get(name)
        case PutDrain(entry=entry):
            versioned = catalogue.drains.get(f"{entry.kind.value}/{entry.name}")
        case RemoveDrain(kind=kind, name=name):
            versioned = catalogue.drains.get(f"{kind.value}/{name}")
        case PutRouting():
            return catalogue.routing.revision if catalogue.routing else 0
    return versioned.version if versioned else 0


def document_size(change: Change) -> int:
    """Return the characters of the document that a change carries; other changes are small."""
    match change:
        case PutRouting(document=document):
            return len(document.text)
    return 0


def check_change(catalogue: Catalogue, request: ChangeRequest) -> Result[None, ChangeError]:
    """Validate a change against the current catalogue.

    Args:
        catalogue: The newest accepted catalogue.
        request: The change.

    Returns:
        Nothing, or the first error versioned.
    """
    current = entry_version(catalogue, request.change)
    if request.expected_version not in (current, ANY_VERSION):
        return Failure(
            ChangeError(
                ChangeErrorKind.VERSION_CONFLICT,
                "expected_version",
                str(request.expected_version),
                str(current),
            )
        )
    match request.change:
        case PutService(entry=entry):
            return check_service(catalogue, entry)
        case PutRegion(entry=entry):
            return check_region(catalogue, entry)
        case PutDrain(entry=entry):
            return check_not_blank("entry.owner", entry.owner)
        case RemoveService(name=name) if not current:
            return Failure(ChangeError(ChangeErrorKind.NOT_FOUND, "service", name))
        case RemoveRegion(name=name) if not current:
            return Failure(ChangeError(ChangeErrorKind.NOT_FOUND, "region", name))
        case RemoveDrain(name=name) if not current:
            return Failure(ChangeError(ChangeErrorKind.NOT_FOUND, "drain", name))
    return Success(None)


def check_not_blank(field: str, value: str) -> Result[None, ChangeError]:
    """Check that a text isn't blank."""
    if value.strip():
        return Success(None)
    return Failure(ChangeError(ChangeErrorKind.INVALID, field, repr(value), "a text"))


def check_range(field: str, value: int, low: int, high: int) -> Result[None, ChangeError]:
    """Check that a number is within bounds, both included."""
    if low <= value <= high:
        return Success(None)
    return Failure(ChangeError(ChangeErrorKind.INVALID, field, str(value), f"{low} to {high}"))


MAX_PER_SECOND = 10_000_000
MAX_IN_FLIGHT = 10_000_000
MAX_QUEUE_LENGTH = 10_000
MAX_TTL_MS = 300_000
MAX_TIME_LIMIT_MS = 600_000


def check_service(catalogue: Catalogue, entry: ServiceEntry) -> Result[None, ChangeError]:
    """Check a service entry against fixed bounds and the capacity of the regions."""
    capacity = min((item.entry.limit for item in catalogue.regions.values()), default=MAX_IN_FLIGHT)
    checks = (
        check_not_blank("entry.name", entry.name),
        check_not_blank("entry.owner", entry.owner),
        check_range("entry.shift_cap_per_second", entry.shift_cap_per_second, 0, MAX_PER_SECOND),
        check_range("entry.region_limit", entry.region_limit, 0, capacity),
        check_range("entry.queue_length", entry.queue_length, 0, MAX_QUEUE_LENGTH),
        check_range("entry.lookup_ttl_ms", entry.lookup_ttl_ms, 100, MAX_TTL_MS),
        check_range(
            "entry.request_time_limit_ms", entry.request_time_limit_ms, 1, MAX_TIME_LIMIT_MS
        ),
        check_range("entry.body_limit_bytes", entry.body_limit_bytes, 0, 2**40),
        check_range("entry.promised_ms", entry.promised_ms, 1, MAX_TIME_LIMIT_MS),
        *(check_never_repeated_rule(rule) for rule in entry.never_repeated),
    )
    return first_failure(checks)


def check_never_repeated_rule(rule: str) -> Result[None, ChangeError]:
    """Check the syntax of a rule of requests that are never repeated."""
    method, separator, prefix = rule.partition(" ")
    if separator and method.isupper() | (method == "*") and prefix.startswith("/"):
        return Success(None)
    return Failure(
        ChangeError(
            ChangeErrorKind.INVALID, "entry.never_repeated", repr(rule), "METHOD /path-prefix"
        )
    )


def check_region(catalogue: Catalogue, entry: RegionEntry) -> Result[None, ChangeError]:
    """Check a region entry against fixed bounds and the region limits of all services."""
    min_limit = max((item.entry.region_limit for item in catalogue.services.values()), default=0)
    checks = (
        check_not_blank("entry.name", entry.name),
        check_not_blank("entry.owner", entry.owner),
        check_range("entry.limit", entry.limit, min_limit, MAX_IN_FLIGHT),
        check_range("entry.link_bytes_per_second", entry.link_bytes_per_second, 1, 2**40),
    )
    return first_failure(checks)


def first_failure(checks: tuple[Result[None, ChangeError], ...]) -> Result[None, ChangeError]:
    """Return the first failure, or success."""
    for check in checks:
        if isinstance(check, Failure):
            return check
    return Success(None)


def apply_change(catalogue: Catalogue, change: Change) -> Catalogue:
    """Return the catalogue with an accepted change applied, at the next version."""
    version = catalogue.version + 1
    services, regions, drains = catalogue.services, catalogue.regions, catalogue.drains
    routing = catalogue.routing
    match change:
        case PutService(entry=entry):
            services = {**services, entry.name: Versioned(entry, version)}
        case RemoveService(name=name):
            services = {key: item for key, item in services.items() if key != name}
        case PutRegion(entry=entry):
            regions = {**regions, entry.name: Versioned(entry, version)}
        case RemoveRegion(name=name):
            regions = {key: item for key, item in regions.items() if key != name}
        case PutDrain(entry=entry):
            key = f"{entry.kind.value}/{entry.name}"
            drains = {**drains, key: Versioned(entry, version)}
        case RemoveDrain(kind=kind, name=name):
            removed = f"{kind.value}/{name}"
            drains = {key: item for key, item in drains.items() if key != removed}
        case PutRouting(document=document):
            # Operators may send documents concurrently or resend an old one: the highest
            # revision stays in force.
            if routing is None or document.revision > routing.revision:
                routing = document
    return Catalogue(version, services, regions, drains, routing)
