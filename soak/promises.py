"""What callers, backend servers and the operator saw in a soak, and which promises it breaks."""

from collections import Counter

import attrs

__all__ = ["Answer", "Observed", "Read", "find_breaks"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Times of the users' deployments: how soon a departure and a change must be in force.
DRAIN_S = 2.5
APPLY_S = 2.5


@attrs.frozen
class Answer:
    """What a caller got for one request; status 0 stands for no whole answer."""

    request: str
    is_idempotent: bool
    status: int
    body: bytes
    at: float


@attrs.frozen
class Read:
    """A configuration that was read back."""

    sent_at: float
    revision: int


@attrs.define(eq=False)
class Observed:
    """Everything that was seen from outside the processes.

    Attributes:
        answers: What callers got.
        runs: Requests that backend servers worked on: request, server, and when it arrived.
        whole: The whole body that was sent for a request, by request and server.
        left: When the departure of a backend server was acknowledged.
        accepted: Revisions that were acknowledged, and when.
        sent: Content of each revision that was sent.
        reads: Configurations that were read back during the soak.
        final: The one that was read back at its end.
        calm_since: Since when nothing was disturbed, by the soak's clock.
    """

    answers: list[Answer] = attrs.field(factory=list)
    runs: list[tuple[str, str, float]] = attrs.field(factory=list)
    whole: dict[tuple[str, str], bytes] = attrs.field(factory=dict)
    left: dict[str, float] = attrs.field(factory=dict)
    accepted: dict[int, float] = attrs.field(factory=dict)
    sent: dict[int, dict] = attrs.field(factory=dict)
    reads: list[Read] = attrs.field(factory=list)
    final: dict | None = None
    disturbed: list[float] = attrs.field(factory=list)


def find_breaks(seen: Observed) -> list[str]:
    """Return each broken promise in words."""
    breaks = []
    runs = Counter(request for request, _, _ in seen.runs)
    for answer in seen.answers:
        count = runs[answer.request]
        if not answer.is_idempotent and count > 1:
            breaks.append(f"{answer.request} may run once and ran {count} times")
        if answer.status in NOT_RUN_STATUSES and not answer.is_idempotent and count:
            breaks.append(f"{answer.request} got {answer.status} and ran")
        if answer.status == 200 and answer.body not in whole_bodies(seen, answer.request):
            breaks.append(f"{answer.request} got a body that no server sent for it")
    breaks += find_late_runs(seen)
    breaks += find_lost_changes(seen)
    return breaks


def whole_bodies(seen: Observed, request: str) -> list[bytes]:
    """Return the bodies that servers sent for a request."""
    return [body for (name, _), body in seen.whole.items() if name == request]


def find_late_runs(seen: Observed) -> list[str]:
    """Return requests that reached a server too long after its departure was acknowledged.

    The bound holds for machines in touch, so runs near a disturbance of a process don't count.
    """
    return [
        f"{request} reached {server} {at - seen.left[server]:.1f} s after it had left"
        for request, server, at in seen.runs
        if server in seen.left
        and at > seen.left[server] + DRAIN_S
        and not any(at - 10 < instant < at for instant in seen.disturbed)
    ]


def find_lost_changes(seen: Observed) -> list[str]:
    """Return accepted configurations that were lost, changed, or read back as older ones."""
    breaks = []
    for read in seen.reads:
        newest = max(
            (r for r, at in seen.accepted.items() if at + APPLY_S < read.sent_at), default=0
        )
        if read.revision < newest:
            breaks.append(f"revision {read.revision} was read back after {newest} was accepted")
    if seen.final is None:
        return [*breaks, "no configuration was read back at the end"]
    revision = int(str(seen.final["version"]).removeprefix("r"))
    if revision < max(seen.accepted, default=0):
        breaks.append(f"revision {max(seen.accepted)} was accepted and {revision} is in force")
    if seen.final != seen.sent.get(revision):
        breaks.append(f"revision {revision} is in force with other content than was sent")
    return breaks
