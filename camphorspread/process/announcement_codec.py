"""JSON encoding of announcements and departures between control VMs and entry VMs."""

from datetime import timedelta

from camphorspread.connection.network import make_ip_address
from camphorspread.process.departures import DEPARTURE_TTL, Departure, DepartureNotice
from camphorspread.process.instances import LAST_SEQUENCE, InstanceReport

__all__ = [
    "decode_departures",
    "decode_leave",
    "decode_report",
    "encode_departures",
    "encode_leave",
    "encode_report",
]

MILLISECOND = timedelta(milliseconds=1)


def encode_report(report: InstanceReport) -> dict:
    """Return the JSON of an announcement."""
    return {
        "instance": report.instance,
        "service": report.service,
        "host": report.address.host,
        "port": report.address.port,
        "availability_zone": report.availability_zone,
        "slots": report.slots,
        "is_leaving": report.is_leaving,
        "cold_ms": report.cold_for // MILLISECOND,
        "started_ms": report.started_ms,
        "sequence": report.sequence,
    }


def decode_report(value: object) -> InstanceReport:
    """Decode an announcement.

    Raises:
        ValueError: The value is malformed.
    """
    try:
        report = InstanceReport(
            str(value["instance"]),
            str(value["service"]),
            make_ip_address(str(value["host"]), int(value["port"])),
            str(value["availability_zone"]),
            int(value["slots"]),
            bool(value["is_leaving"]),
            value["cold_ms"] * MILLISECOND,
            int(value["started_ms"]),
            int(value["sequence"]),
        )
    except (KeyError, TypeError, OverflowError) as exc:
        raise ValueError(f"the announcement is malformed: {exc}") from exc
    numbers = (report.started_ms, report.sequence)
    if report.slots < 1 or not all(0 <= number < LAST_SEQUENCE for number in numbers):
        raise ValueError("the announcement is malformed: a number is out of range")
    return report


def encode_leave(notice: DepartureNotice) -> dict:
    """Return the JSON of a notice to an entry VM."""
    start = notice.started_ms
    return {
        "instance": notice.instance,
        "order": None if start is None else [start, LAST_SEQUENCE],
        "received_at_ms": notice.received_at_ms,
    }


def decode_leave(value: object) -> DepartureNotice:
    """Decode a notice to an entry VM.

    An earlier version of the program states no time.

    Raises:
        ValueError: The value is malformed.
    """
    match value:
        case {"instance": str(name), "order": None}:
            start = None
        case {"instance": str(name), "order": [int(start), int()]} if is_valid_time(start):
            pass
        case _:
            raise ValueError("the departure is malformed")
    received_at_ms = value.get("received_at_ms", 0)
    if not is_valid_time(received_at_ms):
        raise ValueError("the departure is malformed: its time is out of range")
    return DepartureNotice(name, start, received_at_ms)


def encode_departures(departures: list[Departure], now: timedelta) -> list[list]:
    """Return the JSON of recorded departures, without those that have expired."""
    return [
        [item.instance, item.started_ms, (item.until - now) // MILLISECOND]
        for item in departures
        if item.until > now
    ]


def decode_departures(values: object, now: timedelta) -> list[Departure]:
    """Decode recorded departures.

    Raises:
        ValueError: A value is malformed.
    """
    if not isinstance(values, list):
        raise ValueError("departures aren't a list")
    departures = []
    for value in values:
        match value:
            case [str(name), int(started_ms), int(left_ms)] if is_valid_time(
                started_ms
            ) and is_valid_time(left_ms):
                left_ms = min(left_ms, DEPARTURE_TTL // MILLISECOND)
                departures.append(Departure(name, started_ms, now + left_ms * MILLISECOND))
            case _:
                raise ValueError("a departure is malformed")
    return departures


def is_valid_time(value: object) -> bool:
    """Return True if a value is a valid number of milliseconds."""
    return type(value) is int and 0 <= value < LAST_SEQUENCE
