"""Routes from host and path to services, as operators set them in one document."""

from datetime import timedelta
from functools import cached_property

import attrs

__all__ = [
    "CallerLimits",
    "Route",
    "RouteTable",
    "SteeredService",
    "WeightedService",
    "find_route",
    "find_route_faults",
]

# A promise this much longer than the time limit shows that the two were given in other units.
LONGEST_PROMISE_PAST_LIMIT = timedelta(minutes=1)


@attrs.frozen
class WeightedService:
    """A service that gets a part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and what holds for them.

    Attributes:
        name: Name of the route, unique in its table.
        host: Host that requests name.
        path_prefix: Begins and ends with a slash.
        is_idempotent: True if a request may run more than once.
        time_limit: Longest time from the request to its final response.
        promised: Time within which a response counts as on time.
        rank: Order under overload; 0 is the most urgent.
        targets: Services that share the requests.
        max_attempts: Endpoints that one request may be sent to.
        has_affinity: True if an endpoint is faster for objects that it handled recently.
        home_regions: Regions that may run the requests; empty if all may.
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


@attrs.frozen
class SteeredService:
    """What holds for all endpoints of a service.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one endpoint accepts from all VMs together.
        cold_per_second: Requests a second that a cold endpoint tolerates.
    """

    name: str
    max_connections: int = 100
    cold_per_second: float = 10.0


@attrs.frozen
class CallerLimits:
    """What callers may send and how long they may take.

    Attributes:
        header_bytes: Size of a request head.
        body_bytes: Size of a request body.
        header_time: Longest wait for the rest of a head that has begun.
        idle_time: Longest wait for the next request on an open connection.
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

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Routes of each host, those with the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in hosts.items()
        }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix that begins the path, or None.

    Args:
        table: All routes.
        host: Host that the request names; a port is ignored.
        path: Path with or without a query.
    """
    plain_path = path.partition("?")[0]
    for route in table.routes_by_host.get(host.partition(":")[0].lower(), ()):
        if plain_path.startswith(route.path_prefix):
            return route
    return None


def find_route_faults(table: RouteTable) -> list[str]:
    """Return what makes a table invalid, each with the route, the value and what is allowed."""
    faults = []
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
        if route.promised >= route.time_limit + LONGEST_PROMISE_PAST_LIMIT:
            faults.append(
                f"route {route.name}: the promised time {route.promised} is a minute or more above"
                f" the time limit {route.time_limit}"
            )
    return faults
