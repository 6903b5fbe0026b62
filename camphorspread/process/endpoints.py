"""Registry of the endpoints that backend servers have announced to this VM."""

import enum
from datetime import timedelta

import attrs

from camphorspread.connection.network import Address

__all__ = [
    "ENDPOINT_LEASE",
    "FAILOVER_MARGIN",
    "RAMP_STEP",
    "RENEWAL_INTERVAL",
    "Announcement",
    "Endpoint",
    "EndpointRegistry",
    "EndpointState",
    "HandoverToken",
    "LoadReport",
    "ReportHistory",
    "expire_endpoints",
    "record_announcement",
    "record_failure",
    "record_refusal",
    "record_report",
    "record_success",
    "weigh_report",
]

# A single refusal may be a lost connection. Each refusal after the first ejection doubles its time.
EJECTION_REFUSALS = 2
FIRST_EJECTION_TIME = timedelta(seconds=1)
MAX_EJECTION_DOUBLINGS = 4
ENDPOINT_LEASE = timedelta(seconds=2)
RENEWAL_INTERVAL = timedelta(milliseconds=500)
FAILOVER_MARGIN = timedelta(milliseconds=500)
RAMP_STEP = timedelta(milliseconds=500)
INITIAL_RAMP_SLOTS = 1
# A load that is unchanged over this many reports comes from a counter that has stopped.
MAX_UNCHANGED_REPORTS = 10
# A report of zero load is ignored if a request failed within this time.
RECENT_ERROR_AGE = timedelta(seconds=5)


class EndpointState(enum.Enum):
    """State of an endpoint as its backend server announces it."""

    ACTIVE = "active"
    LEAVING = "leaving"


@attrs.frozen
class LoadReport:
    """Load as the backend server reports it; a hint that may be late or wrong."""

    sequence: int = 0
    busy_slots: int = 0


@attrs.frozen
class HandoverToken:
    """Statement of a former owner that it released an endpoint and sends nothing more to it.

    Attributes:
        former_owner: `VM/incarnation` of the former owner.
        in_use: Slots that its requests still use.
    """

    former_owner: str
    in_use: int


@attrs.frozen
class Announcement:
    """Announcement of one endpoint by its backend server.

    Attributes:
        service: Service that the endpoint serves.
        endpoint: Name of the endpoint, unique in the service.
        availability_zone: Where it runs.
        address: Where it accepts requests.
        slots: Largest number of concurrent requests.
        state: Whether it is leaving.
        report: Load report.
        former_owner: `VM/incarnation` that last accepted it, or empty after a fresh start.
        failed_owners: VMs that didn't respond to the backend server.
        token: Handover token of the former owner, or None.
    """

    service: str
    endpoint: str
    availability_zone: str
    address: Address
    slots: int
    state: EndpointState = EndpointState.ACTIVE
    report: LoadReport = attrs.field(factory=LoadReport)
    former_owner: str = ""
    failed_owners: tuple[str, ...] = ()
    token: HandoverToken | None = None


@attrs.define(eq=False)
class ReportHistory:
    """Load reports of an endpoint, as far as its owner needs them.

    Attributes:
        report: The newest report, by sequence number.
        unchanged: Consecutive renewals that repeated its load.
        is_late: True if the last renewal carried a report older than the newest one.
    """

    report: LoadReport = attrs.field(factory=LoadReport)
    unchanged: int = 0
    is_late: bool = False


@attrs.define(eq=False)
class Endpoint:
    """An announced endpoint and its state on this VM.

    Attributes:
        announcement: The newest announcement.
        lease_end: When its lease ends unless renewed.
        in_use: Slots taken by requests that this VM sent.
        former_in_use: Slots that requests of the former owner may still use.
        former_until: When the last request of the former owner must have ended.
        ramp_slots: Slots that the ramp-up (slow start) allows so far.
        ramp_start: Start of the current step of the ramp-up.
        last_error: When a request to it last failed.
        reports: History of its load reports.
        is_released: True once this VM has handed it over and sends no more requests.
        sent: Number of requests that this VM has sent to it.
        refusals: Consecutive connections that it refused.
        ejected_until: End of its ejection after refused connections.
    """

    announcement: Announcement
    lease_end: timedelta
    in_use: int = 0
    former_in_use: int = 0
    former_until: timedelta = timedelta(0)
    ramp_slots: int = INITIAL_RAMP_SLOTS
    ramp_start: timedelta = timedelta(0)
    last_error: timedelta | None = None
    reports: ReportHistory = attrs.field(factory=ReportHistory)
    is_released: bool = False
    sent: int = 0
    refusals: int = 0
    ejected_until: timedelta = timedelta(0)

    def admitted_slots(self, now: timedelta) -> int:
        """Return the slots that the ramp-up and requests of the former owner leave usable."""
        if self.lease_end <= now or self.is_released:
            return 0
        former = self.former_in_use if self.former_until > now else 0
        return max(min(self.announcement.slots - former, self.ramp_slots), 0)

    def is_sendable(self, now: timedelta) -> bool:
        """Return True if this VM may send a request to it now."""
        is_active = self.announcement.state is EndpointState.ACTIVE and not self.is_released
        return is_active and self.ejected_until <= now < self.lease_end


