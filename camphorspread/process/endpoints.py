"""Endpoints that backend servers announced to this VM."""

import enum
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address

__all__ = [
    "Announcement",
    "Endpoint",
    "EndpointState",
    "LoadReport",
    "Registry",
    "expire_endpoints",
    "record_announcement",
]

ENDPOINT_LEASE = timedelta(seconds=2)
RENEWAL_INTERVAL = timedelta(milliseconds=500)


class EndpointState(enum.Enum):
    """What a backend server says of its endpoint."""

    ACTIVE = "active"
    LEAVING = "leaving"


@attrs.frozen
class LoadReport:
    """Load as the backend server sees it; a hint that may lag or mislead."""

    sequence: int = 0
    busy_slots: int = 0


@attrs.frozen
class Announcement:
    """What a backend server sends about one endpoint.

    Attributes:
        service: Service that the endpoint serves.
        endpoint: Name of the endpoint, unique in the service.
        availability_zone: Where it runs.
        address: Where it accepts requests.
        slots: Requests that it can run at once.
        state: Whether it is leaving.
        report: Load report.
    """

    service: str
    endpoint: str
    availability_zone: str
    address: Address
    slots: int
    state: EndpointState = EndpointState.ACTIVE
    report: LoadReport = attrs.field(factory=LoadReport)


@attrs.define(eq=False)
class Endpoint:
    """An announced endpoint and what this VM knows of it.

    Attributes:
        announcement: The newest announcement.
        lease_end: When it counts as gone unless renewed.
        in_use: Slots taken by requests that this VM sent.
    """

    announcement: Announcement
    lease_end: timedelta
    in_use: int = 0

    @property
    def free_slots(self) -> int:
        """Slots without a request."""
        return max(self.announcement.slots - self.in_use, 0)

    def admitted_slots(self, now: timedelta) -> int:
        """Return the slots that the ramp-up allows at this instant, at most the announced ones."""
        return self.announcement.slots if self.lease_end > now else 0


@attrs.define(eq=False)
class Registry:
    """Announced endpoints by service and name."""

    services: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)

    def list_live(self, service: str, now: timedelta) -> list[Endpoint]:
        """Return the active endpoints of a service whose lease runs, sorted by name."""
        endpoints = self.services.get(service, {})
        return [
            endpoints[name]
            for name in sorted(endpoints)
            if endpoints[name].lease_end > now
            and endpoints[name].announcement.state is EndpointState.ACTIVE
        ]


def record_announcement(registry: Registry, announcement: Announcement, now: timedelta) -> Endpoint:
    """Add or renew an endpoint and return it."""
    endpoints = registry.services.setdefault(announcement.service, {})
    endpoint = endpoints.get(announcement.endpoint)
    if endpoint is None:
        endpoint = Endpoint(announcement, now + ENDPOINT_LEASE)
        endpoints[announcement.endpoint] = endpoint
        return endpoint
    endpoint.announcement = announcement
    endpoint.lease_end = now + ENDPOINT_LEASE
    return endpoint


def expire_endpoints(registry: Registry, now: timedelta) -> list[Endpoint]:
    """Remove and return the endpoints whose lease has ended and that run no request."""
    expired: list[Endpoint] = []
    for endpoints in registry.services.values():
        for name, endpoint in list(endpoints.items()):
            if endpoint.lease_end <= now and not endpoint.in_use:
                expired.append(endpoints.pop(name))
    return expired
