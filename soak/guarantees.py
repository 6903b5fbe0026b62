"""Observations of a soak run from outside the processes, and checks of the guarantees on them."""

from collections import Counter

import attrs

__all__ = ["CallerResponse", "ConfigurationRead", "Observations", "find_violations"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Limits of the users' deployments until a departure and a change must be in effect.
DRAIN_LIMIT_S = 2.5
APPLY_LIMIT_S = 2.5


@attrs.frozen
class CallerResponse:
    """Response to one request of a caller; status 0 stands for no complete response."""

    request: str
    is_idempotent: bool
    status: int
    body: bytes
    at: float


@attrs.frozen
class ConfigurationRead:
    """A configuration revision that the operator read back."""

    sent_at: float
    revision: int


@attrs.define(eq=False)
class Observations:
    """Everything observed from outside the processes.

    Attributes:
        responses: Responses that callers received.
        runs: Requests that backend servers ran, as request, server and arrival time.
        complete_bodies: Complete response body by request and server.
        left_at: Time at which the departure of a backend server was acknowledged, by server.
        accepted_at: Time of acknowledgement by revision.
        sent: Content that was sent, by revision.
        reads: Configurations read back during the run.
        final_configuration: Configuration read back at the end of the run.
        fault_times: Times at which faults other than planned operations were injected.
    """

    responses: list[CallerResponse] = attrs.field(factory=list)
    runs: list[tuple[str, str, float]] = attrs.field(factory=list)
    complete_bodies: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    left_at: dict[str, float] = attrs.field(factory=dict)
    accepted_at: dict[int, float] = attrs.field(factory=dict)
    sent: dict[int, dict] = attrs.field(factory=dict)
    reads: list[ConfigurationRead] = attrs.field(factory=list)
    final_configuration: dict | None = None
    fault_times: list[float] = attrs.field(factory=list)


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

    The limit applies only while the processes can reach each other, so runs within 10 s after a
    fault don't count.
    """
    return [
        f"{request} reached {server} {at - seen.left_at[server]:.1f} s after it had left"
        for request, server, at in seen.runs
        if server in seen.left_at
        and at > seen.left_at[server] + DRAIN_LIMIT_S
        and not any(at - 10 < instant < at for instant in seen.fault_times)
    ]


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
