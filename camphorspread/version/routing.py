"""Route table that maps host and path to services, set by operators in one document."""

from datetime import timedelta
from functools import cached_property

import attrs

from camphorspread.version.organisations import OrganisationTable, list_organisation_errors

__all__ = [
    "CallerLimits",
    "Route",
    "RouteTable",
    "SteeredService",
    "WeightedService",
    "find_route",
    "list_route_errors",
]

# A promised time that exceeds the time limit by this much shows that they have different units.
MAX_PROMISED_BEYOND_LIMIT = timedelta(minutes=1)


@attrs.frozen
class WeightedService:
    """A target service of a route, which gets requests in proportion to its weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Target services, limits and priority of the requests of one host and path prefix.

    Attributes:
        name: Name of the route, unique in its table.
        host: Host name in the requests.
        path_prefix: Path prefix, which begins and ends with a slash.
        is_idempotent: True if a request may run more than once.
        time_limit: Maximum time from the request to its final response.
        promised: Response time within which a request counts as on time.
        rank: Priority under overload; 0 is the highest.
        targets: Services that share the requests.
        max_attempts: Maximum number of endpoints that one request is sent to.
        has_affinity: True if an endpoint is faster for objects that it handled recently.
        home_regions: Regions in which the requests may run; empty for all.
        is_public: True if the requests need no key where the configuration has organisations.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    time_limit: timedelta
    promised: timedelta
    rank: int
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    has_affinity: bool = False
    home_regions: tuple[str, ...] = ()
    is_public: bool = False


@attrs.frozen
class SteeredService:
    """Limits for all endpoints of a service.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections to one endpoint, from all VMs together.
        cold_per_second: Requests per second that a cold endpoint can handle.
    """

    name: str
    max_connections: int = 100
    cold_per_second: float = 10.0


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts for callers.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_time: Timeout for the rest of a partially received head.
        idle_time: Timeout for the next request on an open connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_time: timedelta = timedelta(seconds=3)
    idle_time: timedelta = timedelta(seconds=15)


@attrs.frozen(slots=False)
class RouteTable:
    """All routes and services at one revision."""

    revision: int
    routes: tuple[Route, ...]
    services: dict[str, SteeredService]
    limits: CallerLimits = CallerLimits()
    organisations: OrganisationTable = attrs.field(factory=OrganisationTable)

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Routes by lower-case host, longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in hosts.items()
        }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest matching path prefix, or None.

    Args:
        table: All routes.
        host: Host in the request; a port is ignored.
        path: Path with or without a query.
    """
    plain_path = path.partition("?")[0]
    for route in table.routes_by_host.get(host.partition(":")[0].lower(), ()):
        if plain_path.startswith(route.path_prefix):
            return route
    return None


def list_route_errors(table: RouteTable) -> list[str]:
    """Return the errors that make a table invalid, each with route, value and allowed values."""
    faults = list_organisation_errors(table.organisations)
    seen: set[tuple[str, str]] = set()
    for route in table.routes:
        if not route.host:
            faults.append(f"route {route.name}: the host is empty; allowed: a name")
        place = (route.host.lower(), route.path_prefix)
        if place in seen:
            faults.append(f"route {route.name}: another route has host and prefix {place}")
        seen.add(place)
        if not route.targets:
            faults.append(f"route {route.name}: it names no service; allowed: one or more")
        for target in route.targets:
            if target.service not in table.services:
                faults.append(f"route {route.name}: the service {target.service!r} is unknown")
        if route.promised >= route.time_limit + MAX_PROMISED_BEYOND_LIMIT:
            faults.append(
                f"route {route.name}: the promised time {route.promised} is a minute or more above"
                f" the time limit {route.time_limit}"
            )
    return faults
