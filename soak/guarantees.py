"""Observations of a soak run from outside the processes, and checks of the guarantees on them."""

import math
from collections import Counter

import attrs

__all__ = [
    "APPLY_LIMIT_S",
    "CONTACT_WINDOW_S",
    "Arrival",
    "CallerResponse",
    "ConfigurationRead",
    "Disturbance",
    "Observations",
    "StatedPause",
    "find_violations",
    "is_disturbed",
]

NOT_RUN_STATUSES = (401, 408, 421, 429, 503)
# Limits of the users' deployments until a departure and a change must be in effect.
DRAIN_LIMIT_S = 2.5
APPLY_LIMIT_S = 2.5
CONTACT_WINDOW_S = 4.0


@attrs.frozen
class CallerResponse:
    """Response to one request of a caller.

    Attributes:
        request: Identifier of the request.
        is_idempotent: True if it may run more than once.
        status: Status of the response, 0 for no complete response.
        body: Body of the response.
        at: When it was complete.
        sent_at: When the request was sent.
        key: Key that the request carried, empty for none.
        is_public: True if its route is public.
        vm: Entry VM to which it was sent.
        regions: Regions that its route lists, empty for none.
        has_retry_time: True if the response states when to retry.
    """

    request: str
    is_idempotent: bool
    status: int
    body: bytes
    at: float
    sent_at: float = 0.0
    key: str = ""
    is_public: bool = True
    vm: str = ""
    regions: tuple[str, ...] = ()
    has_retry_time: bool = False


@attrs.frozen
class Arrival:
    """A request that reached a backend server.

    Attributes:
        request: Identifier of the request.
        server: The backend server.
        vm: Entry VM that sent it, empty if its process had ended.
        at: When it arrived.
        organisations: Values of its headers that name an organisation.
        has_key: True if it carried credentials or a key.
        region: Region of the backend server.
    """

    request: str
    server: str
    vm: str
    at: float
    organisations: tuple[bytes, ...] = ()
    has_key: bool = False
    region: str = ""


@attrs.frozen
class StatedPause:
    """A rejection of a backend server that asked a VM for a pause."""

    server: str
    vm: str
    at: float
    length_s: float


@attrs.define(eq=False)
class Disturbance:
    """A fault of one process, or of the link to one backend server.

    Attributes:
        name: The process, or the server or zone of the link.
        start: When it began.
        end: When it ended, infinite until known.
        is_vm: True for an entry VM.
        is_contact_loss: True if the VM itself ran on and only lost the control VMs.
        is_control: True for a control VM.
    """

    name: str
    start: float
    end: float = math.inf
    is_vm: bool = True
    is_contact_loss: bool = False
    is_control: bool = False


@attrs.frozen
class ConfigurationRead:
    """A configuration revision that the operator read back."""

    sent_at: float
    revision: int


@attrs.define(eq=False)
class Observations:
    """Everything observed from outside the processes.

    Attributes:
        is_strict: True if VMs without contact to control VMs accept no keys.
        revocation_limit_s: Time without contact after which they don't.
        responses: Responses that callers received.
        runs: Requests that backend servers ran, as request, server and arrival time.
        complete_bodies: Complete response body by request and server.
        left_at: Time at which the departure of a backend server was acknowledged, by server.
        draining_at: Time at which a backend server began to leave, by server.
        accepted_at: Time of acknowledgement by revision.
        sent: Content that was sent, by revision.
        reads: Configurations read back during the run.
        final_configuration: Configuration read back at the end of the run.
        sent_at: Time at which a revision was first sent, by revision.
        arrivals: Requests that reached backend servers.
        pauses: Pauses for which backend servers asked.
        disturbances: Faults of processes and of the links to backend servers.
        contact_losses: Periods without any control VM, as start and end.
    """

    is_strict: bool = False
    revocation_limit_s: float = 5.0
    responses: list[CallerResponse] = attrs.field(factory=list)
    runs: list[tuple[str, str, float]] = attrs.field(factory=list)
    complete_bodies: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    left_at: dict[str, float] = attrs.field(factory=dict)
    draining_at: dict[str, float] = attrs.field(factory=dict)
    accepted_at: dict[int, float] = attrs.field(factory=dict)
    sent: dict[int, dict] = attrs.field(factory=dict)
    reads: list[ConfigurationRead] = attrs.field(factory=list)
    final_configuration: dict | None = None
    sent_at: dict[int, float] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    pauses: list[StatedPause] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    contact_losses: list[tuple[float, float]] = attrs.field(factory=list)