@attrs.define(eq=False)
class EndpointRegistry:
    """Announced endpoints by service and name."""

    services: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)

    def find_endpoint(self, service: str, endpoint: str) -> Endpoint | None:
        """Return an endpoint, or None."""
        return self.services.get(service, {}).get(endpoint)

    def list_live(self, service: str, now: timedelta) -> list[Endpoint]:
        """Return the endpoints of a service that requests may be sent to, sorted by name."""
        endpoints = self.services.get(service, {})
        return [endpoints[name] for name in sorted(endpoints) if endpoints[name].is_sendable(now)]

    def has_quarantine(self, service: str, now: timedelta) -> bool:
        """Return True if requests of former owners may still use slots of the service."""
        endpoints = self.services.get(service, {}).values()
        return any(item.former_in_use and item.former_until > now for item in endpoints)


def record_announcement(
    registry: EndpointRegistry,
    announcement: Announcement,
    now: timedelta,
    own: str = "",
    longest_request: timedelta = timedelta(0),
    handed_over: int | None = None,
) -> Endpoint:
    """Add or renew an endpoint and return it.

    Args:
        registry: Endpoints that this VM owns.
        announcement: The announcement.
        now: Current instant.
        own: `VM/incarnation` of this VM.
        longest_request: Longest time that a request of the service may take.
        handed_over: Slots in use that the former owner stated in a handover, or None.
    """
    endpoints = registry.services.setdefault(announcement.service, {})
    endpoint = endpoints.get(announcement.endpoint)
    if endpoint is None:
        endpoint = Endpoint(announcement, now, ramp_start=now)
        endpoints[announcement.endpoint] = endpoint
    is_taken_over = announcement.former_owner not in ("", own)
    if is_taken_over or endpoint.is_released:
        reserve_former_slots(endpoint, announcement, now, longest_request, handed_over)
    elif endpoint.lease_end <= now:
        restart_ramp(endpoint, now)
    record_report(endpoint.reports, announcement.report)
    endpoint.announcement = announcement
    endpoint.lease_end = now + ENDPOINT_LEASE
    endpoint.is_released = False
    return endpoint


def reserve_former_slots(
    endpoint: Endpoint,
    announcement: Announcement,
    now: timedelta,
    longest_request: timedelta,
    handed_over: int | None,
) -> None:
    """Reserve the slots that requests of the former owner may use.

    Without a handover all slots are reserved (quarantine). The former owner may have received a
    renewal whose response was lost and send until its lease ends, so one lease is added.
    """
    if announcement.token is not None:
        handed_over = announcement.token.in_use
    if handed_over is None:
        endpoint.former_in_use = announcement.slots
        endpoint.former_until = now + ENDPOINT_LEASE + longest_request
    else:
        endpoint.former_in_use = handed_over
        endpoint.former_until = now + longest_request
    restart_ramp(endpoint, now)


def restart_ramp(endpoint: Endpoint, now: timedelta) -> None:
    """Restart the ramp-up with one slot."""
    endpoint.ramp_slots = INITIAL_RAMP_SLOTS
    endpoint.ramp_start = now


def record_success(endpoint: Endpoint, now: timedelta) -> None:
    """Record a complete response; the first one after each ramp-up step adds a slot."""
    endpoint.refusals = 0
    if endpoint.ramp_slots < endpoint.announcement.slots and now - endpoint.ramp_start >= RAMP_STEP:
        endpoint.ramp_slots += 1
        endpoint.ramp_start = now


def record_failure(endpoint: Endpoint, now: timedelta) -> None:
    """Record a failed request and restart the current step of the ramp-up."""
    endpoint.last_error = now
    endpoint.ramp_start = now


def record_refusal(endpoint: Endpoint, now: timedelta) -> None:
    """Record a refused connection; two in a row eject the endpoint for a while.

    A backend server that renews its announcement while it accepts no connection would otherwise
    look idle and attract requests.
    """
    endpoint.refusals += 1
    if endpoint.refusals >= EJECTION_REFUSALS:
        doublings = min(endpoint.refusals - EJECTION_REFUSALS, MAX_EJECTION_DOUBLINGS)
        endpoint.ejected_until = now + FIRST_EJECTION_TIME * 2**doublings
        restart_ramp(endpoint, now)


def record_report(history: ReportHistory, report: LoadReport) -> None:
    """Record a load report unless it is older than the newest one."""
    history.is_late = report.sequence < history.report.sequence
    if history.is_late:
        return
    is_same = report.busy_slots == history.report.busy_slots
    history.unchanged = history.unchanged + 1 if is_same else 0
    history.report = report


def weigh_report(history: ReportHistory, last_error: timedelta | None, now: timedelta) -> float:
    """Return the weight of the newest load report, from 0 to 1.

    An unchanging report and one of zero load despite recent errors have no weight. After a late
    report the newest one has half weight, because it is older than it should be.

    Args:
        history: Reports of the endpoint.
        last_error: When a request to the endpoint last failed, or None.
        now: Current instant.

    Examples:
        >>> weigh_report(ReportHistory(LoadReport(3, 2)), None, timedelta(0))
        1.0
        >>> weigh_report(ReportHistory(LoadReport(3, 2), unchanged=10), None, timedelta(0))
        0.0
    """
    has_errors = last_error is not None and now - last_error < RECENT_ERROR_AGE
    if history.unchanged >= MAX_UNCHANGED_REPORTS:
        return 0.0
    if has_errors and history.report.busy_slots == 0:
        return 0.0
    return 0.5 if history.is_late else 1.0


def expire_endpoints(registry: EndpointRegistry, now: timedelta) -> list[Endpoint]:
    """Remove and return the endpoints whose lease has ended and that have no request in flight."""
    expired: list[Endpoint] = []
    for endpoints in registry.services.values():
        for name, endpoint in list(endpoints.items()):
            if endpoint.lease_end <= now and not endpoint.in_use and endpoint.former_until <= now:
                expired.append(endpoints.pop(name))
    return expired
