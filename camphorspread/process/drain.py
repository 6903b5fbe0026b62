"""State machine of the graceful shutdown (drain) of an entry VM."""

import enum
from datetime import timedelta

import attrs

__all__ = [
    "Drain",
    "DrainPhase",
    "Effect",
    "EndProcess",
    "HandOver",
    "HandoverEnded",
    "ReportRemainder",
    "SignalReceived",
    "StartLeaving",
    "Tick",
    "apply_event",
]

# Heartbeats and summaries carry the leaving state to all VMs in three hops of at most 1 s each.
# Until then lookup responses of other VMs may still name this VM.
STATE_PROPAGATION_TIME = timedelta(seconds=3)
# Backend servers renew every 0.5 s, so after two renewals each of them knows its next owner.
REDIRECT_TIME = timedelta(seconds=1)
EXIT_STOPPED_AT_ONCE = 3


class DrainPhase(enum.Enum):
    """Phases of the drain, in order."""

    SERVING = "serving"
    LEAVING = "leaving"
    HANDING_OVER = "handing_over"
    REDIRECTING = "redirecting"
    ENDED = "ended"


@attrs.define(eq=False)
class Drain:
    """State of the drain.

    Attributes:
        phase: Current phase.
        started: Instant of the first signal.
        redirecting_since: When the handover ended.
        signals: Number of SIGTERM signals received.
    """

    phase: DrainPhase = DrainPhase.SERVING
    started: timedelta = timedelta(0)
    redirecting_since: timedelta = timedelta(0)
    signals: int = 0


@attrs.frozen
class SignalReceived:
    """The process received SIGTERM."""


@attrs.frozen
class Tick:
    """A check interval has passed.

    Attributes:
        last_named: When a lookup response of this VM last named the VM itself.
        lookup_ttl: Longest lookup time-to-live in the catalogue; zero without a catalogue.
        requests: Requests in flight.
        has_endpoints: True if backend servers must be redirected to their next owner.
    """

    last_named: timedelta
    lookup_ttl: timedelta
    requests: int
    has_endpoints: bool = True


@attrs.frozen
class HandoverEnded:
    """The successor has accepted the endpoints and the ledger, or there is no successor."""


@attrs.frozen
class StartLeaving:
    """Announce in heartbeats and lookup responses that this VM is leaving."""


@attrs.frozen
class ReportRemainder:
    """Print and log what an immediate stop would interrupt."""


@attrs.frozen
class HandOver:
    """Hand endpoints and ledger over to the successor and return the shares."""


@attrs.frozen
class EndProcess:
    """End the process.

    Attributes:
        exit_code: Its exit code.
        drain_time: Time since the drain began.
    """

    exit_code: int
    drain_time: timedelta


Event = SignalReceived | Tick | HandoverEnded
Effect = StartLeaving | ReportRemainder | HandOver | EndProcess


def apply_event(drain: Drain, event: Event, now: timedelta) -> list[Effect]:
    """Apply one event and return the effects to execute."""
    match event:
        case SignalReceived():
            drain.signals += 1
            return handle_signal(drain, now)
        case Tick():
            return handle_tick(drain, event, now)
        case HandoverEnded():
            if drain.phase is DrainPhase.HANDING_OVER:
                drain.phase = DrainPhase.REDIRECTING
                drain.redirecting_since = now
            return []


def start_drain(drain: Drain, now: timedelta) -> list[Effect]:
    """Start the drain unless it has started."""
    if drain.phase is not DrainPhase.SERVING:
        return []
    drain.phase, drain.started = DrainPhase.LEAVING, now
    return [StartLeaving()]


def handle_signal(drain: Drain, now: timedelta) -> list[Effect]:
    """Start the drain at the first signal, report at the second, stop at the third."""
    match drain.signals:
        case 1:
            return start_drain(drain, now)
        case 2:
            return [ReportRemainder()]
    drain.phase = DrainPhase.ENDED
    return [EndProcess(EXIT_STOPPED_AT_ONCE, now - drain.started)]


def handle_tick(drain: Drain, tick: Tick, now: timedelta) -> list[Effect]:
    """Enter the next phase once the conditions of the current one are met."""
    match drain.phase:
        case DrainPhase.LEAVING:
            last_named = max(tick.last_named, drain.started + STATE_PROPAGATION_TIME)
            # A lookup time-to-live of zero means no catalogue, so no response has named this VM.
            is_unnamed = not tick.lookup_ttl or now >= last_named + tick.lookup_ttl
            if is_unnamed and not tick.requests:
                drain.phase = DrainPhase.HANDING_OVER
                return [HandOver()]
        case DrainPhase.REDIRECTING:
            # Callers that use a lookup response past its time-to-live may still send requests.
            redirect_time = REDIRECT_TIME if tick.has_endpoints else timedelta(0)
            if not tick.requests and now >= drain.redirecting_since + redirect_time:
                drain.phase = DrainPhase.ENDED
                return [EndProcess(0, now - drain.started)]
    return []