def find_violations(seen: Observations) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = []
    runs = Counter(request for request, _, _ in seen.runs)
    for answer in seen.responses:
        count = runs[answer.request]
        if not answer.is_idempotent and count > 1:
            violations.append(f"{answer.request} may run once and ran {count} times")
        if answer.status in NOT_RUN_STATUSES and not answer.is_idempotent and count:
            violations.append(f"{answer.request} got {answer.status} and ran")
        if answer.status == 200 and answer.body not in list_complete_bodies(seen, answer.request):
            violations.append(f"{answer.request} got a body that no server sent for it")
    violations += find_late_runs(seen)
    violations += find_lost_changes(seen)
    return violations


def list_complete_bodies(seen: Observations, request: str) -> list[bytes]:
    """Return the complete bodies that servers sent for a request."""
    return [body for (name, _), body in seen.complete_bodies.items() if name == request]


def find_late_runs(seen: Observations) -> list[str]:
    """Return requests that reached a server too long after its departure was acknowledged.

    The limit applies to requests that VMs in contact with each other and with the control VMs
    have taken and sent: a run doesn't count within the contact window after a disturbance of the
    VM that sent the request, of the one that got it from the caller, of the link to the server
    or of a control VM.
    """
    vms = {answer.request: answer.vm for answer in seen.responses if answer.vm}
    senders = {(item.request, item.server): item.vm for item in seen.arrivals}
    late = []
    for request, server, at in seen.runs:
        if at <= seen.left_at.get(server, math.inf) + DRAIN_LIMIT_S:
            continue
        names = {server, senders.get((request, server)), vms.get(request)} - {None}
        names |= {item.name for item in seen.disturbances if item.is_control}
        if not any(is_disturbed(seen, name, at - CONTACT_WINDOW_S, at) for name in names):
            after_s = at - seen.left_at[server]
            late.append(f"{request} reached {server} {after_s:.1f} s after it had left")
    return late


def is_disturbed(
    seen: Observations, name: str, since: float, until: float, is_contact_needed: bool = True
) -> bool:
    """Return True if a VM or endpoint was disturbed in a period, or if it isn't known.

    Args:
        seen: All observations.
        name: The VM or endpoint, empty if it isn't known.
        since: Start of the period.
        until: End of the period.
        is_contact_needed: False if a VM that only lost the control VMs doesn't count.
    """
    return not name or any(
        item.name == name
        and item.start <= until
        and item.end >= since
        and (is_contact_needed or not item.is_contact_loss)
        for item in seen.disturbances
    )


def find_lost_changes(seen: Observations) -> list[str]:
    """Return accepted configurations that were lost or altered, and reads of older ones."""
    violations = []
    for read in seen.reads:
        newest = max(
            (r for r, at in seen.accepted_at.items() if at + APPLY_LIMIT_S < read.sent_at),
            default=0,
        )
        if read.revision < newest:
            violations.append(f"revision {read.revision} was read back after {newest} was accepted")
    if seen.final_configuration is None:
        return [*violations, "no configuration was read back at the end"]
    revision = int(str(seen.final_configuration["version"]).removeprefix("r"))
    if revision < max(seen.accepted_at, default=0):
        violations.append(
            f"revision {max(seen.accepted_at)} was accepted and {revision} is in force"
        )
    if seen.final_configuration != seen.sent.get(revision):
        violations.append(f"revision {revision} is in force with other content than was sent")
    return violations
