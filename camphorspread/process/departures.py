"""Departures of backend servers, as the VMs of a fleet remember and exchange them.

A late announcement of a server that has left would add it again at a VM that doesn't know of the
departure, for example because it was restarted, paused or cut off at that time. So each control VM
keeps the recent departures and sends new ones to the entry VMs with its responses to polls. Entry
VMs send theirs to a control VM that may have lost them.
"""

from datetime import timedelta

import attrs

__all__ = [
    "DEPARTURE_TTL",
    "UNKNOWN_START_TTL",
    "Departure",
    "DepartureLog",
    "DepartureNotice",
    "expire_departures",
    "find_departed_start",
    "is_departed",
    "list_departures",
    "list_unsent",
    "record_departure",
    "resolve_departure",
]

# Late announcements of a backend server that has left are rejected for this long.
DEPARTURE_TTL = timedelta(seconds=60)
# The same for a server whose start isn't known. Its next start is rejected too if the clock of the
# server is behind, so this is short; announcements arrive some seconds late at most.
UNKNOWN_START_TTL = timedelta(seconds=10)


@attrs.frozen
class DepartureNotice:
    """Notice of a departure, which the VM that received it from the server sends to entry VMs.

    Attributes:
        instance: Identifier of the backend server.
        started_ms: When the server started, in Unix milliseconds on its own clock; None if the VM
            doesn't know.
        received_at_ms: When the VM received it, in Unix milliseconds on its own clock.
    """

    instance: str
    started_ms: int | None
    received_at_ms: int


@attrs.frozen
class Departure:
    """A departure of a backend server; it applies to this start and to all earlier ones.

    Attributes:
        instance: Identifier of the backend server.
        started_ms: When the server started, in Unix milliseconds on its own clock.
        until: Until when its late announcements are rejected.
        is_own: True if this VM received it from the server.
        revision: Revision of the log at which this departure was recorded.
    """

    instance: str
    started_ms: int
    until: timedelta
    is_own: bool = False
    revision: int = 0


@attrs.define(eq=False)
class DepartureLog:
    """Recent departures that one VM knows.

    Attributes:
        by_instance: The departures by the identifier of the server, in the order of revisions.
        revision: Incremented with each recorded departure.
    """

    by_instance: dict[str, Departure] = attrs.field(factory=dict)
    revision: int = 0


def resolve_departure(
    notice: DepartureNotice, known_starts: list[int], now: timedelta, is_own: bool = True
) -> Departure:
    """Return the departure that a notice stands for.

    A notice without a start concerns the newest known one or, if none is known, all before it.

    Args:
        notice: The notice.
        known_starts: Starts of the server that VMs know, in Unix milliseconds.
        now: The present instant.
        is_own: True if this VM received it from the server.
    """
    if notice.started_ms is not None:
        known_starts = [notice.started_ms]
    if known_starts:
        return Departure(notice.instance, max(known_starts), now + DEPARTURE_TTL, is_own)
    return Departure(notice.instance, notice.received_at_ms, now + UNKNOWN_START_TTL, is_own)


def record_departure(log: DepartureLog, departure: Departure) -> bool:
    """Record a departure; return False if the log had it, or that of a later start."""
    known = log.by_instance.get(departure.instance)
    if known is not None and known.started_ms >= departure.started_ms:
        return False
    log.revision += 1
    log.by_instance.pop(departure.instance, None)
    log.by_instance[departure.instance] = attrs.evolve(departure, revision=log.revision)
    return True


def find_departed_start(log: DepartureLog, instance: str) -> int | None:
    """Return the start to which the departure of a server applies, None if none is known."""
    known = log.by_instance.get(instance)
    return None if known is None else known.started_ms


def is_departed(log: DepartureLog, instance: str, started_ms: int) -> bool:
    """Return True if a start of a backend server has departed."""
    departed_start = find_departed_start(log, instance)
    return departed_start is not None and started_ms <= departed_start


def list_departures(log: DepartureLog, after: int = 0) -> list[Departure]:
    """Return the departures that were recorded after a revision, oldest first."""
    if after >= log.revision:
        return []
    return [item for item in log.by_instance.values() if item.revision > after]


def list_unsent(log: DepartureLog, sent: int | None) -> list[Departure]:
    """Return the departures that an entry VM sends to a control VM.

    A control VM gets all departures at first, since it may have been restarted or out of contact,
    and then those that the entry VM receives from servers.

    Args:
        log: The departures that the entry VM knows.
        sent: Revision up to which it has sent them, None if it has sent none.
    """
    if sent is None:
        return list_departures(log)
    return [item for item in list_departures(log, sent) if item.is_own]


def expire_departures(log: DepartureLog, now: timedelta) -> None:
    """Forget the departures whose late announcements no longer arrive."""
    for name in [name for name, item in log.by_instance.items() if item.until <= now]:
        del log.by_instance[name]
