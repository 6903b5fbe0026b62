"""Catalogue entries, which operators write, and the catalogue that holds them."""

import enum
import hashlib
from datetime import timedelta
from functools import cached_property

import attrs

__all__ = [
    "AvailabilityZoneEntry",
    "Catalogue",
    "DrainEntry",
    "DrainKind",
    "RegionEntry",
    "RoutingDocument",
    "ServiceClass",
    "ServiceEntry",
    "Versioned",
    "is_idempotent",
    "is_never_repeated",
]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class ServiceClass(enum.Enum):
    """Priority of a service under overload, highest first; the lowest is shed first."""

    CRITICAL = "critical"
    UPLOAD = "upload"
    INTERACTIVE = "interactive"
    DEFERRABLE = "deferrable"


@attrs.frozen
class ServiceEntry:
    """A service, its owner, its class and its limits.

    Attributes:
        name: Name that callers look up.
        owner: Who is responsible for the entry.
        service_class: Priority under overload.
        shift_cap_per_second: Most requests per second that are served outside their home region,
            over the whole fleet.
        region_limit: Most requests in flight in one region.
        never_repeated: Rules `METHOD /path-prefix` of requests that run at most once.
        queue_length: Most requests that may be queued at one owner of endpoints.
        lookup_ttl_ms: How long callers may cache a lookup response, in milliseconds.
        request_time_limit_ms: Maximum duration of a request, in milliseconds.
        body_limit_bytes: Maximum size of a request body.
        promised_ms: Response time within which a request counts as on time, in milliseconds.
    """

    name: str
    owner: str
    service_class: ServiceClass
    shift_cap_per_second: int
    region_limit: int
    never_repeated: tuple[str, ...] = ()
    queue_length: int = 64
    lookup_ttl_ms: int = 5000
    request_time_limit_ms: int = 10000
    body_limit_bytes: int = 268435456
    promised_ms: int = 1000

    @property
    def lookup_ttl(self) -> timedelta:
        """How long callers may cache a lookup response."""
        return timedelta(milliseconds=self.lookup_ttl_ms)

    @property
    def request_time_limit(self) -> timedelta:
        """Maximum duration of a request."""
        return timedelta(milliseconds=self.request_time_limit_ms)


@attrs.frozen
class AvailabilityZoneEntry:
    """An availability zone and its entry VMs."""

    name: str
    vms: tuple[str, ...]


@attrs.frozen
class RegionEntry:
    """A region, its owner, its capacity and its availability zones.

    Attributes:
        name: Name of the region.
        owner: Who is responsible for the entry.
        limit: Most requests in flight in the region, over all services.
        availability_zones: Its availability zones.
        delays_ms: One-way delay to other regions, in milliseconds.
        link_bytes_per_second: Total bandwidth of the links to other regions, in each direction.
    """

    name: str
    owner: str
    limit: int
    availability_zones: tuple[AvailabilityZoneEntry, ...]
    delays_ms: dict[str, float] = attrs.field(factory=dict)
    link_bytes_per_second: int = 500000000

    @cached_property
    def vms(self) -> tuple[str, ...]:
        """Sorted names of all entry VMs of the region, cached because each renewal uses them."""
        return tuple(sorted(vm for zone in self.availability_zones for vm in zone.vms))


class DrainKind(enum.Enum):
    """Kind of target that a drain entry takes out of service."""

    VM = "vm"
    AVAILABILITY_ZONE = "availability_zone"
    REGION = "region"
    BACKEND_SERVERS = "backend_servers"


@attrs.frozen
class DrainEntry:
    """A VM, availability zone or region that takes no new traffic.

    The kind `BACKEND_SERVERS` names an availability zone whose backend servers get no request.
    """

    kind: DrainKind
    name: str
    owner: str


@attrs.frozen
class RoutingDocument:
    """The routes and services of one revision, as the text that the operator sent.

    The text is stored unchanged, so that operators read back what they sent. Control VMs decode it
    into a `RouteTable`. It contains keys, so it is left out of the text form.
    """

    revision: int
    text: str = attrs.field(repr=False)

    @cached_property
    def identity(self) -> str:
        """Revision and digest: operators may send different documents with one revision."""
        digest = hashlib.blake2b(self.text.encode(), digest_size=8).hexdigest()
        return f"{self.revision}.{digest}"


@attrs.frozen
class Versioned:
    """An entry and the catalogue version that last changed it."""

    entry: ServiceEntry | RegionEntry | DrainEntry
    version: int


@attrs.frozen
class Catalogue:
    """All entries at one catalogue version.

    Attributes:
        version: Number of accepted changes.
        services: Service entries by name.
        regions: Region entries by name.
        drains: Drain entries by `kind/name`.
        routing: Routing document of the highest revision, None before the first one.
    """

    version: int = 0
    services: dict[str, Versioned] = attrs.field(factory=dict)
    regions: dict[str, Versioned] = attrs.field(factory=dict)
    drains: dict[str, Versioned] = attrs.field(factory=dict)
    routing: RoutingDocument | None = None

    def find_service(self, name: str) -> ServiceEntry | None:
        """Return the entry of a service, or None."""
        versioned = self.services.get(name)
        return versioned.entry if versioned else None

    def find_region(self, name: str) -> RegionEntry | None:
        """Return the entry of a region, or None."""
        versioned = self.regions.get(name)
        return versioned.entry if versioned else None

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Availability zones whose backend servers get no request."""
        prefix = f"{DrainKind.BACKEND_SERVERS.value}/"
        return frozenset(key.removeprefix(prefix) for key in self.drains if key.startswith(prefix))

    def is_drained(self, kind: DrainKind, name: str) -> bool:
        """Return True if there is a drain entry for this VM, availability zone or region."""
        return f"{kind.value}/{name}" in self.drains


def is_never_repeated(entry: ServiceEntry, method: str, path: str) -> bool:
    """Return True if a rule of the service says that the request runs at most once.

    Args:
        entry: Entry of the service.
        method: HTTP method.
        path: Path below the service, with its leading slash.

    Examples:
        >>> entry = ServiceEntry(
        ...     "filing-svc", "water", ServiceClass.CRITICAL, 10, 100, ("POST /fees",)
        ... )
        >>> is_never_repeated(entry, "POST", "/fees/17")
        True
        >>> is_never_repeated(entry, "GET", "/fees/17")
        False
    """
    for rule in entry.never_repeated:
        rule_method, _, prefix = rule.partition(" ")
        if rule_method in ("*", method) and path.startswith(prefix):
            return True
    return False


def is_idempotent(entry: ServiceEntry, method: str, path: str) -> bool:
    """Return True if the request may be retried after an attempt that may have run."""
    return method in IDEMPOTENT_METHODS and not is_never_repeated(entry, method, path)
