"""The steps of a planned stop of an entry VM."""

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

# Heartbeats and summaries carry the leaving state to all VMs in three hops of at most 1 s; until
# then their lookup responses may still name this VM.
SPREAD_LIMIT = timedelta(seconds=3)
# Backend servers renew every 0.5 s; after two renewals each of them knows its next owner.
REDIRECT_TIME = timedelta(seconds=1)
EXIT_STOPPED_AT_ONCE = 3


class DrainPhase(enum.Enum):
    """Where a process is on its way out."""

    SERVING = "serving"
    LEAVING = "leaving"
    HANDING_OVER = "handing_over"
    REDIRECTING = "redirecting"
    ENDED = "ended"


@attrs.define(eq=False)
class Drain:
    """State of the drain.

    Attributes:
        phase: Where it is.
        started: Instant of the first signal.
        redirecting_since: When the handover ended.
        signals: SIGTERM signals so far.
    """

    phase: DrainPhase = DrainPhase.SERVING
    started: timedelta = timedelta(0)
    redirecting_since: timedelta = timedelta(0)
    signals: int = 0


@attrs.frozen
class SignalReceived:
    """The process got SIGTERM."""


@attrs.frozen
class Tick:
    """Some time has passed.

    Attributes:
        last_named: When this VM's own lookup responses last named it.
        lookup_ttl: Longest lookup time-to-live of the catalogue.
        requests: Requests in flight.
        has_endpoints: True if backend servers must learn their next owner.
    """

    last_named: timedelta
    lookup_ttl: timedelta
    requests: int
    has_endpoints: bool = True


@attrs.frozen
class HandoverEnded:
    """The successor has taken the endpoints and the ledger, or there is none."""


@attrs.frozen
class StartLeaving:
    """Say in heartbeats and lookups that this VM is leaving."""


@attrs.frozen
class ReportRemainder:
    """Print and log what a stop at once would interrupt."""


@attrs.frozen
class HandOver:
    """Hand endpoints, ledger and shares to the successor."""


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
    """Apply one event to the drain and return what must be done."""
    match event:
        case SignalReceived():
            drain.signals += 1
            return take_signal(drain, now)
        case Tick():
            return take_tick(drain, event, now)
        case HandoverEnded():
            if drain.phase is DrainPhase.HANDING_OVER:
                drain.phase = DrainPhase.REDIRECTING
                drain.redirecting_since = now
            return []


def start(drain: Drain, now: timedelta) -> list[Effect]:
    """Begin the drain unless it has begun."""
    if drain.phase is not DrainPhase.SERVING:
        return []
    drain.phase, drain.started = DrainPhase.LEAVING, now
    return [StartLeaving()]


def take_signal(drain: Drain, now: timedelta) -> list[Effect]:
    """Begin at the first signal, report at the second, stop at the third."""
    match drain.signals:
        case 1:
            return start(drain, now)
        case 2:
            return [ReportRemainder()]
    drain.phase = DrainPhase.ENDED
    return [EndProcess(EXIT_STOPPED_AT_ONCE, now - drain.started)]


def take_tick(drain: Drain, tick: Tick, now: timedelta) -> list[Effect]:
    """Go on to the next phase when nothing keeps the process in this one."""
    match drain.phase:
        case DrainPhase.LEAVING:
            last_named = max(tick.last_named, drain.started + SPREAD_LIMIT)
            # Without a lookup time-to-live there is no catalogue, so no response named this VM.
            is_forgotten = not tick.lookup_ttl or now >= last_named + tick.lookup_ttl
            if is_forgotten and not tick.requests:
                drain.phase = DrainPhase.HANDING_OVER
                return [HandOver()]
        case DrainPhase.REDIRECTING:
            # Requests may still come from callers that keep a response for too long.
            redirect_time = REDIRECT_TIME if tick.has_endpoints else timedelta(0)
            if not tick.requests and now >= drain.redirecting_since + redirect_time:
                drain.phase = DrainPhase.ENDED
                return [EndProcess(0, now - drain.started)]
    return []
